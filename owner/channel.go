package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/admission"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// defaultDeadline applies to units without a deadline.
const defaultDeadline = 30 * time.Second

// errSink marks failures to forward frames to the guest.
var errSink = errors.New("the guest's side took no more frames")

// channel runs the units of one guest's session on the targets of this host.
type channel struct {
	owner *Owner
	// plan and out are buffers that the channel's units reuse; out holds frames that are not yet forwarded.
	plan requestPlan
	out  []byte
	// transaction is the state of the open transaction. Only Run uses it, and resets it for each transaction.
	transaction transactionState

	mu sync.Mutex // guards the fields below
	// conn, t and grant are set together while a transaction is open.
	conn   *conn
	target *target
	grant  *admission.Grant
	// running is the connection on which a unit runs now, and runningTarget its target.
	running       *conn
	runningTarget *target
	// busy is true while Run executes; an open transaction is rolled back from outside only when busy is false.
	busy   bool
	closed bool
	// rolledBack is true when the open transaction was rolled back between units and the guest has not been told
	// yet: the next unit belongs to that transaction and must not run outside it.
	rolledBack bool
}

var _ jacinthtiller.Channel = (*channel)(nil)

// transactionState is the state of an explicit transaction.
type transactionState struct {
	// mayHaveEnded is true once a unit may have ended the transaction or bound a portal that can end it.
	mayHaveEnded bool
	// keyInserted is true once the transaction has inserted an idempotency key.
	keyInserted bool
}

// Run runs one unit on the target that it names.
func (h *channel) Run(ctx context.Context, u jacinthtiller.Unit, sink jacinthtiller.Sink) (jacinthtiller.Result, error) {
	if u.Deadline.IsZero() {
		u.Deadline = time.Now().Add(defaultDeadline)
	}
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return jacinthtiller.Result{}, fmt.Errorf("run unit %d: %w", u.Number,
			jacinthtiller.NotRun(jacinthtiller.CodeNotRunShutdown, jacinthtiller.ReasonDraining, "the channel is closed"))
	}
	h.busy = true
	inTransaction, rolledBack := h.conn != nil, h.rolledBack
	h.rolledBack = false
	h.mu.Unlock()
	if !h.owner.unitBegun() {
		h.endRun()
		return failedResult(u, jacinthtiller.NotRun(jacinthtiller.CodeNotRunShutdown, jacinthtiller.ReasonDraining, "the host has stopped")), nil
	}
	defer h.owner.unitEnded()
	defer h.endRun()
	if rolledBack {
		return failedResult(u, rolledBackError("its target was given up")), nil
	}
	r := &execution{channel: h, unit: u, ctx: ctx, sink: sink, inTransaction: inTransaction}
	res, err := r.execute()
	res.Number = u.Number
	h.owner.instruments.countUnit(res.Outcome)
	if err != nil {
		return res, fmt.Errorf("run unit %d: %w", u.Number, err)
	}
	return res, nil
}

// endRun ends the busy state and rolls back a transaction if its target's ownership or the time of a drain ended meanwhile.
func (h *channel) endRun() {
	h.mu.Lock()
	h.busy = false
	t := h.target
	h.mu.Unlock()
	if t != nil && (t.ctx.Err() != nil || h.owner.endsTransactions.Load()) {
		h.rollBackIdle(t)
	}
}

// Cancel asks the target to cancel the unit that runs on this channel.
func (h *channel) Cancel(ctx context.Context) error {
	h.mu.Lock()
	c, t := h.running, h.runningTarget
	if c != nil {
		c.cancelled.Store(true)
	}
	h.mu.Unlock()
	if c == nil {
		return nil
	}
	b, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode CancelRequest: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := sendCancelRequest(ctx, c.address, t.pool.login, b); err != nil {
		return fmt.Errorf("cancel on %s: %w", t.name, err)
	}
	return nil
}

// Close rolls back an open transaction by closing its connection.
func (h *channel) Close() error {
	h.mu.Lock()
	h.closed = true
	c, t := h.conn, h.target
	if c == nil {
		c, t = h.running, h.runningTarget
	}
	h.mu.Unlock()
	if c != nil {
		c.close()
	}
	if t != nil {
		h.rollBackIdle(t)
	}
	h.owner.removeChannel(h)
	return nil
}

// rollBackIdle closes the connection of a transaction that is open on t while no unit runs.
func (h *channel) rollBackIdle(t *target) {
	h.mu.Lock()
	if h.busy || h.target != t || h.conn == nil {
		h.mu.Unlock()
		return
	}
	c, g := h.conn, h.grant
	h.conn, h.target, h.grant = nil, nil, nil
	h.rolledBack = true
	h.mu.Unlock()
	t.pool.discard(c)
	t.removeTransaction(h)
	g.Release()
}

func (t *target) removeTransaction(h *channel) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.transactions, h)
}

func (t *target) addTransaction(h *channel) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transactions[h] = struct{}{}
}

func failedResult(u jacinthtiller.Unit, err *jacinthtiller.Error) jacinthtiller.Result {
	return jacinthtiller.Result{Number: u.Number, Outcome: err.Outcome, Status: 'I', Err: err}
}

// execution is the execution of one unit on a channel.
type execution struct {
	channel *channel
	unit    jacinthtiller.Unit
	ctx     context.Context
	sink    jacinthtiller.Sink
	// inTransaction is true when the unit continues a transaction that is open on the channel.
	inTransaction bool

	target *target
	// leadership is nil for work on a replica.
	leadership *leadership
	conn       *conn
	grant      *admission.Grant
	// positionBefore is the newest position known when the unit was sent; a later position may be the unit's own commit.
	positionBefore jacinthtiller.Position
	// forwarded is true once frames were given to the sink.
	forwarded bool
	// withholding is true once frames are withheld until a majority has the position.
	withholding bool
	// inKeyTransaction is true when the unit runs in a transaction that the proxy began to insert the unit's key.
	inKeyTransaction bool
	// completedCommands counts the commands that have completed.
	completedCommands int
}

func (r *execution) execute() (jacinthtiller.Result, error) {
	if r.inTransaction {
		return r.continueTransaction()
	}
	t := r.channel.owner.find(r.unit.Database, r.unit.Target)
	if t == nil {
		return failedResult(r.unit, noTargetError(jacinthtiller.ReasonNotOwner, "host %s does not own target %s", r.channel.owner.host, r.unit.Target)), nil
	}
	r.target = t
	t.unitBegun()
	defer t.unitEnded()
	if err := r.admit(); err != nil {
		return failedResult(r.unit, err), nil
	}
	return r.runOnTarget()
}

// continueTransaction runs a unit of the open transaction.
func (r *execution) continueTransaction() (jacinthtiller.Result, error) {
	r.channel.mu.Lock()
	r.target, r.conn, r.grant = r.channel.target, r.channel.conn, r.channel.grant
	r.channel.mu.Unlock()
	if r.conn == nil {
		return failedResult(r.unit, rolledBackError("its connection is closed")), nil
	}
	r.target.unitBegun()
	defer r.target.unitEnded()
	if r.target.database != r.unit.Database || r.target.name != r.unit.Target {
		return r.rollBack(fmt.Errorf("a transaction cannot go on at target %s", r.unit.Target))
	}
	if _, err := r.target.checkUnit(r.unit, true); err != nil {
		return r.rollBack(err)
	}
	if err := r.grant.Continue(r.ctx, r.unit.Deadline); err != nil {
		return r.rollBack(err)
	}
	current, err := r.target.checkUnit(r.unit, true)
	if err != nil {
		r.grant.Done(true)
		return r.rollBack(err)
	}
	r.leadership = current
	r.channel.transaction.mayHaveEnded = r.channel.transaction.mayHaveEnded || mayEndTransaction(r.unit)
	if res, proceed, err := r.insertKeyAtEnd(); !proceed {
		return res, err
	}
	return r.runOnConnection()
}

// rollBack rolls back the open transaction because its next unit cannot run.
func (r *execution) rollBack(cause error) (jacinthtiller.Result, error) {
	r.discardConnection()
	return failedResult(r.unit, rolledBackError(jacinthtiller.AsError(cause).Message)), nil
}

func rolledBackError(cause string) *jacinthtiller.Error {
	return jacinthtiller.NotRun(jacinthtiller.CodeRolledBack, "", "the transaction was rolled back: %s", cause)
}

// admit waits for the promotion or for the mark, and then for a slot, and checks the target's state before and after.
func (r *execution) admit() *jacinthtiller.Error {
	current, err := r.target.checkUnit(r.unit, false)
	if err != nil {
		return err
	}
	if current != nil {
		if err := r.awaitPromotion(current); err != nil {
			return err
		}
	} else if !r.unit.Mark.IsZero() {
		until := r.unit.WaitUntil
		if until.After(r.unit.Deadline) {
			until = r.unit.Deadline
		}
		if p := r.target.waitPosition(r.ctx, r.unit.Mark, until); !p.Covers(r.unit.Mark) {
			return noTargetError(jacinthtiller.ReasonBehind, "target %s is at %v, before %v", r.target.name, p, r.unit.Mark)
		}
	}
	g, acquireErr := r.target.gate.Acquire(r.ctx, admission.Request{
		Team: r.unit.Team, Guest: r.unit.Guest, Deadline: r.unit.Deadline,
		Write: current != nil && r.unit.Access == jacinthtiller.AccessWrite, BeginsTransaction: startsWithBegin(r.unit),
	})
	if acquireErr != nil {
		return jacinthtiller.AsError(acquireErr)
	}
	r.grant = g
	r.leadership, err = r.target.checkUnit(r.unit, false)
	if err == nil && r.leadership != current {
		err = noTargetError(jacinthtiller.ReasonNotOwner, "target %s changed its role", r.target.name)
	}
	if err == nil && r.leadership == nil && !r.target.position().Covers(r.unit.Mark) {
		err = noTargetError(jacinthtiller.ReasonBehind, "target %s is before %v", r.target.name, r.unit.Mark)
	}
	if err != nil {
		g.Done(false)
	}
	return err
}

// awaitPromotion waits until the target has become primary, since the view may name it the primary before that.
func (r *execution) awaitPromotion(l *leadership) *jacinthtiller.Error {
	select {
	case <-l.ready:
		return nil
	default:
	}
	timer := time.NewTimer(time.Until(r.unit.Deadline))
	defer timer.Stop()
	select {
	case <-l.ready:
		return nil
	case <-l.ctx.Done():
		return noTargetError(jacinthtiller.ReasonNotOwner, "target %s no longer leads term %d", r.target.name, l.term)
	case <-r.ctx.Done():
		return jacinthtiller.NotRun(jacinthtiller.CodeNotRunDeadline, jacinthtiller.ReasonDeadline, "the request was given up")
	case <-timer.C:
		return jacinthtiller.NotRun(jacinthtiller.CodeNotRunDeadline, jacinthtiller.ReasonDeadline,
			"target %s did not become primary before the deadline", r.target.name)
	}
}

// runOnTarget takes a connection from the pool and runs the unit on it.
func (r *execution) runOnTarget() (jacinthtiller.Result, error) {
	ctx, cancel := context.WithDeadline(r.ctx, r.unit.Deadline)
	c, err := r.target.pool.get(ctx, r.unit.Session)
	cancel()
	if err != nil {
		r.grant.Done(false)
		var e *jacinthtiller.Error
		if !errors.As(err, &e) {
			e = noTargetError(jacinthtiller.ReasonTarget, "no connection to target %s: %v", r.target.name, err)
		}
		return failedResult(r.unit, e), nil
	}
	r.conn = c
	current, checkErr := r.target.checkUnit(r.unit, false)
	if checkErr == nil && current != r.leadership {
		checkErr = noTargetError(jacinthtiller.ReasonNotOwner, "target %s changed its role", r.target.name)
	}
	if checkErr == nil && !time.Now().Before(r.unit.Deadline) {
		checkErr = jacinthtiller.NotRun(jacinthtiller.CodeNotRunDeadline, jacinthtiller.ReasonDeadline, "the deadline passed before the unit was sent")
	}
	if checkErr != nil {
		r.target.pool.put(c)
		r.grant.Done(false)
		return failedResult(r.unit, checkErr), nil
	}
	if r.unit.Key != "" && r.leadership != nil {
		return r.runWithKey()
	}
	return r.runOnConnection()
}

// discardConnection closes the connection, which rolls back an open transaction, and releases the grant.
func (r *execution) discardConnection() {
	r.target.pool.discard(r.conn)
	r.unpinConnection()
	r.grant.Release()
}

// pinConnection reserves the connection for the open transaction.
func (r *execution) pinConnection() {
	r.channel.transaction = transactionState{mayHaveEnded: mayEndTransaction(r.unit)}
	r.channel.mu.Lock()
	r.channel.conn, r.channel.target, r.channel.grant = r.conn, r.target, r.grant
	r.channel.mu.Unlock()
	r.target.addTransaction(r.channel)
}

func (r *execution) unpinConnection() {
	r.channel.mu.Lock()
	pinned := r.channel.conn != nil
	r.channel.conn, r.channel.target, r.channel.grant = nil, nil, nil
	r.channel.mu.Unlock()
	if pinned {
		r.target.removeTransaction(r.channel)
	}
}

// setRunning sets the connection that Cancel and Close act on. It returns false when the channel is closed.
func (r *execution) setRunning(c *conn) bool {
	r.channel.mu.Lock()
	defer r.channel.mu.Unlock()
	r.channel.running, r.channel.runningTarget = c, r.target
	return !r.channel.closed
}

func (r *execution) trace(k event.Kind, f event.Fields) {
	if r.channel.owner.events.Tracing() {
		f["session"], f["guest"], f["number"] = r.unit.Session, r.unit.Guest, r.unit.Number
		r.target.emit(k, f)
	}
}
