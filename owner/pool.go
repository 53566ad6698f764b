package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// dialTimeout bounds one attempt to open a connection; a new connection takes about 10 ms.
const dialTimeout = time.Second

// pool holds the connections to one target that run guests' units.
type pool struct {
	login loginConfig
	limit int
	// report is told why a connection is closed whose answers cannot be matched to requests.
	report func(c *conn, cause error)

	mu sync.Mutex // guards the fields below
	// address is the address of new connections; connections to another address are not reused.
	address string
	// conns holds every open connection; the value is true while a unit uses it.
	conns map[*conn]bool
	// opening counts connections that are being opened; opening and len(conns) together never exceed limit.
	opening int
	// idle is ordered by last use, the newest last. Each has transaction status 'I' and no unread answer.
	idle   []*conn
	closed bool
}

func newPool(l loginConfig, address string, limit int, report func(c *conn, cause error)) *pool {
	return &pool{login: l, address: address, limit: limit, report: report, conns: map[*conn]bool{}}
}

// get returns an idle connection, preferably the one that the session used last, or
// a new one. The admission gate keeps the number of callers within the limit.
func (p *pool) get(ctx context.Context, session string) (*conn, error) {
	for {
		c, err := p.takeIdle(session)
		if err != nil {
			return nil, err
		}
		if c == nil {
			c, err = p.open(ctx)
			if !errors.Is(err, errPoolFull) {
				return c, err
			}
			if err := sleep(ctx, time.Millisecond); err != nil {
				return nil, err
			}
			continue
		}
		cause := c.checkBeforeRequest()
		if cause == nil {
			return c, nil
		}
		p.report(c, cause)
		p.discard(c)
	}
}

func (p *pool) takeIdle(session string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, jacinthtiller.ReasonNotOwner, "the target is no longer owned")
	}
	if len(p.idle) == 0 {
		return nil, nil
	}
	index := len(p.idle) - 1
	for i := index; i >= 0; i-- {
		if p.idle[i].lastSession == session {
			index = i
			break
		}
	}
	c := p.idle[index]
	p.idle = append(p.idle[:index], p.idle[index+1:]...)
	p.conns[c] = true
	return c, nil
}

// errPoolFull means that the limit allows no further connection.
var errPoolFull = errors.New("all connections to the target are in use")

func (p *pool) open(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if len(p.conns)+p.opening >= p.limit {
		p.mu.Unlock()
		return nil, errPoolFull
	}
	p.opening++
	address := p.address
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := dial(ctx, address, p.login)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		return nil, fmt.Errorf("open pooled connection: %w", err)
	}
	if p.closed || p.address != address {
		c.close()
		return nil, fmt.Errorf("open pooled connection: the target at %s is no longer used", address)
	}
	p.conns[c] = true
	return c, nil
}

// put returns a connection whose last answer ended in ReadyForQuery with status 'I'.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	// Unread frames belong to no unit; the next unit must not read them as its answer.
	keep := !p.closed && c.address == p.address && !c.cancelled.Load() && !c.closed.Load() && c.noFrameBuffered()
	if keep {
		p.conns[c] = false
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

// discard closes a connection that is in use or in an unknown state.
func (p *pool) discard(c *conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// setAddress directs new connections to another address and closes the idle ones.
func (p *pool) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
	p.closeIdle()
}

func (p *pool) closeIdle() {
	for _, c := range p.idle {
		c.close()
		delete(p.conns, c)
	}
	p.idle = nil
}

// close makes get fail and closes the idle connections; running units keep their connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}

// closeAll also closes the connections in use, so that running units fail at once.
func (p *pool) closeAll() {
	p.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

// warm opens connections until n are open.
func (p *pool) warm(ctx context.Context, n int) error {
	for {
		p.mu.Lock()
		enough := p.closed || len(p.conns)+p.opening >= n
		p.mu.Unlock()
		if enough {
			return nil
		}
		c, err := p.open(ctx)
		if err != nil {
			if errors.Is(err, errPoolFull) {
				return nil
			}
			return err
		}
		p.put(c)
	}
}

// size returns how many connections are open and how many of them are idle.
func (p *pool) size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns), len(p.idle)
}

// sleep waits for d and returns an error if ctx ends before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("interrupted: %w", ctx.Err())
	case <-t.C:
		return nil
	}
}
