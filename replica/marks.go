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
	// requestTimeout bounds one question; a read whose question failed goes to the primary.
	requestTimeout = time.Second
	// workerIdleTimeout is how long the goroutine of a database waits for another read.
	workerIdleTimeout = 5 * time.Second
)

// Marks asks the owners of primaries for the marks of guests. At most one
// question per database is outstanding; a read that arrives meanwhile is served
// by the next one, because the outstanding one may have been answered before
// the guest's newest write was acknowledged.
type Marks struct {
	client     jacinthtiller.Marker
	view       func() jacinthtiller.View
	positions  *Positions
	events     *event.Log
	goroutines conc.WaitGroup
	// closed ends the goroutines that wait for reads.
	closed chan struct{}

	mu sync.Mutex // guards the fields below
	// pending holds the batch that will be asked pending, per database.
	pending map[string]*batch
	// workers holds, for each database with a goroutine that asks, a channel of capacity 1 that tells it of a new batch.
	workers  map[string]chan struct{}
	isClosed bool
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
		client: marker, view: view, positions: positions, events: events,
		pending: map[string]*batch{}, workers: map[string]chan struct{}{}, closed: make(chan struct{}),
	}
}

// Ask returns the marks of one question that was sent after Ask was called and
// that includes the guest.
func (m *Marks) Ask(ctx context.Context, database, guest string) (jacinthtiller.MarkResponse, error) {
	b := m.joinBatch(database, guest)
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
	if !m.isClosed {
		m.isClosed = true
		close(m.closed)
	}
	m.mu.Unlock()
	m.goroutines.Wait()
}

func (m *Marks) joinBatch(database, guest string) *batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.pending[database]
	if b == nil {
		b = &batch{guests: map[string]bool{}, done: make(chan struct{})}
		m.pending[database] = b
	}
	b.guests[guest] = true
	if wake, ok := m.workers[database]; ok {
		select {
		case wake <- struct{}{}:
		default: // it has been told already
		}
		return b
	}
	wake := make(chan struct{}, 1)
	m.workers[database] = wake
	m.goroutines.Go(func() { m.runWorker(database, wake) })
	return b
}

// runWorker asks batch after batch until no read has come for idleTime. A goroutine for each burst of reads would
// grow its stack anew each time, which took half of the processor time of a question.
func (m *Marks) runWorker(database string, wake <-chan struct{}) {
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		b := m.takeBatch(database)
		if b == nil {
			idle.Reset(workerIdleTimeout)
			select {
			case <-wake:
				continue
			case <-idle.C:
			case <-m.closed:
			}
			if m.removeWorker(database) {
				return
			}
			continue
		}
		b.response, b.err = m.requestMarks(database, slices.Sorted(maps.Keys(b.guests)))
		if b.err != nil {
			m.events.Emit(event.MarkFailed, event.Fields{"database": database, "error": b.err.Error()})
		}
		close(b.done)
	}
}

// takeBatch removes the batch that is to be asked next; nil when there is none.
func (m *Marks) takeBatch(database string) *batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.pending[database]
	delete(m.pending, database)
	return b
}

// removeWorker ends the duty for a database unless a batch has come.
func (m *Marks) removeWorker(database string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending[database] != nil {
		return false
	}
	delete(m.workers, database)
	return true
}

func (m *Marks) requestMarks(database string, guests []string) (jacinthtiller.MarkResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	v := m.view()
	d := v.Databases[database]
	owner, ok := v.Owner(database, d.Primary)
	if d.Primary == "" || !ok {
		return jacinthtiller.MarkResponse{}, &MarkError{Database: database, Problem: "there is no primary with an owner"}
	}
	requestedAt := time.Now()
	r, err := m.client.AskMarks(ctx, owner.Name, jacinthtiller.MarkRequest{Database: database, Guests: guests})
	if err != nil {
		return r, fmt.Errorf("ask host %q for marks in database %q: %w", owner.Name, database, err)
	}
	// The newest view counts, not the one that named the owner: it may have changed meanwhile.
	if term := m.view().Databases[database].Term; r.Term < term {
		return r, &MarkError{Database: database, Problem: fmt.Sprintf("the answer is of term %d, the view has term %d", r.Term, term)}
	}
	if m.positions != nil && !r.Position.IsZero() {
		m.positions.Primary(database, r.Position, requestedAt)
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
