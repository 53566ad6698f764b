package replica

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// questionTime bounds one question; a read whose question failed goes to the primary.
	questionTime = time.Second
	// idleTime is how long the goroutine of a database waits for another read.
	idleTime = 5 * time.Second
)

// Marks asks the owners of primaries for the marks of guests. At most one
// question per database is outstanding; a read that arrives meanwhile is served
// by the next one, because the outstanding one may have been answered before
// the guest's newest write was acknowledged.
type Marks struct {
	marker    jacinthtiller.Marker
	view      func() jacinthtiller.View
	positions *Positions
	events    *event.Log
	group     conc.WaitGroup
	// closed ends the goroutines that wait for reads.
	closed chan struct{}

	mu sync.Mutex // guards the fields below
	// next holds the batch that will be asked next, per database.
	next map[string]*batch
	// busy holds, for each database with a goroutine that asks, a channel of capacity 1 that tells it of a new batch.
	busy map[string]chan struct{}
	done bool
}

// batch is the guests of one question.
type batch struct {
	guests map[string]bool
	// done is closed when response and err are set.
	done     chan struct{}
	response jacinthtiller.MarkResponse
	err      error
}

// NewMarks returns Marks that find owners in the current view. What the answers
// say of the primaries' positions is recorded in positions, which may be nil.
func NewMarks(marker jacinthtiller.Marker, view func() jacinthtiller.View, positions *Positions, events *event.Log) *Marks {
	return &Marks{
		marker: marker, view: view, positions: positions, events: events,
		next: map[string]*batch{}, busy: map[string]chan struct{}{}, closed: make(chan struct{}),
	}
}

// Ask returns the marks of one question that was sent after Ask was called and
// that includes the guest.
func (m *Marks) Ask(ctx context.Context, database, guest string) (jacinthtiller.MarkResponse, error) {
	b := m.join(database, guest)
	select {
	case <-b.done:
	case <-ctx.Done():
		return jacinthtiller.MarkResponse{}, fmt.Errorf("mark of guest %q in database %q: %w", guest, database, ctx.Err())
	}
	if b.err != nil {
		return jacinthtiller.MarkResponse{}, b.err
	}
	if _, ok := b.response.Marks[guest]; !ok {
		return jacinthtiller.MarkResponse{}, &MarkError{Database: database, Problem: fmt.Sprintf("guest %q is missing in the answer", guest)}
	}
	return b.response, nil
}

// Close waits for the questions that are outstanding.
func (m *Marks) Close() {
	m.mu.Lock()
	if !m.done {
		m.done = true
		close(m.closed)
	}
	m.mu.Unlock()
	m.group.Wait()
}

func (m *Marks) join(database, guest string) *batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.next[database]
	if b == nil {
		b = &batch{guests: map[string]bool{}, done: make(chan struct{})}
		m.next[database] = b
	}
	b.guests[guest] = true
	if wake, ok := m.busy[database]; ok {
		select {
		case wake <- struct{}{}:
		default: // it has been told already
		}
		return b
	}
	wake := make(chan struct{}, 1)
	m.busy[database] = wake
	m.group.Go(func() { m.run(database, wake) })
	return b
}

// run asks batch after batch until no read has come for idleTime. A goroutine for each burst of reads would
// grow its stack anew each time, which took half of the processor time of a question.
func (m *Marks) run(database string, wake <-chan struct{}) {
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		b := m.take(database)
		if b == nil {
			idle.Reset(idleTime)
			select {
			case <-wake:
				continue
			case <-idle.C:
			case <-m.closed:
			}
			if m.leave(database) {
				return
			}
			continue
		}
		b.response, b.err = m.question(database, slices.Sorted(maps.Keys(b.guests)))
		if b.err != nil {
			m.events.Emit(event.MarkFailed, event.Fields{"database": database, "error": b.err.Error()})
		}
		close(b.done)
	}
}

// take removes the batch that is to be asked next; nil when there is none.
func (m *Marks) take(database string) *batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.next[database]
	delete(m.next, database)
	return b
}

// leave ends the duty for a database unless a batch has come.
func (m *Marks) leave(database string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next[database] != nil {
		return false
	}
	delete(m.busy, database)
	return true
}

func (m *Marks) question(database string, guests []string) (jacinthtiller.MarkResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), questionTime)
	defer cancel()
	v := m.view()
	d := v.Databases[database]
	owner, ok := v.Owner(database, d.Primary)
	if d.Primary == "" || !ok {
		return jacinthtiller.MarkResponse{}, &MarkError{Database: database, Problem: "there is no primary with an owner"}
	}
	asked := time.Now()
	r, err := m.marker.AskMarks(ctx, owner.Name, jacinthtiller.MarkRequest{Database: database, Guests: guests})
	if err != nil {
		return r, fmt.Errorf("ask host %q for marks in database %q: %w", owner.Name, database, err)
	}
	// The newest view counts, not the one that named the owner: it may have changed meanwhile.
	if term := m.view().Databases[database].Term; r.Term < term {
		return r, &MarkError{Database: database, Problem: fmt.Sprintf("the answer is of term %d, the view has term %d", r.Term, term)}
	}
	if m.positions != nil && !r.Position.IsZero() {
		m.positions.Primary(database, r.Position, asked)
	}
	return r, nil
}

// MarkError says why an answer about marks cannot be used.
type MarkError struct {
	Database string
	Problem  string
}

// Error returns the problem with its database.
func (e *MarkError) Error() string {
	return fmt.Sprintf("marks of database %q: %s", e.Database, e.Problem)
}
