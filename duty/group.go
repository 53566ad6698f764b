package duty

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// Group runs the goroutines of a component that can be closed while others still call it. The zero value is ready to use.
type Group struct {
	group conc.WaitGroup

	mu     sync.Mutex // guards closed; Go holds it, so that no goroutine starts while Close waits
	closed bool
}

// Go starts f in a goroutine and reports true, or reports false if the group has been closed.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.group.Go(f)
	return true
}

// Close makes Go start no more goroutines and waits for those that run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.group.Wait()
}
