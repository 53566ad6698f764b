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
	nc := &networkConn{
		Conn: c, network: n, from: from, to: to, delayMicroseconds: delayMicroseconds,
		outgoing: make(chan chunk, chunkQueueLength), incoming: make(chan chunk, chunkQueueLength), delivered: make(chan chunk),
		closed: make(chan struct{}), readDeadlineChanged: make(chan struct{}),
	}
	nc.group.Go(nc.send)
	nc.group.Go(nc.receive)
	nc.group.Go(nc.deliver)
	return nc
}

// waitDeliverable waits until the chunk's arrival time has passed and the domains are not partitioned; it reports
// false when the connection is closed.
func (nc *networkConn) waitDeliverable(c chunk) bool {
	t := time.NewTimer(time.Until(c.arrival))
	defer t.Stop()
	select {
	case <-t.C:
	case <-nc.closed:
		return false
	}
	for {
		blocked, changed := nc.network.blocked(nc.from, nc.to)
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-nc.closed:
			return false
		}
	}
}

// send writes outgoing chunks to the underlying connection when they are deliverable.
func (nc *networkConn) send() {
	for {
		select {
		case c := <-nc.outgoing:
			if !nc.waitDeliverable(c) {
				return
			}
			if _, err := nc.Conn.Write(c.data); err != nil {
				return
			}
		case <-nc.closed:
			return
		}
	}
}

// receive reads chunks from the underlying connection and queues them for deliver.
func (nc *networkConn) receive() {
	for {
		b := make([]byte, 32<<10)
		n, err := nc.Conn.Read(b)
		c := chunk{data: b[:n], arrival: nc.arrivalTime(), err: err}
		select {
		case nc.incoming <- c:
		case <-nc.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver passes received chunks to Read when they are deliverable.
func (nc *networkConn) deliver() {
	for {
		select {
		case c := <-nc.incoming:
			if !nc.waitDeliverable(c) {
				return
			}
			select {
			case nc.delivered <- c:
			case <-nc.closed:
				return
			}
		case <-nc.closed:
			return
		}
	}
}

func (nc *networkConn) arrivalTime() time.Time {
	return time.Now().Add(time.Duration(nc.delayMicroseconds) * time.Microsecond)
}

// Read returns data that has arrived, or waits for some.
func (nc *networkConn) Read(b []byte) (int, error) {
	for {
		nc.mu.Lock()
		if len(nc.unread) > 0 {
			n := copy(b, nc.unread)
			nc.unread = nc.unread[n:]
			nc.mu.Unlock()
			return n, nil
		}
		if nc.err != nil {
			defer nc.mu.Unlock()
			return 0, nc.err
		}
		deadline, deadlineChanged := nc.readDeadline, nc.readDeadlineChanged
		nc.mu.Unlock()
		if err := nc.waitReadable(deadline, deadlineChanged); err != nil {
			return 0, err
		}
	}
}

// waitReadable waits for a chunk, the deadline, a change of the deadline or Close.
func (nc *networkConn) waitReadable(deadline time.Time, deadlineChanged <-chan struct{}) error {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case c := <-nc.delivered:
		nc.mu.Lock()
		nc.unread, nc.err = c.data, c.err
		nc.mu.Unlock()
		return nil
	case <-deadlineChanged:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-nc.closed:
		return net.ErrClosed
	}
}

// Write queues a copy of b for sending.
func (nc *networkConn) Write(b []byte) (int, error) {
	nc.mu.Lock()
	deadline := nc.writeDeadline
	nc.mu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	c := chunk{data: append([]byte(nil), b...), arrival: nc.arrivalTime()}
	select {
	case <-nc.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case nc.outgoing <- c:
		return len(b), nil
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	case <-nc.closed:
		return 0, net.ErrClosed
	}
}

// Close closes both directions; data in transit is lost.
func (nc *networkConn) Close() error {
	nc.mu.Lock()
	if nc.closeCalled {
		nc.mu.Unlock()
		return nil
	}
	nc.closeCalled = true
	nc.mu.Unlock()
	close(nc.closed)
	err := nc.Conn.Close()
	nc.group.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// SetDeadline sets the deadlines of Read and Write.
func (nc *networkConn) SetDeadline(t time.Time) error {
	return errors.Join(nc.SetReadDeadline(t), nc.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of Read, including one that is blocked.
func (nc *networkConn) SetReadDeadline(t time.Time) error {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	nc.readDeadline = t
	close(nc.readDeadlineChanged)
	nc.readDeadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline sets the deadline of later Writes.
func (nc *networkConn) SetWriteDeadline(t time.Time) error {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	nc.writeDeadline = t
	return nil
}
