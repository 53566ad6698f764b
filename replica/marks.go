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
	// requestTimeout bounds one request; a read whose request failed goes to the primary.
	requestTimeout = time.Second
	// workerIdleTimeout is how long the worker of a database waits for another read.
	workerIdleTimeout = 5 * time.Second
)

// MarkBatcher requests the marks of guests from the owners of primaries. At most one
// request per database is outstanding; a read that arrives meanwhile is served by
// the next request, because the outstanding one may have been answered before the
// guest's newest write was acknowledged.
type MarkBatcher struct {
	client     jacinthtiller.Marker
	view       func() jacinthtiller.View
	positions  *Positions
	events     *event.Log
	goroutines conc.WaitGroup
	// closed is closed to end the workers that wait for reads.
	closed chan struct{}

	mu sync.Mutex // guards the fields below
	// pending holds the batch for the next request, per database.
	pending map[string]*batch
	// workers holds, for each database with a worker, a channel of capacity 1 that wakes the worker for a new batch.
	workers  map[string]chan struct{}
	isClosed bool
}

// batch is the set of guests of one request, and its response.
type batch struct {
	guests map[string]bool
	// done is closed once response and err are set.
	done     chan struct{}
	response jacinthtiller.MarkResponse
	err      error
}

// NewMarkBatcher returns a MarkBatcher that finds owners in the current view. The positions of
// primaries in the responses are recorded in positions, which may be nil.
func NewMarkBatcher(marker jacinthtiller.Marker, view func() jacinthtiller.View, positions *Positions, events *event.Log) *MarkBatcher {
	return &MarkBatcher{
		client: marker, view: view, positions: positions, events: events,
		pending: map[string]*batch{}, workers: map[string]chan struct{}{}, closed: make(chan struct{}),
	}
}

// RequestMark returns the response to a request that was sent after the call of RequestMark and
// that includes the guest.
func (m *MarkBatcher) RequestMark(ctx context.Context, database, guest string) (jacinthtiller.MarkResponse, error) {
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

// Close ends the workers and waits for the outstanding requests.
func (m *MarkBatcher) Close() {
	m.mu.Lock()
	if !m.isClosed {
		m.isClosed = true
		close(m.closed)
	}
	m.mu.Unlock()
	m.goroutines.Wait()
}

func (m *MarkBatcher) joinBatch(database, guest string) *batch {
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
		default: // the worker has a wake-up pending already
		}
		return b
	}
	wake := make(chan struct{}, 1)
	m.workers[database] = wake
	m.goroutines.Go(func() { m.runWorker(database, wake) })
	return b
}

// runWorker requests the marks of each batch until no read has arrived for workerIdleTimeout. A new goroutine for each
// burst of reads would have to grow its stack each time, which took half of the processor time of a request.
func (m *MarkBatcher) runWorker(database string, wake <-chan struct{}) {
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

// takeBatch removes and returns the batch for the next request; nil when there is none.
func (m *MarkBatcher) takeBatch(database string) *batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.pending[database]
	delete(m.pending, database)
	return b
}

// removeWorker removes the worker of a database and returns true, unless a new batch has arrived.
func (m *MarkBatcher) removeWorker(database string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending[database] != nil {
		return false
	}
	delete(m.workers, database)
	return true
}

func (m *MarkBatcher) requestMarks(database string, guests []string) (jacinthtiller.MarkResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	v := m.view()
	d := v.Databases[database]
	owner, ok := v.Owner(database, d.Primary)
	if d.Primary == "" || !ok {
		return jacinthtiller.MarkResponse{}, &MarkError{Database: database, Problem: "there is no primary with an owner"}
	}
	requestedAt := time.Now()
	r, err := m.client.RequestMarks(ctx, owner.Name, jacinthtiller.MarkRequest{Database: database, Guests: guests})
	if err != nil {
		return r, fmt.Errorf("ask host %q for marks in database %q: %w", owner.Name, database, err)
	}
	// The term is checked against the newest view, which may differ from the one that named the owner.
	if term := m.view().Databases[database].Term; r.Term < term {
		return r, &MarkError{Database: database, Problem: fmt.Sprintf("the answer is of term %d, the view has term %d", r.Term, term)}
	}
	if m.positions != nil && !r.Position.IsZero() {
		m.positions.RecordPrimaryPosition(database, r.Position, requestedAt)
	}
	return r, nil
}

// MarkError reports why the marks of a database are not available.
type MarkError struct {
	Database string
	Problem  string
}

// Error names the database and the problem.
func (e *MarkError) Error() string {
	return fmt.Sprintf("marks of database %q: %s", e.Database, e.Problem)
}
