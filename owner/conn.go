package owner

import (
	"bufio"
	"context"
	"crypto/md5"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// readBufferBytes holds a few small answers; larger frames are read past the buffer.
	readBufferBytes = 16 << 10
	// maxFrameBytes is the largest message that PostgreSQL itself sends.
	maxFrameBytes = 1 << 30
	// sqlstateBytes is the length of an SQLSTATE.
	sqlstateBytes = 5
)

// loginConfig holds the credentials and TLS settings of connections to targets.
type loginConfig struct {
	user, password, database string
	// tls is nil when connections to targets are not encrypted.
	tls func(host string) *tls.Config
}

// conn is one connection to a target. It is used by one goroutine at a time;
// only close, interrupt and the cancellation key may be used by others.
type conn struct {
	// raw is the TCP connection; netConn, which carries the messages, is raw or TLS over it.
	raw, netConn net.Conn
	reader       *bufio.Reader
	address      string
	pid          uint32
	secret       []byte

	// pendingDiscard is the length of the frame that readFrame returned last; the next call discards it from reader.
	pendingDiscard int
	// statements holds the names of the prepared statements that exist on the connection.
	statements map[string]struct{}
	// lastSession is the guest's session that used the connection last.
	lastSession string
	// dirty is true when the prepared statements on the target may differ from statements; a reset must come before other work.
	dirty bool
	// status is the transaction status of the last ReadyForQuery.
	status byte
	// markers counts the markers that were sent.
	markers uint64
	// position is the newest log position reported on this connection; it never decreases.
	position jacinthtiller.Position
	// cancelled is true once a CancelRequest may have been sent. The target could act on it late,
	// so the connection is not reused.
	cancelled atomic.Bool
	closed    atomic.Bool
}

// dial opens a connection and logs in. It fails when ctx ends before that.
func dial(ctx context.Context, address string, l loginConfig) (*conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to target: %w", err)
	}
	c := &conn{raw: nc, netConn: nc, address: address, statements: map[string]struct{}{}}
	stop := context.AfterFunc(ctx, c.interrupt)
	err = c.startUp(ctx, l)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		c.close()
		return nil, fmt.Errorf("log in to target at %s: %w", address, err)
	}
	return c, nil
}

func (c *conn) startUp(ctx context.Context, l loginConfig) error {
	if l.tls != nil {
		if err := c.startTLS(ctx, l.tls); err != nil {
			return err
		}
	}
	c.reader = bufio.NewReaderSize(c.netConn, readBufferBytes)
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": l.user, "database": l.database, "application_name": "jacinthtiller"},
	}
	if err := c.send(startup); err != nil {
		return err
	}
	for {
		typ, f, err := c.readFrame()
		if err != nil {
			return err
		}
		switch typ {
		case 'R':
			err = c.authenticate(f[5:], l)
		case 'S':
			_, err = c.handleParameterStatus(f)
		case 'K':
			if len(f) < 13 {
				return errors.New("short cancellation key")
			}
			c.pid = binary.BigEndian.Uint32(f[5:])
			c.secret = append([]byte(nil), f[9:]...)
		case 'E':
			return decodeErrorResponse(f)
		case 'Z':
			return c.handleReady(f)
		case 'N', 'v':
		default:
			return fmt.Errorf("unexpected message %q at login", typ)
		}
		if err != nil {
			return err
		}
	}
}

func (c *conn) startTLS(ctx context.Context, config func(host string) *tls.Config) error {
	host, _, err := net.SplitHostPort(c.address)
	if err != nil {
		return fmt.Errorf("address of the target: %w", err)
	}
	if err := c.send(&pgproto3.SSLRequest{}); err != nil {
		return err
	}
	var b [1]byte
	if _, err := io.ReadFull(c.netConn, b[:]); err != nil {
		return fmt.Errorf("read answer to SSLRequest: %w", err)
	}
	if b[0] != 'S' {
		return errors.New("target refuses TLS")
	}
	t := tls.Client(c.netConn, config(host))
	if err := t.HandshakeContext(ctx); err != nil {
		return fmt.Errorf("TLS handshake: %w", err)
	}
	c.netConn = t
	return nil
}

func (c *conn) authenticate(body []byte, l loginConfig) error {
	if len(body) < 4 {
		return errors.New("short authentication request")
	}
	switch kind := binary.BigEndian.Uint32(body); kind {
	case pgproto3.AuthTypeOk:
		return nil
	case pgproto3.AuthTypeCleartextPassword:
		return c.send(&pgproto3.PasswordMessage{Password: l.password})
	case pgproto3.AuthTypeMD5Password:
		inner := md5.Sum([]byte(l.password + l.user))
		salted := append([]byte(hex.EncodeToString(inner[:])), body[4:]...)
		outer := md5.Sum(salted)
		return c.send(&pgproto3.PasswordMessage{Password: "md5" + hex.EncodeToString(outer[:])})
	case pgproto3.AuthTypeSASL:
		return c.authenticateSCRAM(l)
	default:
		return fmt.Errorf("authentication method %d is not supported", kind)
	}
}

func (c *conn) authenticateSCRAM(l loginConfig) error {
	client, err := scram.SHA256.NewClient(l.user, l.password, "")
	if err != nil {
		return fmt.Errorf("prepare SCRAM: %w", err)
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return fmt.Errorf("begin SCRAM: %w", err)
	}
	err = c.send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)})
	for err == nil {
		var typ byte
		var f []byte
		if typ, f, err = c.readFrame(); err != nil {
			break
		}
		if typ == 'E' {
			return decodeErrorResponse(f)
		}
		if typ != 'R' || len(f) < 9 {
			return fmt.Errorf("unexpected message %q during SCRAM", typ)
		}
		var answer string
		if answer, err = conversation.Step(string(f[9:])); err != nil {
			return fmt.Errorf("SCRAM: %w", err)
		}
		if binary.BigEndian.Uint32(f[5:]) == pgproto3.AuthTypeSASLFinal {
			return nil
		}
		err = c.send(&pgproto3.SASLResponse{Data: []byte(answer)})
	}
	return err
}

func (c *conn) send(m pgproto3.FrontendMessage) error {
	b, err := m.Encode(nil)
	if err != nil {
		return fmt.Errorf("encode %T: %w", m, err)
	}
	if _, err := c.netConn.Write(b); err != nil {
		return fmt.Errorf("write %T: %w", m, err)
	}
	return nil
}

// readFrame returns the type of the next frame and the whole frame, which is valid until the next call.
func (c *conn) readFrame() (byte, []byte, error) {
	if err := c.discardPending(); err != nil {
		return 0, nil, err
	}
	header, err := c.reader.Peek(5)
	if err != nil {
		return 0, nil, fmt.Errorf("read frame from target: %w", err)
	}
	n := int(binary.BigEndian.Uint32(header[1:])) + 1
	if n < 5 || n > maxFrameBytes {
		return 0, nil, fmt.Errorf("frame %q of %d bytes from target", header[0], n)
	}
	if n <= c.reader.Size() {
		f, err := c.reader.Peek(n)
		if err != nil {
			return 0, nil, fmt.Errorf("read frame from target: %w", err)
		}
		c.pendingDiscard = n
		return f[0], f, nil
	}
	f := make([]byte, n)
	if _, err := io.ReadFull(c.reader, f); err != nil {
		return 0, nil, fmt.Errorf("read frame from target: %w", err)
	}
	return f[0], f, nil
}

// discardPending discards the frame that readFrame returned last.
func (c *conn) discardPending() error {
	if _, err := c.reader.Discard(c.pendingDiscard); err != nil {
		return fmt.Errorf("discard frame: %w", err)
	}
	c.pendingDiscard = 0
	return nil
}

// noFrameBuffered reports whether the next call of readFrame would read from the network.
func (c *conn) noFrameBuffered() bool { return c.reader.Buffered() <= c.pendingDiscard }

// handleParameterStatus processes a ParameterStatus and reports whether it is passed on to guests.
func (c *conn) handleParameterStatus(f []byte) (bool, error) {
	var m pgproto3.ParameterStatus
	if err := m.Decode(f[5:]); err != nil {
		return false, fmt.Errorf("decode ParameterStatus: %w", err)
	}
	if m.Name != "log_position" {
		return true, nil
	}
	p, err := jacinthtiller.ParsePosition(m.Value)
	if err != nil {
		return false, fmt.Errorf("log position from target: %w", err)
	}
	if c.position.Compare(p) > 0 {
		return false, answerErrorf("log position %v after %v", p, c.position)
	}
	c.position = p
	return false, nil
}

// handleReady records the transaction status of a ReadyForQuery.
func (c *conn) handleReady(f []byte) error {
	if len(f) != headerBytes+1 || strings.IndexByte("ITE", f[headerBytes]) < 0 {
		return answerErrorf("ReadyForQuery of a wrong form")
	}
	c.status = f[headerBytes]
	return nil
}

// interrupt makes reads and writes in progress fail.
func (c *conn) interrupt() { _ = c.netConn.SetDeadline(time.Unix(1, 0)) }

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.netConn.Close()
	}
}

// query runs simple queries, sent in one write, and returns the first column of the first row and the first error of the
// target. After an error that is not a *serverError the connection must be closed.
func (c *conn) query(ctx context.Context, queries ...string) (string, error) {
	defer context.AfterFunc(ctx, c.interrupt)()
	if err := c.checkBeforeRequest(); err != nil {
		return "", err
	}
	p := requestPlan{}
	for _, s := range queries {
		p.addQuery(s)
	}
	if err := p.addMarker(c); err != nil {
		return "", err
	}
	if _, err := c.netConn.Write(p.messages); err != nil {
		return "", fmt.Errorf("write: %w", err)
	}
	x := answerReader{conn: c, expected: p.expected}
	for !x.done() {
		if _, err := x.readFrame(); err != nil {
			return "", err
		}
	}
	if err := c.checkUnread(); err != nil {
		return "", err
	}
	if x.value == nil {
		return "", x.failure
	}
	return *x.value, x.failure
}

// serverError is an ErrorResponse from a target.
type serverError struct{ code, message string }

func (e *serverError) Error() string { return fmt.Sprintf("target: %s (%s)", e.message, e.code) }

func decodeErrorResponse(f []byte) error {
	var m pgproto3.ErrorResponse
	if err := m.Decode(f[5:]); err != nil {
		return fmt.Errorf("decode ErrorResponse: %w", err)
	}
	if len(m.Code) != sqlstateBytes {
		return answerErrorf("ErrorResponse with the SQLSTATE %q", m.Code)
	}
	return &serverError{code: m.Code, message: m.Message}
}

// asServerError finds a *serverError in the chain of err; nil if there is none.
func asServerError(err error) *serverError {
	var r *serverError
	if errors.As(err, &r) {
		return r
	}
	return nil
}

// sendCancelRequest sends a CancelRequest on a new connection and waits until the target closes it.
func sendCancelRequest(ctx context.Context, address string, l loginConfig, request []byte) error {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("connect to target: %w", err)
	}
	c := &conn{netConn: nc, address: address}
	defer c.close()
	defer context.AfterFunc(ctx, c.interrupt)()
	if l.tls != nil {
		if err := c.startTLS(ctx, l.tls); err != nil {
			return err
		}
	}
	if _, err := c.netConn.Write(request); err != nil {
		return fmt.Errorf("write CancelRequest: %w", err)
	}
	var b [1]byte
	if _, err := c.netConn.Read(b[:]); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("wait for the target to take the CancelRequest: %w", err)
	}
	return nil
}
