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

// session serves one client connection. All but the fields that say otherwise belong to its goroutine.
type session struct {
	t      *Target
	conn   *conn
	b      *pgproto3.Backend
	types  *pgtype.Map
	pid    uint32
	secret uint32

	settings   map[string]string
	statements map[string]*preparedStatement
	portals    map[string]*portal
	// tx is nil outside a transaction.
	tx *transaction
	// reported is the position that the client was told last.
	reported jacinthtiller.Position
	// skip is true from an error in the extended protocol until Sync.
	skip bool

	// active is true while a transaction is open or a message is being answered; read by any goroutine.
	active atomic.Bool
	// writing is true while the transaction holds the write lock; read by any goroutine.
	writing atomic.Bool

	mu sync.Mutex // guards interrupt
	// interrupt cancels the running statement; nil when none is running.
	interrupt context.CancelFunc
}

// accept takes connections until the target stops.
func (t *Target) accept() {
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
			t.greet(c)
		})
	}
}

// greet reads the first messages of a connection and serves what it turns out to be.
func (t *Target) greet(c *conn) {
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
			t.serve(c, b, m.Parameters)
			return
		}
	}
}

// cancelStatement interrupts the running statement of the session that the request names.
func (t *Target) cancelStatement(m *pgproto3.CancelRequest) {
	t.mu.Lock()
	s := t.sessions[m.ProcessID]
	t.mu.Unlock()
	if s == nil || binary.BigEndian.Uint32(m.SecretKey) != s.secret {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interrupt != nil {
		s.interrupt()
	}
}

// serve runs a client's session.
func (t *Target) serve(c *conn, b *pgproto3.Backend, params map[string]string) {
	if c.addPeerNames(params["user"], params["application_name"]) != nil {
		return
	}
	s := &session{
		t: t, conn: c, b: b, types: pgtype.NewMap(), pid: t.lastPID.Add(1), secret: rand.Uint32(),
		settings: map[string]string{}, statements: map[string]*preparedStatement{}, portals: map[string]*portal{},
	}
	for k, v := range params {
		if k != "user" && k != "database" && k != "options" && k != "replication" {
			s.settings[strings.ToLower(k)] = v
		}
	}
	if err := s.start(); err != nil {
		_ = s.fatal(err)
		return
	}
	defer s.end()
	if s.welcome() != nil {
		return
	}
	for {
		m, err := s.b.Receive()
		if err != nil {
			return
		}
		s.active.Store(true)
		if _, ok := m.(*pgproto3.Terminate); ok || s.handle(m) != nil {
			return
		}
		s.active.Store(s.tx != nil)
	}
}

// start authenticates the client and takes a place for its connection.
func (s *session) start() error {
	sleep(s.t.ctx, time.Duration(s.t.cfg.ConnectMicroseconds)*time.Microsecond)
	if s.t.cfg.Password != "" {
		s.b.Send(&pgproto3.AuthenticationCleartextPassword{})
		if err := s.b.Flush(); err != nil {
			return fmt.Errorf("ask for the password: %w", err)
		}
		m, err := s.b.Receive()
		if err != nil {
			return fmt.Errorf("receive the password: %w", err)
		}
		if p, ok := m.(*pgproto3.PasswordMessage); !ok || p.Password != s.t.cfg.Password {
			return pgErrorf("28P01", "password authentication failed")
		}
	}
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if len(s.t.sessions) >= s.t.cfg.Connections {
		return pgErrorf("53300", "too many connections: the limit is %d", s.t.cfg.Connections)
	}
	s.t.sessions[s.pid] = s
	return nil
}

// fatal reports an error that ends the session.
func (s *session) fatal(err error) error {
	p := asPgError(err)
	s.b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: p.code, Message: p.message})
	return s.flush()
}

// end rolls back and gives the place free.
func (s *session) end() {
	s.rollback()
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	delete(s.t.sessions, s.pid)
}

// reportedSettings are the parameters that a server reports at connect.
var reportedSettings = [][2]string{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"TimeZone", "UTC"},
}

func (s *session) welcome() error {
	s.b.Send(&pgproto3.AuthenticationOk{})
	for _, p := range reportedSettings {
		s.b.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.b.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: binary.BigEndian.AppendUint32(nil, s.secret)})
	s.reportPosition(true)
	s.b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return s.flush()
}

func (s *session) flush() error {
	if err := s.b.Flush(); err != nil {
		return fmt.Errorf("answer the client: %w", err)
	}
	return nil
}

// reportPosition tells the position when it changed since the last report, or in any case.
func (s *session) reportPosition(always bool) {
	p := s.t.Position()
	if p != s.reported || always {
		s.reported = p
		s.b.Send(&pgproto3.ParameterStatus{Name: "log_position", Value: p.String()})
	}
}

// ready ends the answer to a Query or Sync.
func (s *session) ready() error {
	s.reportPosition(false)
	s.b.Send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	return s.flush()
}

func (s *session) status() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.tx.failed:
		return 'E'
	}
	return 'T'
}

// fail reports an error. It ends an implicit transaction and fails an explicit one.
func (s *session) fail(err error) {
	p := asPgError(err)
	s.b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: p.code, Message: p.message})
	s.abort()
}

// handle answers one message. An error ends the session.
func (s *session) handle(m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Sync); !ok && s.skip {
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
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.b.Send(&pgproto3.CloseComplete{})
	default:
		err = pgErrorf("0A000", "message %T is not supported", m)
	}
	if err != nil {
		s.skip = true
		s.fail(err)
	}
	return nil
}

// query runs the statements of a simple Query as one implicit transaction.
func (s *session) query(sql string) error {
	sts, err := parseStatements(sql)
	if err == nil && len(sts) == 0 {
		s.b.Send(&pgproto3.EmptyQueryResponse{})
		return s.ready()
	}
	for i, st := range sts {
		if err = s.simple(st, i == len(sts)-1); err != nil {
			break
		}
	}
	if err != nil {
		s.fail(err)
	}
	return s.ready()
}

// simple runs one statement of a Query. The last one commits the implicit transaction before its tag is sent.
func (s *session) simple(st *parsedStatement, last bool) error {
	if st.paramCount > 0 {
		return pgErrorf("42P02", "there is no parameter $%d", st.paramCount)
	}
	s.rewriteBooleanLiterals(st)
	r, err := s.run(st, nil)
	if err != nil {
		return err
	}
	if last {
		if err := s.endImplicit(); err != nil {
			return err
		}
	}
	if st.returnsRows {
		s.b.Send(rowDescription(r.columns, nil))
		if err := s.sendRows(r, nil, len(r.rows)); err != nil {
			return err
		}
	}
	s.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}

// endImplicit commits a transaction that BEGIN did not open.
func (s *session) endImplicit() error {
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
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: formatOf(formats, i),
		})
	}
	return d
}

// formatOf returns the format of item i: one code may stand for all, and none means text.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return pgtype.TextFormatCode
}

// flushAfter bounds what is buffered of a long result, in rows.
const flushAfter = 1000

// sendRows sends the next n rows of a result.
func (s *session) sendRows(r *result, formats []int16, n int) error {
	for i, row := range r.rows[:n] {
		d := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for j, v := range row {
			b, err := encode(s.types, r.columns[j].oid, formatOf(formats, j), v)
			if err != nil {
				return err
			}
			d.Values[j] = b
		}
		s.b.Send(d)
		if i%flushAfter == flushAfter-1 {
			if err := s.flush(); err != nil {
				return err
			}
		}
	}
	r.rows = r.rows[n:]
	return nil
}

// discard resets the session as DISCARD ALL does.
func (s *session) discard() {
	maps.DeleteFunc(s.settings, func(k, _ string) bool { return k != "application_name" })
	clear(s.statements)
	clear(s.portals)
}
