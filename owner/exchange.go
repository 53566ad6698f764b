package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// passBytes is how much of an answer is collected before it is passed on. A shorter answer
	// is passed on after its slot was given back, so that a guest that reads slowly keeps none.
	passBytes = 256 << 10
	// maxHeldBytes bounds the frames that wait for the commit to settle.
	maxHeldBytes = 16 << 20
	// keepBytes is the largest buffer that a channel keeps for its next unit.
	keepBytes = 64 << 10
)

// exchange sends the unit and reads the answer, then settles it.
func (r *run) exchange() (jacinthtiller.Result, error) {
	if err := r.h.plan.build(r.conn, r.u, r.needsReset()); err != nil {
		return r.refuseUnsent(err)
	}
	if r.h.plan.hasReset {
		r.h.o.instruments.resets.Add(r.ctx, 1)
	}
	r.conn.lastSession = r.u.Session
	r.before = r.t.position()
	x, sent, err := r.talk()
	if err != nil {
		return r.lostConnection(sent, err)
	}
	return r.finish(x)
}

// needsReset reports whether the connection may hold the state of another session.
func (r *run) needsReset() bool {
	return !r.open && (r.conn.dirty || r.conn.lastSession != "" && r.conn.lastSession != r.u.Session)
}

// talk sends the plan and reads the whole answer. After an error the connection is in doubt.
func (r *run) talk() (x *answerReader, sent bool, err error) {
	defer r.setRunning(nil)
	if !r.setRunning(r.conn) {
		return nil, false, errors.New("the channel is closed")
	}
	stop := context.AfterFunc(r.ctx, r.conn.interrupt)
	x = &answerReader{c: r.conn, expected: r.h.plan.expected}
	sent, err = r.write()
	if err == nil {
		err = r.read(x)
	}
	if !stop() && err == nil {
		err = fmt.Errorf("run unit: %w", r.ctx.Err())
	}
	return x, sent, err
}

// refuseUnsent ends a unit that could not be laid out; nothing was sent.
func (r *run) refuseUnsent(err error) (jacinthtiller.Result, error) {
	res := failed(r.u, jacinthtiller.AsError(err))
	if r.open {
		r.grant.Done(true)
		res.Status = 'T'
		return res, nil
	}
	r.t.pool.put(r.conn)
	r.grant.Done(false)
	return res, nil
}

// write sends the plan and reports whether any of it may have reached the target.
func (r *run) write() (sent bool, err error) {
	r.trace(event.UnitSent, event.Fields{"before": r.before.String()})
	n, err := r.conn.nc.Write(r.h.plan.messages)
	if err != nil {
		return n > 0, fmt.Errorf("write unit: %w", err)
	}
	return true, nil
}

// read takes the frames of the answer up to the last ReadyForQuery.
func (r *run) read(x *answerReader) error {
	r.h.out = r.h.out[:0]
	for !x.done() {
		f, err := x.readFrame()
		if err != nil {
			return err
		}
		if f != nil && !r.proof(x, f) {
			if err := r.take(f); err != nil {
				return err
			}
		}
		if !r.held && len(r.h.out) >= passBytes {
			if err := r.pass(); err != nil {
				return err
			}
		}
	}
	return nil
}

// proof reports whether the answer so far proves that nothing ran, so that the
// unit may run elsewhere and nothing of the answer is for the guest.
func (r *run) proof(x *answerReader, _ []byte) bool {
	return r.lead == nil && r.provable() && provesNotRun(x.sqlstate)
}

// provable reports whether a refusal by the target would prove that nothing of the unit ran.
func (r *run) provable() bool { return !r.open && !r.wrapped && !r.passed && r.commands == 0 }

// provesNotRun tells the errors by which a target refuses to run a statement at all:
// 25006, and 57P03 for a target that takes no statements now.
func provesNotRun(code string) bool { return code == jacinthtiller.CodeReadOnly || code == "57P03" }

// take adds a frame to those for the guest. On a primary, frames are held from the
// first completed command on, or in an open transaction from the one that ends it.
func (r *run) take(f []byte) error {
	if f[0] == 'C' || f[0] == 'I' || f[0] == 's' {
		r.commands++
		if r.lead != nil && (!r.open || f[0] == 'C' && endsBlock(cString(f[headerBytes:]))) {
			if err := r.startHold(); err != nil {
				return err
			}
		}
	}
	r.h.out = append(r.h.out, f...)
	if r.held && len(r.h.out) > maxHeldBytes {
		return fmt.Errorf("the answer after the first command is longer than %d bytes", maxHeldBytes)
	}
	return nil
}

// startHold passes on what came before the frame and holds what follows.
func (r *run) startHold() error {
	if r.held {
		return nil
	}
	if len(r.h.out) >= passBytes {
		if err := r.pass(); err != nil {
			return err
		}
	}
	r.held = true
	return nil
}

func endsBlock(tag string) bool {
	return tag == "COMMIT" || tag == "ROLLBACK" || tag == "PREPARE TRANSACTION"
}

// pass gives the collected frames to the guest's side.
func (r *run) pass() error {
	if len(r.h.out) == 0 {
		return nil
	}
	r.passed = true
	err := r.sink(r.h.out)
	r.h.out = r.h.out[:0]
	if cap(r.h.out) > keepBytes {
		r.h.out = nil
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errSink, err)
	}
	return nil
}

// finish gives back slot and connection, and passes the answer on when that is allowed.
func (r *run) finish(x *answerReader) (jacinthtiller.Result, error) {
	p := x.c.position
	r.t.advancePosition(p)
	res := jacinthtiller.Result{Outcome: jacinthtiller.OutcomeDone, Position: p, Status: x.status, Failed: x.sqlstate}
	if r.lead != nil && p.Compare(r.before) > 0 {
		// A commit after before may be this unit's own. It is in the table before anybody can learn of it.
		r.lead.marks.record(r.u.Guest, p)
	}
	r.giveBack(x.status)
	if r.provable() && provesNotRun(x.sqlstate) && x.status == 'I' && (r.lead == nil || r.lead.ended()) {
		return r.refused(x.sqlstate), nil
	}
	if r.lead != nil && (x.status == 'I' || p.Compare(r.before) > 0) {
		if err := r.acknowledge(p); err != nil {
			return r.unknown(res, err), nil
		}
	}
	if err := r.pass(); err != nil {
		return res, err
	}
	return res, nil
}

// refused is the result of a unit that the target has proved not to have run. A
// primary whose lead goes on is not asked: there the guest itself has forbidden writes.
func (r *run) refused(code string) jacinthtiller.Result {
	r.h.out = r.h.out[:0]
	err := jacinthtiller.NotRun(code, jacinthtiller.ReasonTarget, "target %s refused the statement", r.t.name)
	if r.lead != nil {
		err = noTargetError(jacinthtiller.ReasonNotOwner, "target %s no longer leads term %d", r.t.name, r.lead.term)
	}
	res := failed(r.u, err)
	res.Failed, res.Position = code, r.t.position()
	return res
}

// giveBack returns the slot at once, and the connection unless a transaction is open.
func (r *run) giveBack(status byte) {
	if status != 'I' {
		r.grant.Done(true)
		if !r.open {
			r.hold()
		}
		return
	}
	if r.open {
		r.unhold()
	}
	r.t.pool.put(r.conn)
	r.grant.Done(false)
}

// acknowledge returns nil when the answer may go out: its position is settled and the lease was checked after that,
// or the guest's team accepts it without a lease.
func (r *run) acknowledge(p jacinthtiller.Position) error {
	if !r.stale() {
		if err := r.confirm(p); err == nil || !r.stale() {
			return err
		}
	}
	r.trace(event.ServedStale, event.Fields{"term": r.lead.term, "position": p.String()})
	return nil
}

// confirm waits until the position is settled and then checks the lease.
func (r *run) confirm(p jacinthtiller.Position) error {
	begun := time.Now()
	if err := r.lead.awaitMajority(r.ctx, p); err != nil {
		return err
	}
	r.h.o.instruments.recordMajorityWait(begun)
	if !r.lead.mayAcknowledge() {
		return fmt.Errorf("the lease or the lead of term %d ended before the answer", r.lead.term)
	}
	r.trace(event.UnitAcknowledged, event.Fields{
		"term": r.lead.term, "position": p.String(), "access": string(r.u.Access),
	})
	return nil
}

// stale reports whether the answer goes out without a lease, as the guest's team allows for a read.
func (r *run) stale() bool {
	return r.lead.ctx.Err() == nil && !r.t.o.leased() && r.t.o.acceptsStale(r.u)
}

func (r *run) unknown(res jacinthtiller.Result, cause error) jacinthtiller.Result {
	r.h.out = r.h.out[:0]
	res.Outcome = jacinthtiller.OutcomeUnknown
	res.Err = jacinthtiller.Unknown("the outcome is unknown: %v", cause)
	r.t.emit(event.UnitUnknown, event.Fields{"error": cause.Error(), "at": time.Now()})
	return res
}

// lostConnection closes the connection and says what is known of the unit.
func (r *run) lostConnection(sent bool, cause error) (jacinthtiller.Result, error) {
	r.end()
	r.h.out = r.h.out[:0]
	switch {
	case errors.Is(cause, errSink):
	case r.open && (!sent || r.lead == nil || !r.h.block.ending):
		return failed(r.u, rolledBackBy(cause.Error())), nil
	case !sent:
		return failed(r.u, noTargetError(jacinthtiller.ReasonTarget, "the connection to target %s failed: %v", r.t.name, cause)), nil
	case r.lead == nil && !r.passed:
		return failed(r.u, noTargetError(jacinthtiller.ReasonTarget, "the connection to replica %s failed: %v", r.t.name, cause)), nil
	}
	res := r.unknown(failed(r.u, jacinthtiller.Unknown("")), cause)
	if errors.Is(cause, errSink) {
		return res, cause
	}
	return res, nil
}
