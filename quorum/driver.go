package quorum

import (
	"errors"
	"fmt"
	"time"

	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// errPanic stops a node whose driver has panicked. State that was not saved has not been acknowledged, so it is safe to
// open the folder again, as after a crash. Callers receive the text.
var errPanic = errors.New("a fault of the program stopped the member")

// runDriver runs the driver until the node stops, and finishes all requests then.
func (n *Node) runDriver() {
	defer n.finishRequests()
	if !duty.Run(n.config.Events, "replicate the log", event.Fields{"member": n.config.Name}, n.stepLoop) {
		n.beginStop(errPanic)
		n.failUnanswered(errPanic)
	}
}

func (n *Node) stepLoop() {
	for {
		events, ok := n.nextEvents()
		if !ok {
			return
		}
		if err := n.step(events); err != nil {
			n.config.Events.Emit(event.QuorumStorageFailed, event.Fields{
				"member": n.config.Name, "file": n.store.path, "error": err.Error(),
			})
			n.beginStop(err)
			n.failUnanswered(err)
			return
		}
	}
}

// failUnanswered finishes the requests that the core has not answered. Their outcome is unknown, because bbolt may have
// written the step although it failed.
func (n *Node) failUnanswered(err error) {
	for id, r := range n.unanswered {
		delete(n.unanswered, id)
		r.finish(outcome{err: &UnknownOutcomeError{Err: err}})
	}
}

// nextEvents waits for the next event and returns it with all others that have arrived, or false once the node stops.
func (n *Node) nextEvents() ([]Event, bool) {
	var tasks chan<- applyTask
	var nextTask applyTask
	if len(n.backlog) > 0 {
		tasks, nextTask = n.tasks, n.backlog[0]
	}
	requests := n.requests
	if n.backlogEntries >= maxBacklogEntries {
		requests = nil
	}
	select {
	case <-n.stop:
		return nil, false
	case <-n.timer.C:
		return n.appendQueued([]Event{Tick{}}, requests), true
	case m := <-n.inbox:
		return n.appendQueued([]Event{n.receivedEvent(m)}, requests), true
	case r := <-requests:
		return n.appendQueued([]Event{n.requestEvent(r)}, requests), true
	case c := <-n.compactions:
		n.config.Events.Emit(event.QuorumSnapshotTaken, event.Fields{
			"member": n.config.Name, "index": c.Index, "bytes": len(c.Data),
		})
		return n.appendQueued([]Event{c}, requests), true
	case tasks <- nextTask:
		n.backlog = n.backlog[1:]
		n.backlogEntries -= len(nextTask.entries)
		return n.appendQueued(nil, requests), true
	}
}

// appendQueued appends queued messages and requests, up to maxStepEvents events.
func (n *Node) appendQueued(events []Event, requests <-chan *request) []Event {
	for len(events) < maxStepEvents {
		select {
		case m := <-n.inbox:
			events = append(events, n.receivedEvent(m))
			continue
		default:
		}
		select {
		case r := <-requests:
			events = append(events, n.requestEvent(r))
			continue
		default:
		}
		return events
	}
	return events
}

// requestEvent assigns an ID to the request and returns its event.
func (n *Node) requestEvent(r *request) Event {
	n.lastID++
	n.unanswered[n.lastID] = r
	return r.makeEvent(n.lastID)
}

// receivedEvent returns the event for a message. It logs each identity other than the recorded one once.
func (n *Node) receivedEvent(m Message) Event {
	x, ok := n.core.membership().Member(m.From)
	if ok && x.Identity != m.Identity && n.reportedIdentities[m.From] != m.Identity {
		n.reportedIdentities[m.From] = m.Identity
		n.config.Events.Emit(event.QuorumIdentity, event.Fields{
			"member": m.From, "recorded": x.Identity, "used": m.Identity,
		})
	}
	return Received{Message: m}
}

// step runs one step of the core and carries out its effects, the durable ones first.
func (n *Node) step(events []Event) error {
	e, previousConfiguration, deadline := n.stepCore(events)
	if e.Durable() {
		if err := n.store.save(e); err != nil {
			return fmt.Errorf("save: %w", err)
		}
	}
	for _, m := range e.Messages {
		n.config.Transport.Send(m.To, m)
	}
	n.handleAnswers(e)
	n.queueTasks(e)
	n.publishChanges(previousConfiguration)
	n.timer.Reset(clock.Until(deadline))
	return nil
}

// stepCore runs one step of the core. It returns the effects, the index of the configuration before the step and the time
// at which the next step is due.
func (n *Node) stepCore(events []Event) (e Effects, previousConfiguration uint64, deadline time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	previousConfiguration = n.core.log.configurationIndex()
	e = n.core.Step(clock.Now(), events...)
	n.confirmedAt = n.core.ConfirmedAt()
	return e, previousConfiguration, n.core.Deadline()
}

// handleAnswers finishes refused requests and tracks appended ones under their index.
func (n *Node) handleAnswers(e Effects) {
	for _, a := range e.Answers {
		r := n.unanswered[a.ID]
		if r == nil {
			continue
		}
		switch {
		case a.Err != nil:
			delete(n.unanswered, a.ID)
			r.finish(outcome{err: a.Err})
		case a.Index == 0:
			delete(n.unanswered, a.ID)
			r.finish(outcome{})
		default:
			delete(n.unanswered, a.ID)
			r.index, r.term = a.Index, a.Term
			n.trackAppended(r)
		}
	}
}

// trackAppended keeps a request under its index. The outcome of an earlier request at
// the same index is unknown: its entry was replaced in this member's log, but another
// member may still hold and commit it.
func (n *Node) trackAppended(r *request) {
	if old := n.appended[r.index]; old != nil {
		err := fmt.Errorf("the entry of term %d was replaced in this member's log", old.term)
		old.finish(outcome{index: old.index, err: &UnknownOutcomeError{Index: old.index, Err: err}})
	}
	n.appended[r.index] = r
}

// queueTasks adds snapshots to restore, committed entries and confirmed reads to the backlog.
func (n *Node) queueTasks(e Effects) {
	if e.Restore != nil {
		n.config.Events.Emit(event.QuorumSnapshotInstalled, event.Fields{
			"member": n.config.Name, "index": e.Restore.Index, "bytes": len(e.Restore.Data),
		})
		for i, r := range n.appended {
			if i <= e.Restore.Index {
				delete(n.appended, i)
				r.finish(outcome{index: i, err: &UnknownOutcomeError{
					Index: i, Err: fmt.Errorf("the entry is covered by the snapshot at index %d", e.Restore.Index),
				}})
			}
		}
		n.backlog = append(n.backlog, applyTask{restore: e.Restore})
	}
	for entries := e.Committed; len(entries) > 0; {
		k := min(len(entries), maxApplyEntries)
		n.backlog = append(n.backlog, applyTask{entries: entries[:k:k], requests: n.takeRequests(entries[:k])})
		n.backlogEntries += k
		entries = entries[k:]
	}
	for _, c := range e.ConfirmedReads {
		if r := n.unanswered[c.ID]; r != nil {
			delete(n.unanswered, c.ID)
			n.backlog = append(n.backlog, applyTask{read: r, readIndex: c.Index})
		}
	}
}

// takeRequests removes and returns the requests that wait for the entries. A committed
// entry of another term proves that the request's entry will never be committed.
func (n *Node) takeRequests(entries []Entry) map[uint64]*request {
	var out map[uint64]*request
	for _, e := range entries {
		r := n.appended[e.Index]
		if r == nil {
			continue
		}
		delete(n.appended, e.Index)
		if r.term != e.Term {
			r.finish(outcome{index: r.index, err: n.core.notLeaderError()})
			continue
		}
		if out == nil {
			out = map[uint64]*request{}
		}
		out[e.Index] = r
	}
	return out
}

// publishChanges publishes and logs changes of the leader, the term and whether this member leads. It also logs changes of
// the membership and dropped messages.
func (n *Node) publishChanges(previousConfiguration uint64) {
	c := n.core
	next := leadership{leader: c.leader, term: c.state.Term}
	if c.role == RoleLeader {
		next.since = c.leaderSince
	}
	n.mu.Lock()
	changed := next != n.leadership
	n.leadership = next
	n.mu.Unlock()
	if changed {
		n.config.Events.Emit(event.QuorumRole, event.Fields{
			"member": n.config.Name, "role": string(c.role), "term": c.state.Term, "leader": c.leader,
		})
		n.notifyChanged()
	}
	if i := c.log.configurationIndex(); i != previousConfiguration {
		n.config.Events.Emit(event.QuorumMembership, event.Fields{"index": i, "members": c.membership().Members})
	}
	if d := n.dropped.Load(); d != n.reportedDropped {
		n.config.Events.Emit(event.QuorumMessagesDropped, event.Fields{"count": d - n.reportedDropped})
		n.reportedDropped = d
	}
}

// finishRequests finishes all remaining requests after the goroutine that applies the log has ended.
func (n *Node) finishRequests() {
	n.beginStop(errors.New("the driver ended unexpectedly")) // no effect if the node is stopping already
	<-n.applyDone
	n.timer.Stop()
	closed := &ClosedError{Err: n.Err()}
	for _, r := range n.unanswered {
		r.finish(outcome{err: closed})
	}
	for i, r := range n.appended {
		r.finish(outcome{index: i, err: &UnknownOutcomeError{Index: i, Err: closed}})
	}
	select {
	case t := <-n.tasks:
		n.backlog = append(n.backlog, t)
	default:
	}
	for _, t := range n.backlog {
		if t.read != nil {
			t.read.finish(outcome{err: closed})
		}
		for i, r := range t.requests {
			r.finish(outcome{index: i, err: &UnknownOutcomeError{Index: i, Err: closed}})
		}
	}
	close(n.stopped)
	n.notifyChanged()
}

// runApply applies the log to the state machine until the node stops.
func (n *Node) runApply() {
	defer func() {
		n.beginStop(errors.New("the state machine ended unexpectedly")) // no effect if the node is stopping already
		close(n.applyDone)
	}()
	duty.Run(n.config.Events, "apply the log", event.Fields{"member": n.config.Name}, n.applyLoop)
}

func (n *Node) applyLoop() {
	lastSnapshot := n.applied.Load()
	for {
		select {
		case <-n.stop:
			return
		case t := <-n.tasks:
			if t.restore != nil {
				if err := restoreMachine(n.config.Machine, *t.restore); err != nil {
					n.beginStop(err)
					return
				}
				lastSnapshot = t.restore.Index
				n.applied.Store(lastSnapshot)
				n.notifyChanged()
				continue
			}
			n.runTask(t)
			lastSnapshot = n.snapshotIfDue(lastSnapshot)
		}
	}
}

// runTask applies the entries of a task and finishes its requests. If Machine.Apply panics, the entry is committed but its
// effect is unknown, and the requests of this and all later entries of the task get UnknownOutcomeError.
func (n *Node) runTask(t applyTask) {
	defer func() {
		for i, r := range t.requests {
			r.finish(outcome{index: i, err: &UnknownOutcomeError{Index: i, Err: errPanic}}) // no effect on finished requests
		}
	}()
	for _, e := range t.entries {
		var result []byte
		if e.Kind == EntryCommand {
			result = n.config.Machine.Apply(e.Index, e.Data)
		}
		n.applied.Store(e.Index)
		if r := t.requests[e.Index]; r != nil {
			r.finish(outcome{result: result, index: e.Index})
		}
	}
	if len(t.entries) > 0 {
		n.notifyChanged()
	}
	if t.read != nil {
		t.read.finish(outcome{index: t.readIndex})
	}
}

// snapshotIfDue takes a snapshot if enough entries were applied since the last one, and returns the index from which the
// next interval counts.
func (n *Node) snapshotIfDue(lastSnapshot uint64) uint64 {
	applied := n.applied.Load()
	if applied-lastSnapshot < n.config.SnapshotEvery {
		return lastSnapshot
	}
	data, err := n.config.Machine.Snapshot()
	if err != nil {
		n.config.Events.Emit(event.QuorumSnapshotFailed, event.Fields{"index": applied, "error": err.Error()})
		return applied
	}
	select {
	case n.compactions <- Compact{Index: applied, Data: data}:
	case <-n.stop:
	}
	return applied
}
