package quickstart

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// chunkQueueLength bounds the chunks in transit in one direction of a connection. When the queue is full, the writer
// blocks, as with a full socket buffer.
const chunkQueueLength = 1024

// Network simulates the network between the processes of an installation. It adds latency between failure domains and
// can isolate a domain: its connections then stay open but pass no data, and new ones are not established.
type Network struct {
	mu sync.Mutex // guards the fields below
	// domains maps listening addresses to the failure domain of their process.
	domains map[string]string
	// latency is the one-way latency in microseconds between two domains; absent pairs have none.
	latency map[[2]string]int64
	// isolated holds the domains that are partitioned from all others.
	isolated map[string]bool
	// isolationChanged is closed and replaced when isolated changes.
	isolationChanged chan struct{}
}

// NewNetwork returns a network without latency in which every domain reaches every other.
func NewNetwork() *Network {
	return &Network{
		domains: map[string]string{}, latency: map[[2]string]int64{}, isolated: map[string]bool{}, isolationChanged: make(chan struct{}),
	}
}

// SetDomain records the failure domain of the process that listens on the address.
func (n *Network) SetDomain(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[address] = domain
}

// SetLatency sets the one-way latency between two failure domains in both directions.
func (n *Network) SetLatency(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency[[2]string{a, b}], n.latency[[2]string{b, a}] = d.Microseconds(), d.Microseconds()
}

// Isolate partitions a failure domain from all others.
func (n *Network) Isolate(domain string) { n.setIsolated(domain, true) }

// Heal ends the isolation of a failure domain; data sent meanwhile arrives.
func (n *Network) Heal(domain string) { n.setIsolated(domain, false) }

func (n *Network) setIsolated(domain string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[domain] = isolated
	close(n.isolationChanged)
	n.isolationChanged = make(chan struct{})
}

// blocked reports whether two domains are partitioned and returns a channel that is closed when this may change.
func (n *Network) blocked(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.isolated[a] || n.isolated[b]), n.isolationChanged
}

// Dialer returns the dialer of a process in the failure domain.
func (n *Network) Dialer(domain string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.domains[address]
		delay := time.Duration(n.latency[[2]string{domain, to}]) * time.Microsecond
		n.mu.Unlock()
		if to == "" || to == domain {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		if blocked, _ := n.blocked(domain, to); blocked {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		// Establishing a connection takes one round trip.
		if err := sleep(ctx, 2*delay); err != nil {
			return nil, err
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newNetworkConn(n, c, domain, to, delay.Microseconds()), nil
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// chunk is data in transit on a connection.
type chunk struct {
	data []byte
	// arrival is when the chunk arrives.
	arrival time.Time
	err     error
}

// networkConn is a connection between two failure domains.
type networkConn struct {
	net.Conn
	network  *Network
	from, to string
	// delayMicroseconds is the latency of one direction.
	delayMicroseconds  int64
	outgoing, incoming chan chunk
	// delivered passes arrived chunks to Read; it is bounded like the queues before it.
	delivered chan chunk
	closed    chan struct{}
	group     conc.WaitGroup

	mu sync.Mutex // guards the fields below
	// unread is arrived data that Read has not yet returned.
	unread []byte
	err    error
	// A zero readDeadline or writeDeadline means none. readDeadlineChanged is closed and replaced when readDeadline is set.
	readDeadline, writeDeadline time.Time
	readDeadlineChanged         chan struct{}
	closeCalled                 bool
}

func newNetworkConn(n *Network, c net.Conn, from, to string, delayMicroseconds int64) *networkConn {
	p := &networkConn{
		Conn: c, network: n, from: from, to: to, delayMicroseconds: delayMicroseconds,
		outgoing: make(chan chunk, chunkQueueLength), incoming: make(chan chunk, chunkQueueLength), delivered: make(chan chunk),
		closed: make(chan struct{}), readDeadlineChanged: make(chan struct{}),
	}
	p.group.Go(p.send)
	p.group.Go(p.receive)
	p.group.Go(p.deliver)
	return p
}

// waitDeliverable waits until the chunk's arrival time has passed and the domains are not partitioned; it reports
// false when the connection is closed.
func (p *networkConn) waitDeliverable(c chunk) bool {
	t := time.NewTimer(time.Until(c.arrival))
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.closed:
		return false
	}
	for {
		blocked, changed := p.network.blocked(p.from, p.to)
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-p.closed:
			return false
		}
	}
}

// send writes outgoing chunks to the underlying connection when they are deliverable.
func (p *networkConn) send() {
	for {
		select {
		case c := <-p.outgoing:
			if !p.waitDeliverable(c) {
				return
			}
			if _, err := p.Conn.Write(c.data); err != nil {
				return
			}
		case <-p.closed:
			return
		}
	}
}

// receive reads chunks from the underlying connection and queues them for deliver.
func (p *networkConn) receive() {
	for {
		b := make([]byte, 32<<10)
		n, err := p.Conn.Read(b)
		c := chunk{data: b[:n], arrival: p.arrivalTime(), err: err}
		select {
		case p.incoming <- c:
		case <-p.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver passes received chunks to Read when they are deliverable.
func (p *networkConn) deliver() {
	for {
		select {
		case c := <-p.incoming:
			if !p.waitDeliverable(c) {
				return
			}
			select {
			case p.delivered <- c:
			case <-p.closed:
				return
			}
		case <-p.closed:
			return
		}
	}
}

func (p *networkConn) arrivalTime() time.Time {
	return time.Now().Add(time.Duration(p.delayMicroseconds) * time.Microsecond)
}

// Read returns data that has arrived, or waits for some.
func (p *networkConn) Read(b []byte) (int, error) {
	for {
		p.mu.Lock()
		if len(p.unread) > 0 {
			n := copy(b, p.unread)
			p.unread = p.unread[n:]
			p.mu.Unlock()
			return n, nil
		}
		if p.err != nil {
			defer p.mu.Unlock()
			return 0, p.err
		}
		deadline, deadlineChanged := p.readDeadline, p.readDeadlineChanged
		p.mu.Unlock()
		if err := p.waitReadable(deadline, deadlineChanged); err != nil {
			return 0, err
		}
	}
}

// waitReadable waits for a chunk, the deadline, a change of the deadline or Close.
func (p *networkConn) waitReadable(deadline time.Time, deadlineChanged <-chan struct{}) error {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case c := <-p.delivered:
		p.mu.Lock()
		p.unread, p.err = c.data, c.err
		p.mu.Unlock()
		return nil
	case <-deadlineChanged:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-p.closed:
		return net.ErrClosed
	}
}

// Write queues a copy of b for sending.
func (p *networkConn) Write(b []byte) (int, error) {
	p.mu.Lock()
	deadline := p.writeDeadline
	p.mu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	c := chunk{data: append([]byte(nil), b...), arrival: p.arrivalTime()}
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case p.outgoing <- c:
		return len(b), nil
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	case <-p.closed:
		return 0, net.ErrClosed
	}
}

// Close closes both directions; data in transit is lost.
func (p *networkConn) Close() error {
	p.mu.Lock()
	if p.closeCalled {
		p.mu.Unlock()
		return nil
	}
	p.closeCalled = true
	p.mu.Unlock()
	close(p.closed)
	err := p.Conn.Close()
	p.group.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// SetDeadline sets the deadlines of Read and Write.
func (p *networkConn) SetDeadline(t time.Time) error {
	return errors.Join(p.SetReadDeadline(t), p.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of Read, including one that is blocked.
func (p *networkConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	close(p.readDeadlineChanged)
	p.readDeadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline sets the deadline of later Writes.
func (p *networkConn) SetWriteDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeDeadline = t
	return nil
}
