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

// chunkQueue bounds the pieces that are under way in one direction of a connection. When it is full the writer
// waits, as with a full socket buffer.
const chunkQueue = 1024

// Network carries the connections between the processes of an installation. It adds a latency between failure
// domains and can cut a domain off: connections then stay open and silent, and new ones do not come about.
type Network struct {
	mu sync.Mutex // guards the fields below
	// domains maps listening addresses to the failure domain of their process.
	domains map[string]string
	// latency is the one-way latency in microseconds between two domains; absent pairs have none.
	latency map[[2]string]int64
	// cut holds the domains that are cut off from all others.
	cut map[string]bool
	// changed is closed and replaced when cut changes.
	changed chan struct{}
}

// NewNetwork returns a network without latency in which every domain reaches every other.
func NewNetwork() *Network {
	return &Network{
		domains: map[string]string{}, latency: map[[2]string]int64{}, cut: map[string]bool{}, changed: make(chan struct{}),
	}
}

// Place records that the address belongs to a process in the failure domain.
func (n *Network) Place(address, domain string) {
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

// Cut cuts a failure domain off from all others.
func (n *Network) Cut(domain string) { n.setCut(domain, true) }

// Heal ends a cut; what was sent meanwhile arrives.
func (n *Network) Heal(domain string) { n.setCut(domain, false) }

func (n *Network) setCut(domain string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[domain] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// blocked reports whether nothing passes between two domains, and a channel that is closed when that may change.
func (n *Network) blocked(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.cut[a] || n.cut[b]), n.changed
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
		// A connection is made by one round trip.
		if err := sleep(ctx, 2*delay); err != nil {
			return nil, err
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newPath(n, c, domain, to, delay.Microseconds()), nil
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

// chunk is a piece of data under way.
type chunk struct {
	data []byte
	// due is when it arrives.
	due time.Time
	err error
}

// path is a connection between two failure domains.
type path struct {
	net.Conn
	network  *Network
	from, to string
	// delayMicroseconds is the latency of one direction.
	delayMicroseconds int64
	out, in           chan chunk
	// arrived takes what reader has let through; it is bounded like the queues before it.
	arrived chan chunk
	closed  chan struct{}
	group   conc.WaitGroup

	mu sync.Mutex // guards the fields below
	// rest is what Read has not yet returned.
	rest []byte
	err  error
	// readBy and writeBy are deadlines; zero means none. moved is closed and replaced when readBy is set.
	readBy, writeBy time.Time
	moved           chan struct{}
	ended           bool
}

func newPath(n *Network, c net.Conn, from, to string, delayMicroseconds int64) *path {
	p := &path{
		Conn: c, network: n, from: from, to: to, delayMicroseconds: delayMicroseconds,
		out: make(chan chunk, chunkQueue), in: make(chan chunk, chunkQueue), arrived: make(chan chunk),
		closed: make(chan struct{}), moved: make(chan struct{}),
	}
	p.group.Go(p.send)
	p.group.Go(p.receive)
	p.group.Go(p.deliver)
	return p
}

// pass waits until the chunk is due and the domains reach each other; it reports false when the path is closed.
func (p *path) pass(c chunk) bool {
	t := time.NewTimer(time.Until(c.due))
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

// send lets written chunks through to the other side.
func (p *path) send() {
	for {
		select {
		case c := <-p.out:
			if !p.pass(c) {
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

// receive takes chunks from the other side as they come.
func (p *path) receive() {
	for {
		b := make([]byte, 32<<10)
		n, err := p.Conn.Read(b)
		c := chunk{data: b[:n], due: p.due(), err: err}
		select {
		case p.in <- c:
		case <-p.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver lets received chunks through to Read.
func (p *path) deliver() {
	for {
		select {
		case c := <-p.in:
			if !p.pass(c) {
				return
			}
			select {
			case p.arrived <- c:
			case <-p.closed:
				return
			}
		case <-p.closed:
			return
		}
	}
}

func (p *path) due() time.Time {
	return time.Now().Add(time.Duration(p.delayMicroseconds) * time.Microsecond)
}

// Read returns what has arrived.
func (p *path) Read(b []byte) (int, error) {
	for {
		p.mu.Lock()
		if len(p.rest) > 0 {
			n := copy(b, p.rest)
			p.rest = p.rest[n:]
			p.mu.Unlock()
			return n, nil
		}
		if p.err != nil {
			defer p.mu.Unlock()
			return 0, p.err
		}
		by, moved := p.readBy, p.moved
		p.mu.Unlock()
		if err := p.await(by, moved); err != nil {
			return 0, err
		}
	}
}

// await waits for a chunk, the deadline, a change of the deadline or the end.
func (p *path) await(by time.Time, moved <-chan struct{}) error {
	var late <-chan time.Time
	if !by.IsZero() {
		t := time.NewTimer(time.Until(by))
		defer t.Stop()
		late = t.C
	}
	select {
	case c := <-p.arrived:
		p.mu.Lock()
		p.rest, p.err = c.data, c.err
		p.mu.Unlock()
		return nil
	case <-moved:
		return nil
	case <-late:
		return os.ErrDeadlineExceeded
	case <-p.closed:
		return net.ErrClosed
	}
}

// Write sends a copy of b on its way.
func (p *path) Write(b []byte) (int, error) {
	p.mu.Lock()
	by := p.writeBy
	p.mu.Unlock()
	var late <-chan time.Time
	if !by.IsZero() {
		t := time.NewTimer(time.Until(by))
		defer t.Stop()
		late = t.C
	}
	c := chunk{data: append([]byte(nil), b...), due: p.due()}
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case p.out <- c:
		return len(b), nil
	case <-late:
		return 0, os.ErrDeadlineExceeded
	case <-p.closed:
		return 0, net.ErrClosed
	}
}

// Close closes both directions; what is under way is lost.
func (p *path) Close() error {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return nil
	}
	p.ended = true
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
func (p *path) SetDeadline(t time.Time) error {
	return errors.Join(p.SetReadDeadline(t), p.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of Read, also of one that waits.
func (p *path) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readBy = t
	close(p.moved)
	p.moved = make(chan struct{})
	return nil
}

// SetWriteDeadline sets the deadline of later Writes.
func (p *path) SetWriteDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeBy = t
	return nil
}
