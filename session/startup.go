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

// maxStartupBytes is the size of the largest startup packet, as in PostgreSQL.
const maxStartupBytes = 10_000

// handshake is the state of a connection until its login has ended.
type handshake struct {
	server *Server
	conn   net.Conn
	reader *reader
	// decoderInput holds the one message that backend decodes next, so that backend never reads ahead.
	decoderInput *bytes.Reader
	backend      *pgproto3.Backend
	encrypted    bool
	// unknownOptions are the protocol options that the guest asked for; none is supported.
	unknownOptions []string
	// newerMinor is true when the guest asked for a newer minor version of the protocol.
	newerMinor bool
}

// login runs the handshake of a connection and returns its session, nil when there is none.
func (s *Server) login(conn net.Conn) *session {
	h := &handshake{server: s, decoderInput: bytes.NewReader(nil)}
	h.setConn(conn)
	g, err := h.run()
	if err == nil {
		return g
	}
	pgErr, ok := asPgError(err)
	if !ok && s.isDraining() {
		pgErr, ok = newFatalError(codeCannotConnect, "the host is shutting down"), true
	}
	if ok {
		pgErr.fatal = true
		h.backend.Send(pgErr.response())
		_ = h.backend.Flush() // the guest may be gone
		linger(h.conn)
		s.events.Emit(event.GuestRefused, event.Fields{"address": conn.RemoteAddr().String(), "code": pgErr.code, "error": pgErr.message})
	}
	_ = h.conn.Close()
	return nil
}

// setConn makes the handshake read from and write to conn.
func (h *handshake) setConn(conn net.Conn) {
	h.conn = conn
	h.reader = newReader(conn, maxStartupBytes)
	h.backend = pgproto3.NewBackend(h.decoderInput, conn)
}

// run returns a session, or nil without an error after a cancel request.
func (h *handshake) run() (*session, error) {
	parameters, err := h.readStartup()
	if err != nil {
		return nil, err
	}
	if parameters == nil {
		_ = h.conn.Close()
		return nil, nil
	}
	g := &session{server: h.server, conn: h.conn, reader: h.reader, role: parameters["user"], database: parameters["database"]}
	if g.database == "" {
		g.database = g.role
	}
	if err := h.checkParameters(parameters); err != nil {
		return nil, err
	}
	if h.server.views.View().Index == 0 {
		return nil, newFatalError(codeCannotConnect, "the host is starting up and does not know the roles yet")
	}
	role, team, err := h.authenticate(g.role)
	if err != nil {
		return nil, err
	}
	g.team = team.Name
	if pgErr := h.server.checkDatabase(g.database, team); pgErr != nil {
		return nil, pgErr
	}
	if pgErr := checkAccess(role, g.database); pgErr != nil {
		return nil, pgErr
	}
	if pgErr := g.applyParameters(parameters); pgErr != nil {
		return nil, pgErr
	}
	if pgErr := h.server.addSession(g, team.MaxGuests); pgErr != nil {
		return nil, pgErr
	}
	if err := h.completeLogin(g, parameters); err != nil {
		h.server.removeSession(g)
		return nil, err
	}
	return g, nil
}

// readStartup reads packets up to the startup message and returns its parameters, nil after a cancel request.
func (h *handshake) readStartup() (map[string]string, error) {
	// A guest may ask for GSSAPI encryption, then for TLS, and then send the startup message.
	for range 3 {
		packet, err := h.reader.startupPacket(maxStartupBytes)
		if err != nil {
			return nil, err
		}
		h.lowerMinorVersion(packet)
		h.decoderInput.Reset(packet)
		m, err := h.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, newFatalError(codeProtocol, "invalid startup packet")
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			return h.removeOptions(m.Parameters), nil
		case *pgproto3.CancelRequest:
			h.server.cancelRequest(m)
			return nil, nil
		case *pgproto3.SSLRequest:
			err = h.startTLS()
		case *pgproto3.GSSEncRequest:
			_, err = h.conn.Write([]byte("N"))
		}
		if err != nil {
			return nil, fmt.Errorf("answer a request for encryption: %w", err)
		}
	}
	return nil, newFatalError(codeProtocol, "too many requests for encryption")
}

// lowerMinorVersion lowers a newer minor version of protocol 3 to 3.0.
func (h *handshake) lowerMinorVersion(packet []byte) {
	code := binary.BigEndian.Uint32(packet[4:])
	if code>>16 == 3 && code&0xffff > 0 {
		h.newerMinor = true
		binary.BigEndian.PutUint32(packet[4:], pgproto3.ProtocolVersion30)
	}
}

// removeOptions removes the protocol options, none of which is supported.
func (h *handshake) removeOptions(parameters map[string]string) map[string]string {
	for name := range parameters {
		if strings.HasPrefix(name, "_pq_.") {
			h.unknownOptions = append(h.unknownOptions, name)
			delete(parameters, name)
		}
	}
	slices.Sort(h.unknownOptions)
	return parameters
}

// startTLS answers a request for TLS.
func (h *handshake) startTLS() error {
	var config *tls.Config
	if h.server.tls != nil {
		config = h.server.tls()
	}
	if config == nil || h.encrypted {
		_, err := h.conn.Write([]byte("N"))
		return err
	}
	if h.reader.buffered() {
		// Plain text that arrives before the handshake may have been injected by an attacker.
		return newFatalError(codeProtocol, "data before the TLS handshake")
	}
	if _, err := h.conn.Write([]byte("S")); err != nil {
		return err
	}
	conn := tls.Server(h.conn, config)
	if err := conn.HandshakeContext(h.server.ctx); err != nil {
		return fmt.Errorf("TLS handshake: %w", err)
	}
	h.encrypted = true
	h.setConn(conn)
	return nil
}

// checkParameters refuses startup parameters that the session cannot honour.
func (h *handshake) checkParameters(parameters map[string]string) error {
	if parameters["user"] == "" {
		return newFatalError(codeAuthorization, "no user name in the startup packet")
	}
	for name, value := range parameters {
		switch {
		case name == "user", name == "database", name == "options", strings.HasPrefix(strings.ToLower(name), settingPrefix):
		case name == "replication" && value != "false" && value != "off" && value != "0":
			return newUnsupportedError("replication connections are not supported", "")
		case name == "replication":
		default:
			if pgErr := checkSetting(name, value); pgErr != nil {
				return pgErr
			}
		}
	}
	return nil
}

// applyParameters sets the session's settings from the startup packet.
func (s *session) applyParameters(parameters map[string]string) *pgError {
	for name, value := range parameters {
		if strings.HasPrefix(strings.ToLower(name), settingPrefix) {
			if pgErr := s.setSetting(settingName(name), value); pgErr != nil {
				return pgErr
			}
		}
	}
	if strings.Contains(parameters["options"], `\`) {
		return newUnsupportedError("escapes in the startup parameter options are not supported", "Use SET after the login.")
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

// checkDatabase returns an error for a database that the guest's team does not have.
func (s *Server) checkDatabase(database string, team document.Team) *pgError {
	if slices.Contains(team.Databases, database) {
		return nil
	}
	if _, ok := s.views.View().Databases[database]; ok {
		return newFatalError(codePrivilege, "permission denied for database %q", database)
	}
	return newFatalError(codeNoDatabase, "database %q does not exist", database)
}

// checkAccess returns an error for a database that the role may not use.
func checkAccess(role document.Role, database string) *pgError {
	if slices.Contains(role.Databases, database) {
		return nil
	}
	return newFatalError(codePrivilege, "permission denied for database %q", database)
}

// completeLogin ends the login: it sends the parameters and the first ReadyForQuery.
func (h *handshake) completeLogin(g *session, parameters map[string]string) error {
	g.id = g.server.host.Name + "/" + strconv.FormatUint(uint64(g.pid), 16)
	g.send(&pgproto3.AuthenticationOk{})
	status := [][2]string{
		{"server_version", h.server.version},
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
	if err := h.conn.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("end the deadline of the login: %w", err)
	}
	if g.server.events.Tracing() {
		g.server.events.Emit(event.GuestOpened, event.Fields{"session": g.id, "role": g.role, "team": g.team, "database": g.database})
	}
	return nil
}

// cancelRequest cancels the request of the session that has the process identifier and the secret key.
func (s *Server) cancelRequest(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	g := s.sessions[m.ProcessID]
	s.mu.Unlock()
	if g != nil && subtle.ConstantTimeCompare(g.secret[:], m.SecretKey) == 1 {
		g.cancel()
	}
}
