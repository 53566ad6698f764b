package session

import (
	"bytes"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// startupBytes is the greatest startup packet, as in PostgreSQL.
const maxStartupBytes = 10_000

// entrance is a connection before its login.
type handshake struct {
	server *Server
	conn   net.Conn
	reader *reader
	// feed holds the one message that backend decodes next, so that it never reads ahead.
	decoderInput *bytes.Reader
	backend      *pgproto3.Backend
	encrypted    bool
	// extensions are the protocol options that the guest asked for and does not get.
	unknownOptions []string
	// newer is true when the guest asked for a newer minor version of the protocol.
	newerMinor bool
}

// login takes a connection to its end or to a session.
func (s *Server) login(conn net.Conn) *session {
	if err := conn.SetDeadline(s.limits.loginDeadline(time.Now())); err != nil {
		_ = conn.Close()
		return nil
	}
	e := &handshake{server: s, decoderInput: bytes.NewReader(nil)}
	e.setConn(conn)
	g, err := e.run()
	if err == nil {
		return g
	}
	pgErr, ok := asPgError(err)
	if ok {
		pgErr.fatal = true
		e.backend.Send(pgErr.response())
		_ = e.backend.Flush() // the guest may be gone
		linger(e.conn)
		s.events.Emit(event.GuestRefused, event.Fields{"address": conn.RemoteAddr().String(), "code": pgErr.code, "error": pgErr.message})
	}
	_ = e.conn.Close()
	return nil
}

// use makes the entrance read from and write to conn.
func (e *handshake) setConn(conn net.Conn) {
	e.conn = conn
	e.reader = newReader(conn, maxStartupBytes)
	e.backend = pgproto3.NewBackend(e.decoderInput, conn)
}

// login returns a session, or nil without an error when the connection asked for nothing more.
func (e *handshake) run() (*session, error) {
	parameters, err := e.readStartup()
	if err != nil {
		return nil, err
	}
	if parameters == nil {
		_ = e.conn.Close()
		return nil, nil
	}
	g := &session{server: e.server, conn: e.conn, reader: e.reader, role: parameters["user"], database: parameters["database"]}
	if g.database == "" {
		g.database = g.role
	}
	if err := e.checkParameters(parameters); err != nil {
		return nil, err
	}
	role, team, err := e.authenticate(g.role)
	if err != nil {
		return nil, err
	}
	g.team = team.Name
	if pgErr := e.server.checkDatabase(g.database, team); pgErr != nil {
		return nil, pgErr
	}
	if pgErr := checkAccess(role, g.database); pgErr != nil {
		return nil, pgErr
	}
	if pgErr := g.applyParameters(parameters); pgErr != nil {
		return nil, pgErr
	}
	if pgErr := e.server.addSession(g, team.MaxGuests); pgErr != nil {
		return nil, pgErr
	}
	if err := e.completeLogin(g, parameters); err != nil {
		e.server.removeSession(g)
		return nil, err
	}
	return g, nil
}

// startup reads packets up to the startup message and returns its parameters,
// nil when the connection was for a cancel request.
func (e *handshake) readStartup() (map[string]string, error) {
	// A guest may ask for GSSAPI, then for TLS, and then start.
	for range 3 {
		packet, err := e.reader.startupPacket(maxStartupBytes)
		if err != nil {
			return nil, err
		}
		e.lowerMinorVersion(packet)
		e.decoderInput.Reset(packet)
		m, err := e.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, fatal(codeProtocol, "invalid startup packet")
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			return e.removeOptions(m.Parameters), nil
		case *pgproto3.CancelRequest:
			e.server.cancelRequest(m)
			return nil, nil
		case *pgproto3.SSLRequest:
			err = e.startTLS()
		case *pgproto3.GSSEncRequest:
			_, err = e.conn.Write([]byte("N"))
		}
		if err != nil {
			return nil, fmt.Errorf("answer a request for encryption: %w", err)
		}
	}
	return nil, fatal(codeProtocol, "too many requests for encryption")
}

// negotiate lowers a newer minor version of protocol 3 to 3.0.
func (e *handshake) lowerMinorVersion(packet []byte) {
	code := binary.BigEndian.Uint32(packet[4:])
	if code>>16 == 3 && code&0xffff > 0 {
		e.newerMinor = true
		binary.BigEndian.PutUint32(packet[4:], pgproto3.ProtocolVersion30)
	}
}

// extract removes the protocol options, none of which is known.
func (e *handshake) removeOptions(parameters map[string]string) map[string]string {
	for name := range parameters {
		if strings.HasPrefix(name, "_pq_.") {
			e.unknownOptions = append(e.unknownOptions, name)
			delete(parameters, name)
		}
	}
	slices.Sort(e.unknownOptions)
	return parameters
}

// secure answers a request for TLS.
func (e *handshake) startTLS() error {
	var config *tls.Config
	if e.server.tls != nil {
		config = e.server.tls()
	}
	if config == nil || e.encrypted {
		_, err := e.conn.Write([]byte("N"))
		return err
	}
	if e.reader.buffered() {
		// What was sent in the clear before the handshake could be an attacker's.
		return fatal(codeProtocol, "data before the TLS handshake")
	}
	if _, err := e.conn.Write([]byte("S")); err != nil {
		return err
	}
	conn := tls.Server(e.conn, config)
	if err := conn.HandshakeContext(e.server.ctx); err != nil {
		return fmt.Errorf("TLS handshake: %w", err)
	}
	e.encrypted = true
	e.setConn(conn)
	return nil
}

// check refuses startup parameters that the session cannot honour.
func (e *handshake) checkParameters(parameters map[string]string) error {
	if parameters["user"] == "" {
		return fatal(codeAuthorization, "no user name in the startup packet")
	}
	for name, value := range parameters {
		switch {
		case name == "user", name == "database", name == "options", strings.HasPrefix(strings.ToLower(name), settingPrefix):
		case name == "replication" && value != "false" && value != "off" && value != "0":
			return unsupported("replication connections are not supported", "")
		case name == "replication":
		default:
			if pgErr := checkSetting(name, value); pgErr != nil {
				return pgErr
			}
		}
	}
	return nil
}

// options sets the session's settings from the startup packet.
func (s *session) applyParameters(parameters map[string]string) *pgError {
	for name, value := range parameters {
		if strings.HasPrefix(strings.ToLower(name), settingPrefix) {
			if pgErr := s.setSetting(settingName(name), value); pgErr != nil {
				return pgErr
			}
		}
	}
	words := strings.Fields(parameters["options"])
	for i := 0; i < len(words); i++ {
		word := words[i]
		if word == "-c" && i+1 < len(words) {
			i++
			word = words[i]
		}
		word = strings.TrimPrefix(strings.TrimPrefix(word, "--"), "-c")
		name, value, _ := strings.Cut(word, "=")
		pgErr := checkSetting(name, value)
		if strings.HasPrefix(strings.ToLower(name), settingPrefix) {
			pgErr = s.setSetting(settingName(name), value)
		}
		if pgErr != nil {
			return pgErr
		}
	}
	return nil
}

// exists reports an error for a database that the guest's team does not have.
func (s *Server) checkDatabase(database string, team document.Team) *pgError {
	if slices.Contains(team.Databases, database) {
		return nil
	}
	if _, ok := s.views.View().Databases[database]; ok {
		return fatal(codePrivilege, "permission denied for database %q", database)
	}
	return fatal(codeNoDatabase, "database %q does not exist", database)
}

// mayReach reports an error for a database that the role may not reach.
func checkAccess(role document.Role, database string) *pgError {
	if slices.Contains(role.Databases, database) {
		return nil
	}
	return fatal(codePrivilege, "permission denied for database %q", database)
}

// welcome ends the login: the guest learns the parameters and may send requests.
func (e *handshake) completeLogin(g *session, parameters map[string]string) error {
	g.id = g.server.host.Name + "/" + strconv.FormatUint(uint64(g.pid), 16)
	g.send(&pgproto3.AuthenticationOk{})
	status := [][2]string{
		{"server_version", e.server.version},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"application_name", parameters["application_name"]},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"IntervalStyle", "postgres"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"is_superuser", "off"},
		{"session_authorization", g.role},
		{"default_transaction_read_only", "off"},
		{"in_hot_standby", "off"},
	}
	for _, p := range status {
		g.send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	g.send(&pgproto3.BackendKeyData{ProcessID: g.pid, SecretKey: g.secret[:]})
	g.sendReady()
	if err := g.flushAndRelease(); err != nil {
		return err
	}
	g.reader.maxBodyBytes = g.server.limits.messageBytes
	if err := e.conn.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("end the deadline of the login: %w", err)
	}
	if g.server.events.Tracing() {
		g.server.events.Emit(event.GuestOpened, event.Fields{"session": g.id, "role": g.role, "team": g.team, "database": g.database})
	}
	return nil
}

// cancelRequest cancels the request of the session that has the keys.
func (s *Server) cancelRequest(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	g := s.sessions[m.ProcessID]
	s.mu.Unlock()
	if g != nil && subtle.ConstantTimeCompare(g.secret[:], m.SecretKey) == 1 {
		g.cancel()
	}
}
