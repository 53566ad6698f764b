// Package admission implements the admission control of one target: a bounded
// queue with fixed numbers of slots for running statements and of connections,
// deficit round robin over teams by weight, and turns of the guests of a team, the most urgent of them first.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Request asks for a slot.
type Request struct {
	Team  string
	Guest string
	// Write is true for new work that HoldWrites holds back.
	Write bool
	// BeginsTransaction is true when the request is known to keep its connection after the statement.
	BeginsTransaction bool
	// ContinuesTransaction is true for a statement of a transaction whose connection is reserved by another grant: it goes
	// before new work and needs only a slot. Grant.Continue does the same for the grant's own transaction.
	ContinuesTransaction bool
	// Deadline is the time by which the request must be granted; zero means none.
	Deadline time.Time
	// UsefulUntil is the time after which the request is late and goes behind those that are not; zero means never.
	UsefulUntil time.Time
}

// WaitStats summarizes the waits of one team's granted requests.
type WaitStats struct {
	Count             uint64
	TotalMicroseconds int64
	MaxMicroseconds   int64
}

// Stats is a snapshot of a gate.
type Stats struct {
	// Waiting maps each team with waiting requests to their number, statements of open transactions included.
	Waiting map[string]int
	Running int
	// Connections is the number of reserved connections.
	Connections int
	Waits       map[string]WaitStats
	// Dropped counts the requests that were refused because the queue was full or because of WithEarlyRejection.
	Dropped uint64
}

// Gate admits statements to one target. It is safe for concurrent use.
type Gate struct {
	log         *event.Log
	target      string
	waitSeconds metric.Float64Histogram

	mu      sync.Mutex // guards the fields below
	queue   queue
	dropped uint64
}

// Option configures a new Gate.
type Option func(*Gate)

// WithSlots sets the number of statements that run concurrently; 5 by default.
func WithSlots(n int) Option { return func(g *Gate) { g.queue.slots = n } }

// WithConnections sets the number of connections for running statements and open transactions; 30 by default.
func WithConnections(n int) Option { return func(g *Gate) { g.queue.connections = n } }

// WithCapacity bounds the queue of new work; 1,000 requests by default.
func WithCapacity(n int) Option { return func(g *Gate) { g.queue.capacity = n } }

// WithStatementReserve reserves n connections for requests that do not open a transaction, so that idle transactions cannot
// starve single statements; 0 by default.
func WithStatementReserve(n int) Option { return func(g *Gate) { g.queue.statementReserve = n } }

// WithTeamLimit bounds the connections that one team may hold; 0, the default, means no limit.
func WithTeamLimit(n int) Option { return func(g *Gate) { g.queue.defaultLimit = n } }

// WithEarlyRejection refuses a request at once when its turn would come after its deadline, estimated by the rate of recent
// grants. It is for callers who tell their guests when to retry: a guest that retries at once would only be refused more
// often.
func WithEarlyRejection() Option { return func(g *Gate) { g.queue.rejectEarly = true } }

// WithStatementsFirst limits the transactions that a team opens while its single statements wait, so that more guests are
// served in the same time.
func WithStatementsFirst() Option { return func(g *Gate) { g.queue.statementsFirst = true } }

// WithTransactionOverflow lets statements of open transactions run beyond the slots, by half as many. It is for gates whose
// slots are places in flight of which the target queues some: a transaction waits once for each statement, and holds its
// locks and its connection meanwhile.
func WithTransactionOverflow() Option { return func(g *Gate) { g.queue.transactionOverflow = true } }

// WithLog logs the gate's events with the target's name.
func WithLog(l *event.Log, target string) Option {
	return func(g *Gate) { g.log, g.target = l, target }
}

// NewGate returns a gate for one target.
func NewGate(opts ...Option) *Gate {
	g := &Gate{
		queue: queue{slots: 5, connections: 30, capacity: 1000, teams: map[string]*team{}},
	}
	for _, o := range opts {
		o(g)
	}
	var err error
	g.waitSeconds, err = otel.Meter("jacinthtiller/admission").Float64Histogram("jacinthtiller.admission.wait",
		metric.WithUnit("s"), metric.WithDescription("Time that requests waited for a slot of a target, by team."),
		metric.WithExplicitBucketBoundaries(0, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10))
	if err != nil {
		otel.Handle(err) // the instrument returned with the error is a no-op
	}
	return g
}

// Grant is a slot for a running statement, and between the statements of a transaction the reservation of a connection.
// It is used by one goroutine at a time.
type Grant struct {
	gate   *Gate
	ticket ticket
	// decision is closed when the queue has decided; nil when the request did not have to wait.
	decision chan struct{}
}

// Acquire waits for a slot, and for a connection unless the request continues a transaction. The error is an
// *jacinthtiller.Error which proves that the request did not run.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Grant, error) {
	gr := &Grant{gate: g, ticket: ticket{
		guest: r.Guest, write: r.Write, beginsTransaction: r.BeginsTransaction, continuesTransaction: r.ContinuesTransaction, deadline: r.Deadline, usefulUntil: r.UsefulUntil,
		lane: laneNew,
	}}
	if r.ContinuesTransaction {
		gr.ticket.lane = laneTransaction
	}
	now := time.Now()
	g.mu.Lock()
	gr.ticket.team = g.queue.ensureTeam(r.Team)
	g.queue.submit(&gr.ticket, now)
	if err := gr.unlockAndWait(ctx, now); err != nil {
		return nil, err
	}
	return gr, nil
}

// Continue waits for a slot for the next statement of the grant's open transaction. After an error the connection is
// still reserved.
func (gr *Grant) Continue(ctx context.Context, deadline time.Time) error {
	now := time.Now()
	gr.gate.mu.Lock()
	gr.gate.queue.continueTransaction(&gr.ticket, deadline, now)
	return gr.unlockAndWait(ctx, now)
}

// unlockAndWait unlocks the gate, which the caller has locked, and waits until the queue has decided.
func (gr *Grant) unlockAndWait(ctx context.Context, begun time.Time) error {
	g, t := gr.gate, &gr.ticket
	gr.decision = nil
	waits := t.phase == phaseWaiting
	if waits {
		gr.decision = make(chan struct{})
		t.done = gr.decision
	}
	g.notifyDecided()
	if waits {
		g.mu.Unlock()
		gr.awaitDecision(ctx)
		g.mu.Lock()
	}
	granted, reason, team := t.phase == phaseRunning && t.reason == "", t.reason, t.team
	var waited time.Duration
	if waits {
		waited = time.Since(begun)
	}
	if granted {
		team.waits.add(waited)
	}
	o := team.recordOptions()
	g.mu.Unlock()
	g.waitSeconds.Record(context.Background(), waited.Seconds(), o...)
	if !granted {
		return notRunError(reason, waited)
	}
	return nil
}

// awaitDecision waits for the decision, the deadline or the end of ctx. In the last two cases it removes the request from the
// queue and releases a slot that was granted meanwhile.
func (gr *Grant) awaitDecision(ctx context.Context) {
	var expired <-chan time.Time
	if !gr.ticket.deadline.IsZero() {
		timer := time.NewTimer(time.Until(gr.ticket.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-gr.decision:
		return
	case <-expired:
	case <-ctx.Done():
	}
	g, t := gr.gate, &gr.ticket
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.phase == phaseRunning {
		// A request that was granted at the same moment did not run, because the caller did not learn of the grant.
		g.queue.finish(t, t.lane == laneTransaction, time.Now())
		t.reason = jacinthtiller.ReasonDeadline
	} else {
		g.queue.refuse(t, jacinthtiller.ReasonDeadline)
	}
	g.notifyDecided()
}

// notifyDecided wakes the goroutines whose requests have been decided. It is called with mu held.
func (g *Gate) notifyDecided() {
	for i, t := range g.queue.decided {
		if t.reason == jacinthtiller.ReasonQueue {
			g.dropped++
			if g.log.Tracing() {
				g.log.Emit(event.AdmissionDropped, event.Fields{"target": g.target, "team": t.team.name, "guest": t.guest})
			}
		}
		if t.done != nil {
			close(t.done)
			t.done = nil
		}
		g.queue.decided[i] = nil
	}
	g.queue.decided = g.queue.decided[:0]
}

// recordOptions returns the team's attribute for the histogram. It is called with the gate's mu held.
func (t *team) recordOptions() []metric.RecordOption {
	if t.metricOptions == nil {
		t.metricOptions = []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(attribute.String("team", t.name)))}
	}
	return t.metricOptions
}

func (w *WaitStats) add(d time.Duration) {
	w.Count++
	w.TotalMicroseconds += d.Microseconds()
	w.MaxMicroseconds = max(w.MaxMicroseconds, d.Microseconds())
}

// notRunError returns the error for a request that did not run.
func notRunError(r jacinthtiller.Reason, waited time.Duration) error {
	switch r {
	case jacinthtiller.ReasonQueue:
		return jacinthtiller.NotRun(jacinthtiller.CodeNotRunQueueFull, r, "the queue of the target is too long")
	case jacinthtiller.ReasonDeadline:
		return jacinthtiller.NotRun(jacinthtiller.CodeNotRunDeadline, r, "no room within the time that it may wait; it waited %s", waited)
	}
	return jacinthtiller.NotRun(jacinthtiller.CodeNotRunShutdown, jacinthtiller.ReasonDraining, "the target takes no new work")
}

// Done ends the statement and releases its slot. With keep the connection stays reserved for the open transaction.
func (gr *Grant) Done(keep bool) {
	gr.gate.update(func(q *queue, now time.Time) { q.finish(&gr.ticket, keep, now) })
}

// Release releases the slot and the connection of the grant. It may follow Done.
func (gr *Grant) Release() {
	gr.gate.update(func(q *queue, now time.Time) { q.release(&gr.ticket, now) })
}

// update calls f on the queue and notifies the requests that it decides.
func (g *Gate) update(f func(q *queue, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var now time.Time
	if !g.queue.noneWaiting() {
		now = time.Now() // only waiting requests are compared with the time
	}
	f(&g.queue, now)
	g.notifyDecided()
}

// SetWeights sets the weights of teams; a team that is not named has weight 1.
func (g *Gate) SetWeights(w map[string]int) {
	g.update(func(q *queue, now time.Time) { q.reconfigure(w, q.limits, now) })
}

// SetLimits bounds the connections of the named teams; 0 means no limit.
func (g *Gate) SetLimits(l map[string]int) {
	g.update(func(q *queue, now time.Time) { q.reconfigure(q.weights, l, now) })
}

// SetCapacity changes the numbers of slots and connections. Statements that already run are not interrupted.
func (g *Gate) SetCapacity(slots, connections int) {
	g.update(func(q *queue, now time.Time) {
		q.slots, q.connections = slots, connections
		q.dispatch(now)
	})
}

// HoldWrites holds new writes in the queue, or resumes them. Statements of open transactions are not held.
func (g *Gate) HoldWrites(hold bool) {
	g.update(func(q *queue, now time.Time) {
		if q.holdWrites != hold {
			g.log.Emit(event.AdmissionHeld, event.Fields{"target": g.target, "held": hold})
		}
		q.holdWrites = hold
		q.dispatch(now)
	})
}

// Drain refuses all new work, including the requests that wait. Statements of open transactions are still admitted.
func (g *Gate) Drain() { g.setDraining(true) }

// Undrain reverses Drain.
func (g *Gate) Undrain() { g.setDraining(false) }

func (g *Gate) setDraining(draining bool) {
	g.update(func(q *queue, _ time.Time) {
		if q.draining != draining {
			g.log.Emit(event.AdmissionDraining, event.Fields{"target": g.target, "draining": draining})
		}
		q.draining = draining
		if draining {
			q.refuseAll(laneNew, jacinthtiller.ReasonDraining)
			q.refuseAll(laneLate, jacinthtiller.ReasonDraining)
		}
	})
}

// Close refuses all waiting and future requests. Grants may still be released.
func (g *Gate) Close() {
	g.update(func(q *queue, _ time.Time) {
		q.closed = true
		q.refuseAll(laneTransaction, jacinthtiller.ReasonDraining)
		q.refuseAll(laneNew, jacinthtiller.ReasonDraining)
		q.refuseAll(laneLate, jacinthtiller.ReasonDraining)
	})
}

// Stats returns a snapshot of the gate.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Stats{
		Waiting: map[string]int{}, Waits: map[string]WaitStats{},
		Running: g.queue.running, Connections: g.queue.heldConnections, Dropped: g.dropped,
	}
	for name, t := range g.queue.teams {
		if n := t.backlogs[laneTransaction].byArrival.Len() + t.backlogs[laneNew].byArrival.Len() + t.backlogs[laneLate].byArrival.Len(); n > 0 {
			s.Waiting[name] = n
		}
		s.Waits[name] = t.waits
	}
	return s
}
