package link

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// maxIdlePerHost bounds the unused connections kept per host.
const maxIdlePerHost = 256

// Opener opens channels to owner hosts. It implements jacinthtiller.Opener.
type Opener struct {
	self      string
	openLocal func(ctx context.Context) (jacinthtiller.Channel, error)
	resolve   func(host string) (address string, ok bool)
	tls       func(host string) *tls.Config
	dialer    func(ctx context.Context, network, address string) (net.Conn, error)
	// localMarks returns marks that this host itself owns; nil requests them over a connection.
	localMarks MarkFunc

	mu sync.Mutex // guards the fields below
	// idle holds, by address, connections whose last unit ended outside a transaction; the newest is last.
	idle   map[string][]*peerConn
	closed bool
}

var _ jacinthtiller.Opener = (*Opener)(nil)

// OpenerOption changes an Opener that is being made.
type OpenerOption func(*Opener)

// WithTLS encrypts connections with the configuration that f returns for the IP address or name of a host.
func WithTLS(f func(host string) *tls.Config) OpenerOption { return func(o *Opener) { o.tls = f } }

// WithDialer makes connections through f instead of the system's dialer.
func WithDialer(f func(ctx context.Context, network, address string) (net.Conn, error)) OpenerOption {
	return func(o *Opener) { o.dialer = f }
}

// NewOpener returns an Opener for the host self. The function openLocal opens channels to targets of
// this host; resolve finds the link address of another host.
func NewOpener(
	self string,
	openLocal func(ctx context.Context) (jacinthtiller.Channel, error),
	resolve func(host string) (address string, ok bool),
	opts ...OpenerOption,
) *Opener {
	o := &Opener{self: self, openLocal: openLocal, resolve: resolve, idle: map[string][]*peerConn{}, dialer: (&net.Dialer{}).DialContext}
	for _, f := range opts {
		f(o)
	}
	return o
}

// Open returns a channel to the host. An error proves that nothing ran.
func (o *Opener) Open(ctx context.Context, host string) (jacinthtiller.Channel, error) {
	if host == o.self {
		c, err := o.openLocal(ctx)
		if err != nil {
			return nil, fmt.Errorf("open local channel: %w", err)
		}
		return c, nil
	}
	c, err := o.connect(ctx, host)
	if err != nil {
		return nil, fmt.Errorf("open channel: %w", err)
	}
	return &channel{opener: o, peer: c, status: 'I'}, nil
}

// connect returns an unused connection to another host.
func (o *Opener) connect(ctx context.Context, host string) (*peerConn, error) {
	address, ok := o.resolve(host)
	if !ok || address == "" {
		return nil, unreachable("host %q has no link address", host)
	}
	if c := o.takeIdle(address); c != nil {
		return c, nil
	}
	c, err := o.dial(ctx, address)
	if err != nil {
		return nil, unreachable("host %s at %s: %v", host, address, err)
	}
	return c, nil
}

func unreachable(format string, args ...any) *jacinthtiller.Error {
	return jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, jacinthtiller.ReasonTarget, format, args...)
}

// Close closes the unused connections; later channels keep none.
func (o *Opener) Close() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for _, l := range o.idle {
		for _, c := range l {
			c.close()
		}
	}
	clear(o.idle)
	return nil
}

func (o *Opener) takeIdle(address string) *peerConn {
	for {
		o.mu.Lock()
		l := o.idle[address]
		if len(l) == 0 {
			o.mu.Unlock()
			return nil
		}
		c := l[len(l)-1]
		o.idle[address] = l[:len(l)-1]
		o.mu.Unlock()
		if !wire.ClosedOrReadable(c.raw) {
			return c
		}
		c.close()
	}
}

func (o *Opener) putIdle(c *peerConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// An unread frame is a reply too many; the next request must not take it for its own.
	if o.closed || len(o.idle[c.address]) >= maxIdlePerHost || c.reader.br.Buffered() > 0 {
		c.close()
		return
	}
	o.idle[c.address] = append(o.idle[c.address], c)
}

func (o *Opener) dial(ctx context.Context, address string) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := o.dialer(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	wire.SetDeadPeerTimeouts(raw, peerTimeout)
	c := &peerConn{raw: raw, conn: raw, address: address}
	if o.tls != nil {
		name, _, err := net.SplitHostPort(address)
		if err != nil {
			c.close()
			return nil, fmt.Errorf("address of the host: %w", err)
		}
		t := tls.Client(raw, o.tls(name))
		if err := t.HandshakeContext(ctx); err != nil {
			c.close()
			return nil, fmt.Errorf("TLS handshake: %w", err)
		}
		c.conn = t
	}
	c.reader = newReader(c.conn)
	if c.out, err = appendFrame(nil, frameHello, hello{Version: protocolVersion, Host: o.self}); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// peerConn is one connection to an owner host.
type peerConn struct {
	// raw is the TCP connection; conn, to which frames are written, is raw or TLS over it.
	raw, conn net.Conn
	address   string
	reader    *reader
	// out collects what the next write sends; it begins with hello on a new connection.
	out []byte
	// sequence is that of the last unit sent. Answers carry it, so that a late answer to an earlier
	// channel is never taken for one to this channel.
	sequence uint64

	mu sync.Mutex // guards writes
	// running is true while a unit runs, so that a cancel can be sent.
	running bool
}

func (c *peerConn) close() { _ = c.raw.Close() }

// channel runs the units of one guest on one connection.
type channel struct {
	opener *Opener
	peer   *peerConn

	mu sync.Mutex // guards the fields below
	// status is the transaction status after the last unit.
	status byte
	// broken is true when the connection must not be used again, and goAway when the owner's host asked for that.
	broken, goAway, closed bool
}

// Run sends the unit and passes its answer to sink.
func (h *channel) Run(ctx context.Context, u jacinthtiller.Unit, sink jacinthtiller.Sink) (jacinthtiller.Result, error) {
	h.mu.Lock()
	unusable := h.broken || h.closed
	h.mu.Unlock()
	if unusable {
		return jacinthtiller.Result{}, fmt.Errorf("run unit %d: %w", u.Number, unreachable("the channel is closed"))
	}
	stop := context.AfterFunc(ctx, h.peer.close)
	res, err := h.sendAndReceive(u, sink)
	if !stop() && err == nil {
		h.markBroken() // the answer is complete, but the connection is closed
	}
	if err != nil {
		h.markBroken()
		return jacinthtiller.Result{Number: u.Number, Outcome: jacinthtiller.AsError(err).Outcome, Status: 'I', Err: jacinthtiller.AsError(err)},
			fmt.Errorf("run unit %d: %w", u.Number, err)
	}
	h.mu.Lock()
	h.status = res.Status
	h.mu.Unlock()
	return res, nil
}

func (h *channel) markBroken() {
	h.mu.Lock()
	h.broken = true
	h.mu.Unlock()
	h.peer.close()
}

func (h *channel) sendAndReceive(u jacinthtiller.Unit, sink jacinthtiller.Sink) (jacinthtiller.Result, error) {
	h.peer.sequence++
	if err := h.peer.send(u); err != nil {
		return jacinthtiller.Result{}, err
	}
	defer h.peer.clearRunning()
	for {
		_ = h.peer.conn.SetReadDeadline(time.Now().Add(peerTimeout))
		typ, p, err := h.peer.reader.read()
		if err != nil {
			return jacinthtiller.Result{}, jacinthtiller.UnknownOutcome("the connection to the owner's host broke: %v", err)
		}
		res, done, err := h.handleFrame(h.peer.sequence, typ, p, sink)
		if err != nil {
			return jacinthtiller.Result{}, err
		}
		if done && res.Number != u.Number {
			return jacinthtiller.Result{}, mismatchedAnswer(res.Number, u.Number)
		}
		if done {
			return res, nil
		}
	}
}

// handleFrame handles one frame of the answer to the unit with the sequence.
func (h *channel) handleFrame(sequence uint64, typ byte, p []byte, sink jacinthtiller.Sink) (res jacinthtiller.Result, done bool, err error) {
	switch typ {
	case frameMessages:
		n, m, err := splitMessages(p)
		if err != nil {
			return res, false, jacinthtiller.UnknownOutcome("%v", err)
		}
		if n != sequence {
			return res, false, mismatchedAnswer(n, sequence)
		}
		if err := sink(m); err != nil {
			return res, false, jacinthtiller.UnknownOutcome("the guest took no more of the answer: %v", err)
		}
	case frameResult:
		var r reply
		if err := wire.Decode(p, &r); err != nil {
			return res, false, jacinthtiller.UnknownOutcome("decode result: %v", err)
		}
		if r.Sequence != sequence {
			return res, false, mismatchedAnswer(r.Sequence, sequence)
		}
		return r.Result, true, nil
	case frameKeepalive:
	case frameGoAway:
		h.mu.Lock()
		h.goAway = true
		h.mu.Unlock()
	default:
		return res, false, jacinthtiller.UnknownOutcome("unexpected frame %q from the owner's host", typ)
	}
	return res, false, nil
}

func mismatchedAnswer(got, want uint64) error {
	return jacinthtiller.UnknownOutcome("an answer to unit %d came for unit %d", got, want)
}

// send writes the unit in one write. An error proves that the unit did not run,
// because a unit that arrives in part is never run.
func (c *peerConn) send(u jacinthtiller.Unit) error {
	b, err := appendFrame(c.out, frameUnit, newUnitHeader(u, c.sequence, time.Now()))
	if err == nil {
		b, err = appendMessages(b, c.sequence, u.Frames)
	}
	if err != nil {
		return jacinthtiller.NotRun(jacinthtiller.CodeNotSupported, "", "the unit cannot be sent: %v", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(peerTimeout))
	if _, err := c.conn.Write(b); err != nil {
		return unreachable("the unit was not sent whole: %v", err)
	}
	c.running = true
	if c.out = b[:0]; cap(b) > maxKeptBufferBytes {
		c.out = nil
	}
	return nil
}

func (c *peerConn) clearRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
}

// Cancel asks the owner's host to cancel the running unit.
func (h *channel) Cancel(ctx context.Context) error {
	h.peer.mu.Lock()
	defer h.peer.mu.Unlock()
	if !h.peer.running {
		return nil
	}
	limit, ok := ctx.Deadline()
	if !ok {
		limit = time.Now().Add(dialTimeout)
	}
	_ = h.peer.conn.SetWriteDeadline(limit)
	b := binary.BigEndian.AppendUint64(appendFrameHeader(nil, frameCancel, sequenceBytes), h.peer.sequence)
	if _, err := h.peer.conn.Write(b); err != nil {
		return fmt.Errorf("send cancel: %w", err)
	}
	return nil
}

// Close keeps the connection for later channels when no transaction is open, and
// closes it otherwise, which makes the owner's host roll back.
func (h *channel) Close() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	h.closed = true
	h.peer.mu.Lock()
	running := h.peer.running
	h.peer.mu.Unlock()
	if h.broken || h.goAway || running || h.status != 'I' {
		if err := h.peer.raw.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("close channel: %w", err)
		}
		return nil
	}
	h.opener.putIdle(h.peer)
	return nil
}
