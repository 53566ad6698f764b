package quorum

import (
	"errors"
	"fmt"
	"time"

	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// errFault stops a node in which the program has a fault. What was not saved was answered to nobody, so that opening the
// folder again is safe, as after a crash.
var errFault = errors.New("a fault of the program stopped the member")

// drive feeds the core until the node stops.
func (n *Node) drive() {
	defer n.end()
	if !duty.Run(n.config.Events, "drive the log", event.Fields{"member": n.config.Name}, n.feed) {
		n.halt(errFault)
		n.failOpen(errFault)
	}
}

func (n *Node) feed() {
	for {
		events, ok := n.gather()
		if !ok {
			return
		}
		if err := n.step(events); err != nil {
			n.config.Events.Emit(event.QuorumStorageFailed, event.Fields{
				"member": n.config.Name, "file": n.store.path, "error": err.Error(),
			})
			n.halt(err)
			n.failOpen(err)
			return
		}
	}
}

// failOpen finishes the requests of a step that was not saved; bbolt may have written it all the same.
func (n *Node) failOpen(err error) {
	for id, r := range n.open {
		delete(n.open, id)
		r.finish(outcome{err: &UnknownOutcomeError{Err: err}})
	}
}

// gather waits for the next event and takes along what else has arrived.
func (n *Node) gather() ([]Event, bool) {
	var tasks chan<- task
	var next task
	if len(n.backlog) > 0 {
		tasks, next = n.tasks, n.backlog[0]
	}
	requests := n.requests
	if n.backlogEntries >= maxBacklog {
		requests = nil
	}
	select {
	case <-n.stop:
		return nil, false
	case <-n.timer.C:
		return n.drain([]Event{Tick{}}, requests), true
	case m := <-n.inbox:
		return n.drain([]Event{n.received(m)}, requests), true
	case r := <-requests:
		return n.drain([]Event{n.admit(r)}, requests), true
	case c := <-n.compactions:
		n.config.Events.Emit(event.QuorumSnapshotTaken, event.Fields{
			"member": n.config.Name, "index": c.Index, "bytes": len(c.Data),
		})
		return n.drain([]Event{c}, requests), true
	case tasks <- next:
		n.backlog = n.backlog[1:]
		n.backlogEntries -= len(next.entries)
		return n.drain(nil, requests), true
	}
}

// drain adds waiting events up to the bound of a step.
func (n *Node) drain(events []Event, requests <-chan *request) []Event {
	for len(events) < maxStepEvents {
		select {
		case m := <-n.inbox:
			events = append(events, n.received(m))
			continue
		default:
		}
		select {
		case r := <-requests:
			events = append(events, n.admit(r))
			continue
		default:
		}
		return events
	}
	return events
}

// admit gives a request its id.
func (n *Node) admit(r *request) Event {
	n.lastID++
	n.open[n.lastID] = r
	return r.event(n.lastID)
}

// received reports a folder other than the recorded one, once for each.
func (n *Node) received(m Message) Event {
	x, ok := n.core.membership().Member(m.From)
	if ok && x.Identity != m.Identity && n.warned[m.From] != m.Identity {
		n.warned[m.From] = m.Identity
		n.config.Events.Emit(event.QuorumIdentity, event.Fields{
			"member": m.From, "recorded": x.Identity, "used": m.Identity,
		})
	}
	return Received{Message: m}
}

// step runs one step and its effects, the durable ones first.
func (n *Node) step(events []Event) error {
	e, configuration, deadline := n.stepCore(events)
	if e.Durable() {
		if err := n.store.save(e); err != nil {
			return fmt.Errorf("save: %w", err)
		}
	}
	for _, m := range e.Messages {
		n.config.Transport.Send(m.To, m)
	}
	n.answer(e)
	n.queue(e)
	n.publish(configuration)
	n.timer.Reset(clock.Until(deadline))
	return nil
}

// stepCore runs one step of the core, and returns its effects, the index of the members before it and when the next step is
// due.
func (n *Node) stepCore(events []Event) (e Effects, configuration uint64, deadline time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	configuration = n.core.log.configurationIndex()
	e = n.core.Step(clock.Now(), events...)
	n.confirmedAt = n.core.ConfirmedAt()
	return e, configuration, n.core.Deadline()
}

// answer finishes refused requests and files the appended ones under their index.
func (n *Node) answer(e Effects) {
	for _, a := range e.Answers {
		r := n.open[a.ID]
		if r == nil {
			continue
		}
		switch {
		case a.Err != nil:
			delete(n.open, a.ID)
			r.finish(outcome{err: a.Err})
		case a.Index == 0:
			delete(n.open, a.ID)
			r.finish(outcome{})
		default:
			delete(n.open, a.ID)
			r.index, r.term = a.Index, a.Term
			n.file(r)
		}
	}
}

// file keeps a request under its index. An earlier entry at the same index was
// replaced in this member's log, but another member may still hold and commit it.
func (n *Node) file(r *request) {
	if old := n.appended[r.index]; old != nil {
		err := fmt.Errorf("the entry of term %d was replaced in this member's log", old.term)
		old.finish(outcome{index: old.index, err: &UnknownOutcomeError{Index: old.index, Err: err}})
	}
	n.appended[r.index] = r
}

// queue hands committed entries, snapshots and confirmed reads to the applying goroutine.
func (n *Node) queue(e Effects) {
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
		n.backlog = append(n.backlog, task{restore: e.Restore})
	}
	for entries := e.Committed; len(entries) > 0; {
		k := min(len(entries), maxApplyBatch)
		n.backlog = append(n.backlog, task{entries: entries[:k:k], requests: n.claim(entries[:k])})
		n.backlogEntries += k
		entries = entries[k:]
	}
	for _, c := range e.ConfirmedReads {
		if r := n.open[c.ID]; r != nil {
			delete(n.open, c.ID)
			n.backlog = append(n.backlog, task{read: r, readIndex: c.Index})
		}
	}
}

// claim takes the requests that wait for the entries. A committed entry of another
// term proves that the request's own will never be committed.
func (n *Node) claim(entries []Entry) map[uint64]*request {
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

// publish makes changes visible and logs them.
func (n *Node) publish(configuration uint64) {
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
		n.notify()
	}
	if i := c.log.configurationIndex(); i != configuration {
		n.config.Events.Emit(event.QuorumMembership, event.Fields{"index": i, "members": c.membership().Members})
	}
	if d := n.dropped.Load(); d != n.seenDropped {
		n.config.Events.Emit(event.QuorumMessagesDropped, event.Fields{"count": d - n.seenDropped})
		n.seenDropped = d
	}
}

// end finishes all requests after the applying goroutine has ended.
func (n *Node) end() {
	n.halt(errors.New("the driver ended unexpectedly")) // no effect after a regular stop
	<-n.applyDone
	n.timer.Stop()
	closed := &ClosedError{Err: n.Err()}
	for _, r := range n.open {
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
	n.notify()
}

// apply applies the log to the machine until the node stops.
func (n *Node) apply() {
	defer func() {
		n.halt(errors.New("the state machine ended unexpectedly")) // no effect after a regular stop
		close(n.applyDone)
	}()
	duty.Run(n.config.Events, "apply the log", event.Fields{"member": n.config.Name}, n.applyTasks)
}

func (n *Node) applyTasks() {
	snapshot := n.applied.Load()
	for {
		select {
		case <-n.stop:
			return
		case t := <-n.tasks:
			if t.restore != nil {
				if err := restore(n.config.Machine, *t.restore); err != nil {
					n.halt(err)
					return
				}
				snapshot = t.restore.Index
				n.applied.Store(snapshot)
				n.notify()
				continue
			}
			n.run(t)
			snapshot = n.compactAfter(snapshot)
		}
	}
}

// run applies the entries of a task and finishes its requests.
func (n *Node) run(t task) {
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
		n.notify()
	}
	if t.read != nil {
		t.read.finish(outcome{index: t.readIndex})
	}
}

// compactAfter takes a snapshot when enough entries were applied since the last one, and returns its index.
func (n *Node) compactAfter(last uint64) uint64 {
	applied := n.applied.Load()
	if applied-last < n.config.SnapshotEvery {
		return last
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
