package pool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/admission"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// maxPreparedStatements is the number of prepared statements above which a connection is reset.
	maxPreparedStatements = 200
	// checkTimeout bounds the wait for the answer to a check after a second unclear answer, which may be its refusal.
	checkTimeout = 500 * time.Millisecond
	// arrivedTimeout bounds the wait for the rest of an answer of which a part has arrived unasked.
	arrivedTimeout = 5 * time.Millisecond
)

// errUndecided means that two answers have come of which either may be that to the request.
var errUndecided = errors.New("which answer belongs to the request cannot be told")

// errOutOfStep means that an answer has arrived that no request waits for and that was not sent before.
var errOutOfStep = errors.New("an answer arrived that nothing asked for")

// directConn is a connection from this host to a target. It is used by one goroutine at a time.
type directConn struct {
	t  *Target
	tc jacinthtiller.TargetConn
	// account is the client account that the connection serves; empty for one of the host itself.
	account string
	// grant is the admission of the current statement or transaction; nil while the connection is idle.
	grant *admission.Grant
	// needsSlot is true between statements of a transaction: the next one needs a new slot.
	needsSlot bool
	// values and statements are the session values and prepared statements set on this connection.
	values     map[string]string
	statements map[string]bool
	// dirty is true when values or statements may be wrong, so that the connection must be reset before use.
	dirty bool
	// expected describes the request that waits for an answer, and answers holds the earlier ones.
	expected expectation
	answers  answerLog
	// state is that of the connection after the last answer.
	state byte
	// check is not nil while it is unclear which answer is that to the expected request.
	check *check
	// broken is true when an answer may follow that nothing waits for, so that the connection is not used for another guest.
	broken bool
	// idleSince is when the connection was last used by its account, or by the host if it has none.
	idleSince time.Time
}

// openDirect waits for admission to the target and returns a connection of this host.
func (t *Target) openDirect(j jacinthtiller.Job) (*directConn, error) {
	admitUntil := j.Deadline
	if !j.AdmitUntil.IsZero() {
		admitUntil = earlier(admitUntil, j.AdmitUntil)
	}
	g, err := t.gate.Acquire(context.Background(), admission.Request{
		Team: t.p.priorityClassOf(j.Route), Guest: j.Guest, BeginsTransaction: j.BeginsTransaction, Deadline: admitUntil, UsefulUntil: j.UsefulUntil,
	})
	if err != nil {
		return nil, &NoTargetError{Target: t.name, Cause: err}
	}
	c, err := t.connect(j.Account, j.Deadline)
	if err != nil {
		g.Done(false)
		return nil, &NoTargetError{Target: t.name, Cause: err}
	}
	c.grant, c.needsSlot = g, false
	return c, nil
}

// start prepares the connection for the job and sends its request. An error proves that the request did not run.
func (c *directConn) start(j jacinthtiller.Job) error {
	if c.needsSlot {
		if err := c.grant.Continue(context.Background(), j.Deadline); err != nil {
			return fmt.Errorf("continue on %s: %w", c.t.name, err)
		}
		c.needsSlot = false
		if err := c.discardArrived(); err != nil {
			return fmt.Errorf("use the connection to %s again: %w", c.t.name, err)
		}
	}
	if err := c.syncSession(j); err != nil {
		return fmt.Errorf("prepare the connection to %s: %w", c.t.name, err)
	}
	c.expected = expectation{id: j.ID, begins: j.BeginsTransaction, state: c.state, deadline: j.Deadline}
	if err := c.tc.Send(j.Deadline, j.TargetRequest); err != nil {
		return fmt.Errorf("send to %s: %w", c.t.name, err)
	}
	return nil
}

// receive returns the answer to the expected request. After a timeout it may be called again.
//
// A target may send an answer again, at any time later. An answer that certainly belongs to another request is discarded. One
// that may or may not is checked by a request without effect, which the target answers after the expected one.
func (c *directConn) receive(until time.Time) (jacinthtiller.Reply, error) {
	for {
		r, err := c.tc.Receive(c.check.earlierEnd(until))
		if isTimeout(err) && c.check.ended(time.Now()) {
			return c.endCheck(0)
		}
		if err != nil {
			c.logMalformed(err)
			return r, err
		}
		if c.check != nil && c.check.answeredBy(c.expected, r) {
			_, seen := c.answers.find(digestOf(r))
			c.answers.add("", r, time.Now())
			if !seen || c.check.repeated {
				return c.endCheck(r.State)
			}
			c.check.repeated = true
			if err := c.sendCheck(); err != nil {
				return jacinthtiller.Reply{}, fmt.Errorf("check an answer of %s: %w", c.t.name, err)
			}
			continue
		}
		switch v, reason := c.answers.judge(c.expected, r); {
		case v == verdictForeign:
			c.logUnexpected(r, reason)
		case v == verdictOwn && c.check == nil:
			return c.accept(r), nil
		case c.check == nil:
			c.t.metrics.unexpected(reason)
			if err := c.sendCheck(); err != nil {
				return jacinthtiller.Reply{}, fmt.Errorf("check an answer of %s: %w", c.t.name, err)
			}
			c.check = &check{candidates: []jacinthtiller.Reply{r}}
		case v == verdictOwn && r.ErrorCode == "":
			c.broken = true // the answer to the check is still to come
			c.check = nil
			return c.accept(r), nil
		case v == verdictOwn: // the request or the check was refused
			c.broken = true
			c.check.candidates = append(c.check.candidates, r)
			return c.endCheck(r.State)
		default:
			c.check.candidates = append(c.check.candidates, r)
			c.check.end = time.Now().Add(checkTimeout)
		}
	}
}

// accept records and returns the answer to the expected request.
func (c *directConn) accept(r jacinthtiller.Reply) jacinthtiller.Reply {
	c.answers.add(c.expected.id, r, time.Now())
	c.state = r.State
	return r
}

// endCheck returns the answer to the expected request, given the state that the connection has after it. An error means that
// the answer is unknown.
func (c *directConn) endCheck(state byte) (jacinthtiller.Reply, error) {
	k := c.check
	c.check = nil
	r, ok := k.pick(state)
	if !ok {
		c.logUnexpected(k.candidates[len(k.candidates)-1], reasonUndecided)
		return jacinthtiller.Reply{}, errUndecided
	}
	if len(k.candidates) > 1 {
		c.logUnexpected(k.candidates[0], reasonSuperseded)
	}
	r = c.accept(r)
	c.answers.doubtful = c.broken // otherwise no answer is to come, since the target answers in order
	return r, nil
}

// sendCheck sends a request whose answer comes after that to the expected request. It prepares a statement that nothing uses,
// which is allowed in any state but that of a failed transaction and changes no session value.
func (c *directConn) sendCheck() error {
	name := fmt.Sprintf("check%d", len(c.statements))
	c.statements[name] = true
	return c.tc.Send(c.expected.deadline, jacinthtiller.TargetRequest{Text: c.t.p.dialect.Prepare(name, jacinthtiller.AccessRead, name)})
}

// discardArrived discards answers that have arrived although no request waits for one. An error means that the connection
// cannot be used: it is closed, or what has arrived is no repetition of an earlier answer.
func (c *directConn) discardArrived() error {
	for c.tc.Unusable() {
		r, err := c.tc.Receive(time.Now().Add(arrivedTimeout))
		if isTimeout(err) && !c.tc.Unusable() {
			return nil // what had arrived was without content
		}
		if err != nil {
			return err
		}
		c.logUnexpected(r, reasonEarly)
		if _, seen := c.answers.find(digestOf(r)); !seen {
			return errOutOfStep
		}
	}
	return nil
}

// queryStatus asks the target for its status.
func (c *directConn) queryStatus(deadline time.Time) (jacinthtiller.Reply, error) {
	c.expected = expectation{status: true, state: c.state, deadline: deadline}
	if err := c.tc.Send(deadline, jacinthtiller.TargetRequest{Text: c.t.p.dialect.Status()}); err != nil {
		return jacinthtiller.Reply{}, err
	}
	return c.receive(deadline)
}

// logUnexpected logs and counts an answer that is not, or may not be, that to the expected request.
func (c *directConn) logUnexpected(r jacinthtiller.Reply, reason string) {
	c.t.metrics.unexpected(reason)
	c.t.p.events.Emit(event.AnswerUnexpected, event.Fields{
		"database": c.t.database, "target": c.t.name, "request": c.expected.id, "reason": reason,
		"signature": r.Signature, "code": string(r.ErrorCode), "state": string(r.State), "position": r.Position.String(),
		"answers": len(c.answers.newer) + len(c.answers.older),
	})
}

// logMalformed logs an error of a read that is neither one of the network nor a timeout.
func (c *directConn) logMalformed(err error) {
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	c.t.p.events.Emit(event.AnswerMalformed, event.Fields{
		"database": c.t.database, "target": c.t.name, "request": c.expected.id, "error": err.Error(),
	})
}

// syncSession sets the job's values and prepares its statement on the connection, and removes other values.
func (c *directConn) syncSession(j jacinthtiller.Job) error {
	d := c.t.p.dialect
	var requests []jacinthtiller.TargetRequest
	extraValue := false
	for name := range c.values {
		if _, ok := j.Values[name]; !ok {
			extraValue = true // a single value cannot be unset; only a reset removes it
		}
	}
	if c.dirty || extraValue || len(c.statements) > maxPreparedStatements {
		requests = append(requests, jacinthtiller.TargetRequest{Text: d.Reset()})
		c.values, c.statements = map[string]string{}, map[string]bool{}
	}
	c.dirty = true
	for _, name := range slices.Sorted(maps.Keys(j.Values)) {
		if v, ok := c.values[name]; !ok || v != j.Values[name] {
			requests = append(requests, jacinthtiller.TargetRequest{Text: d.Set(name, j.Values[name])})
			c.values[name] = j.Values[name]
		}
	}
	if s := j.Statement; s != nil && !c.statements[s.Name] {
		requests = append(requests, jacinthtiller.TargetRequest{Text: d.Prepare(s.Name, s.Access, s.Shape)})
		c.statements[s.Name] = true
	}
	c.expected = expectation{state: c.state, deadline: j.Deadline}
	if len(requests) > 0 {
		if err := c.tc.Send(j.Deadline, requests...); err != nil {
			return err
		}
	}
	for range requests {
		r, err := c.receive(j.Deadline)
		if err != nil {
			return err
		}
		if r.ErrorCode != "" {
			return &jacinthtiller.TargetError{Code: r.ErrorCode, Text: r.ErrorText}
		}
	}
	c.dirty = false
	return nil
}

// endStatement frees the slot of the statement; the connection stays reserved for its transaction.
func (c *directConn) endStatement() {
	if !c.needsSlot {
		c.needsSlot = true
		c.grant.Done(true)
	}
}

// put releases the admission and makes the connection idle.
func (c *directConn) put() {
	c.grant.Release()
	c.grant = nil
	c.t.putIdle(c)
}

// drop closes the connection, which rolls back an open transaction.
func (c *directConn) drop(reason string) {
	c.t.close(c, reason)
	c.grant.Release()
}
