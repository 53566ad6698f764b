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
	// forwardThresholdBytes is how much of an answer is collected before it is forwarded. A shorter answer
	// is forwarded after its slot was released, so that a guest that reads slowly occupies none.
	forwardThresholdBytes = 256 << 10
	// maxWithheldBytes bounds the frames that are withheld until a majority has the commit.
	maxWithheldBytes = 16 << 20
	// maxKeptBufferBytes is the capacity above which a channel does not reuse its buffer.
	maxKeptBufferBytes = 64 << 10
)

// runOnConnection sends the unit, reads the answer, and acknowledges and forwards it.
func (r *execution) runOnConnection() (jacinthtiller.Result, error) {
	if err := r.channel.plan.build(r.conn, r.unit, r.needsReset()); err != nil {
		return r.refuseUnsent(err)
	}
	if r.channel.plan.hasReset {
		r.channel.owner.instruments.resets.Add(r.ctx, 1)
	}
	r.conn.lastSession = r.unit.Session
	r.positionBefore = r.target.position()
	x, sent, err := r.roundTrip()
	if err != nil {
		return r.lostConnection(sent, err)
	}
	return r.complete(x)
}

// needsReset reports whether the connection may hold state of another session.
func (r *execution) needsReset() bool {
	return !r.inTransaction && (r.conn.dirty || r.conn.lastSession != "" && r.conn.lastSession != r.unit.Session)
}

// roundTrip sends the plan and reads the whole answer. After an error the state of the connection is unknown.
func (r *execution) roundTrip() (x *answerReader, sent bool, err error) {
	defer r.setRunning(nil)
	if !r.setRunning(r.conn) {
		return nil, false, errors.New("the channel is closed")
	}
	stop := context.AfterFunc(r.ctx, r.conn.interrupt)
	x = &answerReader{conn: r.conn, expected: r.channel.plan.expected}
	before := r.conn.status
	if err = r.conn.checkBeforeRequest(); err == nil {
		sent, err = r.sendPlan()
	}
	if err == nil {
		err = r.readAnswer(x)
	}
	if err == nil {
		// With a second answer on the connection, nothing says which of the two is the unit's own.
		err = r.conn.checkUnread()
	}
	if err == nil && !r.statusCanFollow(before, x.status) {
		err = answerErrorf("transaction status %q after %q", x.status, before)
	}
	if !stop() && err == nil {
		err = fmt.Errorf("run unit: %w", r.ctx.Err())
	}
	return x, sent, err
}

// statusCanFollow reports whether the unit can have changed the transaction status from before to after.
func (r *execution) statusCanFollow(before, after byte) bool {
	switch {
	case before == 'I':
		return after == 'I' || mayBeginTransaction(r.unit)
	case after == 'I', before == 'E' && after == 'T':
		return r.inTransaction && r.channel.transaction.mayHaveEnded || mayEndTransaction(r.unit)
	}
	return true
}

// refuseUnsent ends a unit whose plan could not be built; nothing was sent.
func (r *execution) refuseUnsent(err error) (jacinthtiller.Result, error) {
	res := failedResult(r.unit, jacinthtiller.AsError(err))
	if r.inTransaction {
		r.grant.Done(true)
		res.Status = 'T'
		return res, nil
	}
	r.target.pool.put(r.conn)
	r.grant.Done(false)
	return res, nil
}

// sendPlan sends the plan and reports whether any of it may have reached the target.
func (r *execution) sendPlan() (sent bool, err error) {
	r.trace(event.UnitSent, event.Fields{"before": r.positionBefore.String()})
	n, err := r.conn.netConn.Write(r.channel.plan.messages)
	if err != nil {
		return n > 0, fmt.Errorf("write unit: %w", err)
	}
	return true, nil
}

// readAnswer reads the frames of the answer up to the last ReadyForQuery.
func (r *execution) readAnswer(x *answerReader) error {
	r.channel.out = r.channel.out[:0]
	for !x.done() {
		f, err := x.readFrame()
		if err == nil {
			err = x.failure
		}
		if err != nil {
			return err
		}
		if f != nil && !r.answerProvesNotRun(x, f) {
			if err := r.appendFrame(f); err != nil {
				return err
			}
		}
		if !r.withholding && len(r.channel.out) >= forwardThresholdBytes {
			if err := r.forwardFrames(); err != nil {
				return err
			}
		}
	}
	return nil
}

// answerProvesNotRun reports whether the answer of a replica so far proves that nothing ran. The
// unit may then run elsewhere, and the guest gets nothing of this answer.
func (r *execution) answerProvesNotRun(x *answerReader, _ []byte) bool {
	return r.leadership == nil && r.refusalProvesNotRun() && isNotRunCode(x.sqlstate)
}

// refusalProvesNotRun reports whether an error for which isNotRunCode is true would prove that nothing of the unit ran.
func (r *execution) refusalProvesNotRun() bool {
	return !r.inTransaction && !r.inKeyTransaction && !r.forwarded && r.completedCommands == 0
}

// isNotRunCode reports whether a target that answers with the SQLSTATE has not run the statement
// at all: 25006 (read-only state) and 57P03 (cannot accept statements now).
func isNotRunCode(code string) bool { return code == jacinthtiller.CodeReadOnly || code == "57P03" }

// appendFrame adds a frame to those for the guest. On a primary, frames are withheld from the first
// CommandComplete on, or in an open transaction from that of the command that ends it.
func (r *execution) appendFrame(f []byte) error {
	if f[0] == 'C' || f[0] == 'I' || f[0] == 's' {
		r.completedCommands++
		if r.leadership != nil && (!r.inTransaction || f[0] == 'C' && endsTransaction(cString(f[headerBytes:]))) {
			if err := r.startWithholding(); err != nil {
				return err
			}
		}
	}
	r.channel.out = append(r.channel.out, f...)
	if r.withholding && len(r.channel.out) > maxWithheldBytes {
		return fmt.Errorf("the answer after the first command is longer than %d bytes", maxWithheldBytes)
	}
	return nil
}

// startWithholding withholds the frames that follow. It forwards the earlier ones first if they reach the threshold.
func (r *execution) startWithholding() error {
	if r.withholding {
		return nil
	}
	if len(r.channel.out) >= forwardThresholdBytes {
		if err := r.forwardFrames(); err != nil {
			return err
		}
	}
	r.withholding = true
	return nil
}

func endsTransaction(tag string) bool {
	return tag == "COMMIT" || tag == "ROLLBACK" || tag == "PREPARE TRANSACTION"
}

// forwardFrames gives the collected frames to the sink.
func (r *execution) forwardFrames() error {
	if len(r.channel.out) == 0 {
		return nil
	}
	r.forwarded = true
	err := r.sink(r.channel.out)
	r.channel.out = r.channel.out[:0]
	if cap(r.channel.out) > maxKeptBufferBytes {
		r.channel.out = nil
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errSink, err)
	}
	return nil
}

// complete releases the slot and the connection, and forwards the answer once it may be acknowledged.
func (r *execution) complete(x *answerReader) (jacinthtiller.Result, error) {
	p := x.conn.position
	r.target.advancePosition(p)
	res := jacinthtiller.Result{Outcome: jacinthtiller.OutcomeDone, Position: p, Status: x.status, SQLSTATE: x.sqlstate}
	if r.leadership != nil && p.Compare(r.positionBefore) > 0 {
		// A commit after positionBefore may be this unit's own. It is recorded before the guest can learn of it.
		r.leadership.marks.record(r.unit.Guest, p)
	}
	r.returnResources(x.status)
	if r.refusalProvesNotRun() && isNotRunCode(x.sqlstate) && x.status == 'I' && (r.leadership == nil || r.leadership.ended()) {
		return r.refusedResult(x.sqlstate), nil
	}
	if r.leadership != nil && (x.status == 'I' || p.Compare(r.positionBefore) > 0) {
		if err := r.acknowledge(p); err != nil {
			return r.unknownResult(res, err), nil
		}
	}
	if err := r.forwardFrames(); err != nil {
		return res, err
	}
	return res, nil
}

// refusedResult returns the result of a unit whose answer proves that it did not run. It is not used
// while the leadership goes on: an error of a primary then means that the guest itself has forbidden writes.
func (r *execution) refusedResult(code string) jacinthtiller.Result {
	r.channel.out = r.channel.out[:0]
	err := jacinthtiller.NotRun(code, jacinthtiller.ReasonTarget, "target %s refused the statement", r.target.name)
	if r.leadership != nil {
		err = noTargetError(jacinthtiller.ReasonNotOwner, "target %s no longer leads term %d", r.target.name, r.leadership.term)
	}
	res := failedResult(r.unit, err)
	res.SQLSTATE, res.Position = code, r.target.position()
	return res
}

// returnResources releases the slot, and the connection unless a transaction is open.
func (r *execution) returnResources(status byte) {
	if status != 'I' {
		r.grant.Done(true)
		if !r.inTransaction {
			r.pinConnection()
		}
		return
	}
	if r.inTransaction {
		r.unpinConnection()
	}
	r.target.pool.put(r.conn)
	r.grant.Done(false)
}

// acknowledge returns nil when the answer may be forwarded: a majority has its position and the lease was checked after
// that, or the guest's team accepts the read without a lease.
func (r *execution) acknowledge(p jacinthtiller.Position) error {
	if !r.servesWithoutLease() {
		if err := r.awaitMajority(p); err == nil || !r.servesWithoutLease() {
			return err
		}
	}
	r.trace(event.ServedStale, event.Fields{"term": r.leadership.term, "position": p.String()})
	return nil
}

// awaitMajority waits until a majority has the position and then checks the lease.
func (r *execution) awaitMajority(p jacinthtiller.Position) error {
	start := time.Now()
	if err := r.leadership.awaitMajority(r.ctx, p); err != nil {
		return err
	}
	r.channel.owner.instruments.recordMajorityWait(start)
	if !r.leadership.mayAcknowledge() {
		return fmt.Errorf("the lease or the lead of term %d ended before the answer", r.leadership.term)
	}
	r.trace(event.UnitAcknowledged, event.Fields{
		"term": r.leadership.term, "position": p.String(), "access": string(r.unit.Access),
	})
	return nil
}

// servesWithoutLease reports whether the host has no lease and the unit is a read whose team accepts stale data.
func (r *execution) servesWithoutLease() bool {
	return r.leadership.ctx.Err() == nil && !r.target.owner.leased() && r.target.owner.acceptsStale(r.unit)
}

func (r *execution) unknownResult(res jacinthtiller.Result, cause error) jacinthtiller.Result {
	r.channel.out = r.channel.out[:0]
	res.Outcome = jacinthtiller.OutcomeUnknown
	res.Err = jacinthtiller.UnknownOutcome("the outcome is unknown: %v", cause)
	r.target.emit(event.UnitUnknown, event.Fields{"error": cause.Error(), "at": time.Now()})
	return res
}

// lostConnection closes the connection and returns the outcome that the failure leaves for the unit.
func (r *execution) lostConnection(sent bool, cause error) (jacinthtiller.Result, error) {
	r.target.reportMismatch(r.conn, cause)
	r.discardConnection()
	r.channel.out = r.channel.out[:0]
	switch {
	case errors.Is(cause, errSink):
	case r.inTransaction && (!sent || r.leadership == nil || !r.channel.transaction.mayHaveEnded):
		return failedResult(r.unit, rolledBackError(cause.Error())), nil
	case !sent:
		return failedResult(r.unit, noTargetError(jacinthtiller.ReasonTarget, "the connection to target %s failed: %v", r.target.name, cause)), nil
	case r.leadership == nil && !r.forwarded:
		return failedResult(r.unit, noTargetError(jacinthtiller.ReasonTarget, "the connection to replica %s failed: %v", r.target.name, cause)), nil
	}
	res := r.unknownResult(failedResult(r.unit, jacinthtiller.UnknownOutcome("")), cause)
	if errors.Is(cause, errSink) {
		return res, cause
	}
	return res, nil
}
