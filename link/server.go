package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// drainGracePeriod is how long a draining server still takes units that were sent before its
	// go-away frame arrived.
	drainGracePeriod = 200 * time.Millisecond
	// helloTimeout bounds the wait for the first frame of a connection.
	helloTimeout = 30 * time.Second
)

// Server receives units from other hosts and runs them on channels of this host.
type Server struct {
	open   func(ctx context.Context) (jacinthtiller.Channel, error)
	tls    *tls.Config
	events *event.Log
	marks  MarkFunc

	ctx   context.Context
	stop  context.CancelFunc
	group conc.WaitGroup

	mu sync.Mutex // guards the fields below
	// listeners and conns are those that are open.
	listeners map[net.Listener]struct{}
	conns     map[*serverConn]struct{}
	// changed is closed and replaced when a connection ends or becomes idle.
	changed          chan struct{}
	draining, closed bool
}

// ServerOption changes a Server that is being made.
type ServerOption func(*Server)

// WithServerTLS makes the server accept only TLS.
func WithServerTLS(c *tls.Config) ServerOption { return func(s *Server) { s.tls = c } }

// WithEvents sets the log of events.
func WithEvents(l *event.Log) ServerOption { return func(s *Server) { s.events = l } }

// NewServer returns a server that opens a channel for each connection.
func NewServer(open func(ctx context.Context) (jacinthtiller.Channel, error), opts ...ServerOption) *Server {
	s := &Server{
		open: open, listeners: map[net.Listener]struct{}{}, conns: map[*serverConn]struct{}{},
		changed: make(chan struct{}),
	}
	for _, f := range opts {
		f(s)
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Serve accepts connections until Drain or Close is called or the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.draining || s.closed {
		s.mu.Unlock()
		return fmt.Errorf("serve link: %w", errors.Join(net.ErrClosed, l.Close()))
	}
	s.listeners[l] = struct{}{}
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			if s.stopping() {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() || !errors.Is(err, net.ErrClosed) {
				s.events.Emit(event.LinkAcceptFailed, event.Fields{"error": err.Error()})
				time.Sleep(10 * time.Millisecond)
				continue
			}
			return fmt.Errorf("serve link: %w", err)
		}
		wire.SetDeadPeerTimeouts(c, writeStallTimeout)
		s.startConn(c)
	}
}

func (s *Server) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.closed
}

func (s *Server) startConn(raw net.Conn) {
	nc := raw
	if s.tls != nil {
		nc = tls.Server(raw, s.tls)
	}
	c := &serverConn{server: s, conn: nc, reader: newReader(nc), writer: bufio.NewWriterSize(nc, ioBufferBytes)}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = raw.Close()
		return
	}
	s.conns[c] = struct{}{}
	c.readers = 2
	s.group.Go(c.serve)
	s.group.Go(c.serve)
	s.mu.Unlock()
}

// Drain stops accepting connections, sends go-away to the other hosts, closes each connection when no
// unit runs and no transaction is open on it, and returns when none is left.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	for l := range s.listeners {
		_ = l.Close()
	}
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		if err := c.withWriter(func() error { return c.writeEmptyFrame(frameGoAway) }); err != nil {
			c.close()
		}
	}
	linger := time.NewTimer(drainGracePeriod)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	for {
		busy, changed := s.closeIdle()
		if !busy {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("drain link: %w", ctx.Err())
		}
	}
}

// closeIdle closes the idle connections and reports whether others remain.
func (s *Server) closeIdle() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := false
	for c := range s.conns {
		if c.idle() {
			c.close()
		} else {
			busy = true
		}
	}
	return busy, s.changed
}

func (s *Server) notifyChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Close ends all connections; open transactions are rolled back.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		c.close()
	}
	s.mu.Unlock()
	s.stop()
	s.group.Wait()
	return nil
}

// serverConn is a connection from another host. Two goroutines take turns: one runs the unit that it has read while
// the other reads on, for a cancel or the end of the connection. This avoids handing each unit to another goroutine.
type serverConn struct {
	server *Server
	conn   net.Conn
	ctx    context.Context
	cancel context.CancelFunc

	readMu sync.Mutex // guards reader and helloRead
	reader *reader
	// helloRead is true once hello was read.
	helloRead bool
	writeMu   sync.Mutex // guards writer
	writer    *bufio.Writer

	mu sync.Mutex // guards the fields below
	// readers counts the goroutines that have not ended; the last one closes the channel.
	readers int
	// channel is opened by the first unit.
	channel jacinthtiller.Channel
	// running is the sequence of the unit that runs; 0 for none.
	running uint64
	// status is the transaction status after the last unit; 0 before the first.
	status byte
}

// sequencedUnit is a unit with its sequence number on the connection.
type sequencedUnit struct {
	unit     jacinthtiller.Unit
	sequence uint64
}

func (c *serverConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running == 0 && (c.status == 0 || c.status == 'I')
}

func (c *serverConn) close() {
	c.cancel()
	_ = c.conn.Close()
}

// serve reads a unit, lets the other goroutine read, and runs the unit, until the other host has disconnected.
func (c *serverConn) serve() {
	for {
		su, err := c.receive()
		if err == nil {
			err = c.runUnit(su)
			c.server.notifyChanged()
		}
		if err != nil {
			c.fail(err)
			break
		}
	}
	c.mu.Lock()
	c.readers--
	last, ch := c.readers == 0, c.channel
	c.mu.Unlock()
	if !last {
		return
	}
	if ch != nil {
		_ = ch.Close() // its connections are closed in any case
	}
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	c.server.notifyChanged()
}

// fail ends the connection, which interrupts a unit that the other goroutine runs.
func (c *serverConn) fail(err error) {
	if c.ctx.Err() == nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.server.events.Emit(event.LinkChannelBroken, event.Fields{"error": err.Error(), "from": c.conn.RemoteAddr().String()})
	}
	c.close()
}

// receive reads frames up to the next unit.
func (c *serverConn) receive() (sequencedUnit, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if !c.helloRead {
		_ = c.conn.SetReadDeadline(time.Now().Add(helloTimeout))
		if err := c.readHello(); err != nil {
			return sequencedUnit{}, err
		}
		_ = c.conn.SetReadDeadline(time.Time{})
		c.helloRead = true
	}
	for {
		typ, p, err := c.reader.read()
		if err != nil {
			return sequencedUnit{}, err
		}
		switch typ {
		case frameUnit:
			return c.readUnit(p)
		case frameCancel:
			if len(p) != sequenceBytes {
				return sequencedUnit{}, errors.New("cancel without a sequence")
			}
			c.cancelUnit(binary.BigEndian.Uint64(p))
		case frameMarkRequest:
			if err := c.answerMarks(p); err != nil {
				return sequencedUnit{}, err
			}
		default:
			return sequencedUnit{}, fmt.Errorf("unexpected frame %q", typ)
		}
	}
}

func (c *serverConn) readHello() error {
	typ, p, err := c.reader.read()
	if err != nil {
		return err
	}
	var h hello
	if typ != frameHello {
		return fmt.Errorf("expected a hello frame, got %q", typ)
	}
	if err := wire.Decode(p, &h); err != nil {
		return fmt.Errorf("decode hello: %w", err)
	}
	if h.Version != protocolVersion {
		return fmt.Errorf("host %s uses link protocol version %d, want %d", h.Host, h.Version, protocolVersion)
	}
	return nil
}

// readUnit reads the rest of a unit and returns it.
func (c *serverConn) readUnit(p []byte) (sequencedUnit, error) {
	var h unitHeader
	if err := wire.Decode(p, &h); err != nil {
		return sequencedUnit{}, fmt.Errorf("decode unit: %w", err)
	}
	typ, p, err := c.reader.read()
	if err != nil {
		return sequencedUnit{}, err
	}
	if typ != frameMessages {
		return sequencedUnit{}, fmt.Errorf("expected the messages of a unit, got frame %q", typ)
	}
	sequence, m, err := splitMessages(p)
	if err != nil {
		return sequencedUnit{}, err
	}
	u := h.unit(time.Now())
	if sequence != h.Sequence || sequence == 0 {
		return sequencedUnit{}, fmt.Errorf("messages with sequence %d follow a header with sequence %d", sequence, h.Sequence)
	}
	u.Frames = append([]byte(nil), m...)
	c.mu.Lock()
	stillRunning := c.running != 0
	c.running = sequence
	c.mu.Unlock()
	if stillRunning {
		return sequencedUnit{}, fmt.Errorf("unit with sequence %d received while another unit is running", sequence)
	}
	return sequencedUnit{unit: u, sequence: sequence}, nil
}

// cancelUnit cancels the unit if it still runs. The other host may send the cancel when the unit has just ended.
func (c *serverConn) cancelUnit(sequence uint64) {
	c.mu.Lock()
	ch := c.channel
	if c.running != sequence {
		ch = nil
	}
	c.mu.Unlock()
	if ch == nil {
		return
	}
	c.server.group.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
		defer cancel()
		_ = ch.Cancel(ctx) // the unit continues when its cancellation fails
	})
}

// runUnit runs a unit and writes its answer. An error breaks the connection, which leaves the unit's
// outcome unknown to the other host.
func (c *serverConn) runUnit(su sequencedUnit) error {
	u := su.unit
	ch, err := c.openChannel()
	if err != nil {
		e := jacinthtiller.AsError(err)
		c.server.events.Emit(event.LinkRefused, event.Fields{"error": err.Error()})
		return c.sendResult(su.sequence, jacinthtiller.Result{Number: u.Number, Outcome: e.Outcome, Status: 'I', Err: e})
	}
	a := &answerStream{conn: c, sequence: su.sequence}
	a.mu.Lock()
	a.timer = time.AfterFunc(keepaliveInterval, a.onTimer)
	a.mu.Unlock()
	res, err := ch.Run(c.ctx, u, a.sink)
	a.stop()
	if err != nil {
		c.setStatus(0)
		return fmt.Errorf("run unit %d: %w", u.Number, err)
	}
	return c.sendResult(su.sequence, res)
}

func (c *serverConn) openChannel() (jacinthtiller.Channel, error) {
	c.mu.Lock()
	ch := c.channel
	c.mu.Unlock()
	if ch != nil {
		return ch, nil
	}
	ch, err := c.server.open(c.ctx)
	if err != nil {
		return nil, fmt.Errorf("open channel for another host: %w", err)
	}
	c.mu.Lock()
	c.channel = ch
	c.mu.Unlock()
	return ch, nil
}

// sendResult writes the result and flushes the buffer. The unit counts as ended before the other host
// can learn of it, since that host may send the next one at once.
func (c *serverConn) sendResult(sequence uint64, res jacinthtiller.Result) error {
	c.setStatus(res.Status)
	b, err := appendFrame(nil, frameResult, reply{Result: res, Sequence: sequence})
	if err != nil {
		return err
	}
	return c.withWriter(func() error {
		if _, err := c.writer.Write(b); err != nil {
			return fmt.Errorf("write result: %w", err)
		}
		return c.flush()
	})
}

func (c *serverConn) setStatus(status byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.status = 0, status
}

// withWriter runs f while it holds the writer.
func (c *serverConn) withWriter(f func() error) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return f()
}

func (c *serverConn) writeEmptyFrame(typ byte) error {
	if _, err := c.writer.Write(appendFrameHeader(nil, typ, 0)); err != nil {
		return fmt.Errorf("write frame %q: %w", typ, err)
	}
	return c.flush()
}

func (c *serverConn) flush() error {
	if err := c.writer.Flush(); err != nil {
		return fmt.Errorf("send answer: %w", err)
	}
	return nil
}
