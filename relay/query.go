package relay

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// maxIdleConns bounds the idle connections to one host.
	maxIdleConns = 2
	// idleTimeout is how long a connection is kept without a query.
	idleTimeout = 10 * time.Second
	// sweepInterval is the time between two checks of all addresses; a host may keep connections to 580 others and send 1,900
	// queries a second.
	sweepInterval = time.Second
)

// queryConns sends queries of one kind to other hosts over connections that it keeps. It is safe for concurrent use.
type queryConns struct {
	// hello is the first frame of each connection and names the kind of the queries.
	hello hello

	mu sync.Mutex // guards the fields below
	// idle holds idle connections by address, the most recently used one last.
	idle   map[string][]idleConn
	closed bool
	// nextSweep is when connections to all addresses are checked for their idle timeouts.
	nextSweep time.Time
}

type idleConn struct {
	conn  *clientConn
	until time.Time
}

func newQueryConns(h hello) *queryConns { return &queryConns{hello: h, idle: map[string][]idleConn{}} }

// ask sends a query to the host at the address and decodes the answer into reply.
func (x *queryConns) ask(address string, query, reply any, deadline time.Time) error {
	c, err := x.connect(address, deadline)
	if err != nil {
		return fmt.Errorf("connect to host at %s: %w", address, err)
	}
	if err = c.f.write(deadline, query); err == nil {
		_ = c.nc.SetReadDeadline(deadline)
		err = c.f.read(reply)
	}
	if err != nil {
		_ = c.Close()
		return fmt.Errorf("ask host at %s: %w", address, err)
	}
	x.putIdle(address, c)
	return nil
}

// connect returns an idle connection, or a new one.
func (x *queryConns) connect(address string, deadline time.Time) (*clientConn, error) {
	for {
		c := x.takeIdle(address, time.Now())
		if c == nil {
			break
		}
		if !c.Unusable() {
			return c, nil
		}
		_ = c.Close()
	}
	d := net.Dialer{Deadline: deadline}
	nc, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	wire.SetDeadPeerTimeouts(nc, tcpUserTimeout)
	c := &clientConn{nc: nc, f: newFramer(nc)}
	if err := c.f.write(deadline, x.hello); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

// takeIdle returns an idle connection to the address, or nil, and closes all that have exceeded their idle timeout.
func (x *queryConns) takeIdle(address string, now time.Time) *clientConn {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !now.Before(x.nextSweep) {
		x.nextSweep = now.Add(sweepInterval)
		for a := range x.idle {
			x.closeOld(a, now)
		}
	} else {
		x.closeOld(address, now)
	}
	list := x.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1].conn
	x.idle[address] = list[:len(list)-1]
	return c
}

// closeOld closes the connections to the address that have exceeded their idle timeout. The caller holds x.mu.
func (x *queryConns) closeOld(address string, now time.Time) {
	list := x.idle[address]
	for len(list) > 0 && now.After(list[0].until) {
		_ = list[0].conn.Close()
		list = list[1:]
	}
	if x.idle[address] = list; len(list) == 0 {
		delete(x.idle, address)
	}
}

func (x *queryConns) putIdle(address string, c *clientConn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed || len(x.idle[address]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	x.idle[address] = append(x.idle[address], idleConn{conn: c, until: time.Now().Add(idleTimeout)})
}

// Close closes the idle connections.
func (x *queryConns) Close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
	for _, list := range x.idle {
		for _, i := range list {
			_ = i.conn.Close()
		}
	}
	clear(x.idle)
}
