package standin

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// session serves one client connection. Its fields belong to its goroutine unless they say otherwise.
type session struct {
	target  *Target
	conn    *conn
	backend *pgproto3.Backend
	typeMap *pgtype.Map
	pid     uint32
	secret  uint32

	settings           map[string]string
	preparedStatements map[string]*preparedStatement
	portals            map[string]*portal
	// tx is nil outside a transaction.
	tx *transaction
	// reportedPosition is the position that was last reported to the client.
	reportedPosition jacinthtiller.Position
	// skipUntilSync is true from an error in the extended protocol until Sync.
	skipUntilSync bool

	// active is true while a transaction is open or a message is being answered; read by any goroutine.
	active atomic.Bool
	// holdsWriteLock is true while the transaction holds the write lock; read by any goroutine.
	holdsWriteLock atomic.Bool

	mu sync.Mutex // guards cancelRunning
	// cancelRunning cancels the running statement; nil when none is running.
	cancelRunning context.CancelFunc
}

// acceptLoop accepts connections until the target stops.
func (t *Target) acceptLoop() {
	for {
		n, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			sleep(t.ctx, 10*time.Millisecond)
			continue
		}
		c, err := t.registerConn(n)
		if err != nil {
			continue
		}
		t.wg.Go(func() {
			defer c.unregister()
			t.serveConn(c)
		})
	}
}

// serveConn reads the first messages of a connection and serves it as replication, as a cancel request or as a client's
// session.
func (t *Target) serveConn(c *conn) {
	b := pgproto3.NewBackend(c.reader, c)
	for {
		head, err := c.reader.Peek(8)
		if err != nil {
			return
		}
		if binary.BigEndian.Uint32(head[4:]) == replicationCode {
			if _, err := c.reader.Discard(8); err == nil {
				t.servePulls(c)
			}
			return
		}
		m, err := b.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.Write([]byte{'N'}); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			t.cancelStatement(m)
			return
		case *pgproto3.StartupMessage:
			t.serveClient(c, b, m.Parameters)
			return
		}
	}
}

// cancelStatement cancels the running statement of the session that the request names.
func (t *Target) cancelStatement(m *pgproto3.CancelRequest) {
	t.mu.Lock()
	s := t.sessions[m.ProcessID]
	t.mu.Unlock()
	if s == nil || binary.BigEndian.Uint32(m.SecretKey) != s.secret {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelRunning != nil {
		s.cancelRunning()
	}
}

// serveClient runs a client's session.
func (t *Target) serveClient(c *conn, b *pgproto3.Backend, params map[string]string) {
	if c.addPeerNames(params["user"], params["application_name"]) != nil {
		return
	}
	s := &session{
		target: t, conn: c, backend: b, typeMap: pgtype.NewMap(), pid: t.lastPID.Add(1), secret: rand.Uint32(),
		settings: map[string]string{}, preparedStatements: map[string]*preparedStatement{}, portals: map[string]*portal{},
	}
	for k, v := range params {
		if k != "user" && k != "database" && k != "options" && k != "replication" {
			s.settings[strings.ToLower(k)] = v
		}
	}
	if err := s.authenticateAndRegister(); err != nil {
		_ = s.sendFatal(err)
		return
	}
	defer s.close()
	if s.sendStartupResponse() != nil {
		return
	}
	for {
		m, err := s.backend.Receive()
		if err != nil {
			return
		}
		s.active.Store(true)
		if _, ok := m.(*pgproto3.Terminate); ok || s.handleMessage(m) != nil {
			return
		}
		s.active.Store(s.tx != nil)
	}
}

// authenticateAndRegister authenticates the client and registers the session, up to the limit of connections.
func (s *session) authenticateAndRegister() error {
	sleep(s.target.ctx, time.Duration(s.target.cfg.ConnectDelayMicroseconds)*time.Microsecond)
	if s.target.cfg.Password != "" {
		s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
		if err := s.backend.Flush(); err != nil {
			return fmt.Errorf("ask for the password: %w", err)
		}
		m, err := s.backend.Receive()
		if err != nil {
			return fmt.Errorf("receive the password: %w", err)
		}
		if p, ok := m.(*pgproto3.PasswordMessage); !ok || p.Password != s.target.cfg.Password {
			return pgErrorf("28P01", "password authentication failed")
		}
	}
	s.target.mu.Lock()
	defer s.target.mu.Unlock()
	if len(s.target.sessions) >= s.target.cfg.MaxConnections {
		return pgErrorf("53300", "too many connections: the limit is %d", s.target.cfg.MaxConnections)
	}
	s.target.sessions[s.pid] = s
	return nil
}

// sendFatal reports an error that ends the session.
func (s *session) sendFatal(err error) error {
	p := asPgError(err)
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: p.code, Message: p.message})
	return s.flush()
}

// close rolls back the open transaction and unregisters the session.
func (s *session) close() {
	s.rollback()
	s.target.mu.Lock()
	defer s.target.mu.Unlock()
	delete(s.target.sessions, s.pid)
}

// startupParameters are the parameters that a server reports to a new client.
var startupParameters = [][2]string{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"TimeZone", "UTC"},
}

func (s *session) sendStartupResponse() error {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range startupParameters {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: binary.BigEndian.AppendUint32(nil, s.secret)})
	s.reportPosition(true)
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return s.flush()
}

func (s *session) flush() error {
	if err := s.backend.Flush(); err != nil {
		return fmt.Errorf("answer the client: %w", err)
	}
	return nil
}

// reportPosition reports the position when it has changed since the last report, or in any case when always is set.
func (s *session) reportPosition(always bool) {
	p := s.target.Position()
	if p != s.reportedPosition || always {
		s.reportedPosition = p
		s.backend.Send(&pgproto3.ParameterStatus{Name: "log_position", Value: p.String()})
	}
}

// sendReady ends the response to a Query or Sync.
func (s *session) sendReady() error {
	s.reportPosition(false)
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	return s.flush()
}

func (s *session) txStatus() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.tx.failed:
		return 'E'
	}
	return 'T'
}

// reportError reports an error to the client. It rolls back an implicit transaction and marks an explicit one as
// failed.
func (s *session) reportError(err error) {
	p := asPgError(err)
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: p.code, Message: p.message})
	s.abort()
}

// handleMessage answers one message. An error ends the session.
func (s *session) handleMessage(m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Sync); !ok && s.skipUntilSync {
		return nil
	}
	var err error
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.query(m.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Parse:
		err = s.parse(m)
	case *pgproto3.Bind:
		err = s.bind(m)
	case *pgproto3.Describe:
		err = s.describe(m)
	case *pgproto3.Execute:
		err = s.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.preparedStatements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
	default:
		err = pgErrorf("0A000", "message %T is not supported", m)
	}
	if err != nil {
		s.skipUntilSync = true
		s.reportError(err)
	}
	return nil
}

// query runs the statements of a simple Query as one implicit transaction.
func (s *session) query(sql string) error {
	sts, err := parseStatements(sql)
	if err == nil && len(sts) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return s.sendReady()
	}
	for i, st := range sts {
		if err = s.runSimple(st, i == len(sts)-1); err != nil {
			break
		}
	}
	if err != nil {
		s.reportError(err)
	}
	return s.sendReady()
}

// runSimple runs one statement of a Query. The last one commits the implicit transaction before its tag is sent.
func (s *session) runSimple(st *parsedStatement, last bool) error {
	if st.paramCount > 0 {
		return pgErrorf("42P02", "there is no parameter $%d", st.paramCount)
	}
	s.rewriteBooleanLiterals(st)
	r, err := s.runStatement(st, nil)
	if err != nil {
		return err
	}
	if last {
		if err := s.commitImplicit(); err != nil {
			return err
		}
	}
	if st.returnsRows {
		s.backend.Send(rowDescription(r.columns, nil))
		if err := s.sendRows(r, nil, len(r.pendingRows)); err != nil {
			return err
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}

// commitImplicit commits the open transaction if it is implicit.
func (s *session) commitImplicit() error {
	if s.tx == nil || s.tx.explicit {
		return nil
	}
	return s.commit()
}

func rowDescription(cs []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range cs {
		size := int16(-1)
		switch c.oid {
		case oidInt8, oidFloat8:
			size = 8
		case oidBool:
			size = 1
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: formatCode(formats, i),
		})
	}
	return d
}

// formatCode returns the format of item i: a single code applies to all items, and no codes mean text.
func formatCode(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return pgtype.TextFormatCode
}

// flushIntervalRows is the number of rows after which a long result is flushed, to bound the buffer.
const flushIntervalRows = 1000

// sendRows sends the next n rows of a result.
func (s *session) sendRows(r *result, formats []int16, n int) error {
	for i, row := range r.pendingRows[:n] {
		d := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for j, v := range row {
			b, err := encodeValue(s.typeMap, r.columns[j].oid, formatCode(formats, j), v)
			if err != nil {
				return err
			}
			d.Values[j] = b
		}
		s.backend.Send(d)
		if i%flushIntervalRows == flushIntervalRows-1 {
			if err := s.flush(); err != nil {
				return err
			}
		}
	}
	r.pendingRows = r.pendingRows[n:]
	return nil
}

// discardAll resets the session as DISCARD ALL does.
func (s *session) discardAll() {
	maps.DeleteFunc(s.settings, func(k, _ string) bool { return k != "application_name" })
	clear(s.preparedStatements)
	clear(s.portals)
}
