package quorum

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// Machine is the state machine to which the log is applied. Its methods are called
// by one goroutine at a time, Apply in the order of the log.
type Machine interface {
	// Apply applies a committed command and returns its result. It is deterministic.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state by the snapshot.
	Restore(snapshot []byte) error
}

// Transport carries messages between members. It may lose, delay, duplicate and reorder them.
type Transport interface {
	// Send never blocks; it drops a message when its bounded queue is full.
	Send(to string, m Message)
}

// Config is what a Node needs.
type Config struct {
	// Name is the member's name; it must not change as long as the folder is used.
	Name string
	// Dir is the data folder; only this node may use it.
	Dir string
	// Members are the names of the initial members. A node with an empty folder sends them hello messages.
	Members []string
	// Bootstrap allows a node with an empty folder to take part in founding a new group of Members; see the package comment.
	Bootstrap bool
	Machine   Machine
	Transport Transport
	// Events may be nil.
	Events *event.Log
	// Seed seeds the generator of the election timeouts; 0 means a random seed.
	Seed uint64
	// HeartbeatMicroseconds is the time between heartbeats; 0 means 100 ms.
	HeartbeatMicroseconds int64
	// ElectionMicroseconds is the least election timeout; 0 means 400 ms. The greatest is twice as long.
	ElectionMicroseconds int64
	// SnapshotEvery is how many entries are applied between snapshots; 0 means 10000.
	SnapshotEvery uint64
	// TrailingEntries is how many entries before a snapshot are kept; 0 means half of SnapshotEvery.
	TrailingEntries uint64
}

const (
	defaultSnapshotEvery = 10000
	// minHeartbeatsPerElection is the least number of heartbeats in an election timeout, so that one lost heartbeat does not
	// start an election.
	minHeartbeatsPerElection = 3
	inboxCapacity            = 4096
	requestsCapacity         = 1024
	// maxStepEvents bounds the events of one step, and thus of one transaction.
	maxStepEvents = 1024
	// maxBacklogEntries is how many committed entries may wait to be applied before no new requests are accepted.
	maxBacklogEntries = 8192
	// maxApplyEntries bounds the entries that are applied between two checks of the snapshot threshold.
	maxApplyEntries = 512
)

// outcome is the result of a request.
type outcome struct {
	result []byte
	index  uint64
	err    error
}

// request is a call that waits for its outcome.
type request struct {
	makeEvent func(id uint64) Event
	// term and index are set by the driver when the entry is appended.
	term, index uint64
	// done has capacity 1 and receives one outcome.
	done chan outcome
}

func (r *request) finish(o outcome) {
	select {
	case r.done <- o:
	default: // the request has an outcome already
	}
}

// applyTask is a task of the goroutine that applies the log. Exactly one of restore, entries and read is set.
type applyTask struct {
	restore *Snapshot
	entries []Entry
	// requests are the requests that wait for these entries, by index.
	requests map[uint64]*request
	// read is finished once all earlier tasks are done.
	read      *request
	readIndex uint64
}

// leadership is the state that Node.Leadership and Node.LeaderSince return.
type leadership struct {
	leader string
	term   uint64
	// since is when this member became the leader; zero while it is not.
	since time.Time
}

// Node is one member of a group.
type Node struct {
	config     Config
	store      *store
	goroutines conc.WaitGroup

	// inbox holds received messages. When it is full, Receive drops the message; members resend what is lost.
	inbox chan Message
	// requests holds the requests of callers. When it is full, callers wait until their context ends.
	requests chan *request
	// tasks passes tasks to the goroutine that applies the log. When it is full, the driver keeps further tasks in backlog.
	tasks chan applyTask
	// compactions passes a new snapshot to the driver. When it is full, the goroutine that applies the log waits.
	compactions chan Compact
	// stop is closed to stop the node, applyDone when the goroutine that applies the log has
	// ended, and stopped when all requests are finished.
	stop, applyDone, stopped chan struct{}
	stopOnce                 sync.Once

	applied atomic.Uint64
	dropped atomic.Uint64

	mu sync.Mutex // guards the fields below
	// core is stepped only by the driver.
	core       *Core
	leadership leadership
	// confirmedAt is the result of Core.ConfirmedAt after the last step.
	confirmedAt time.Time
	// changed is closed and replaced at each change; see Changed.
	changed chan struct{}
	// err is the reason why the node stopped without Close.
	err error

	// The fields below are used only by the driver.

	lastID uint64
	// unanswered holds the requests that the core has not answered, by ID. appended holds the requests that wait for
	// their entry to be committed, by index.
	unanswered map[uint64]*request
	appended   map[uint64]*request
	backlog    []applyTask
	// backlogEntries counts the entries in backlog.
	backlogEntries     int
	timer              *time.Timer
	reportedIdentities map[string]string
	// reportedDropped is the value of dropped in the last event about dropped messages.
	reportedDropped uint64
}

// Open opens or creates the data folder and starts the member.
func Open(c Config) (*Node, error) {
	if c.Name == "" || c.Dir == "" || c.Machine == nil || c.Transport == nil {
		return nil, errors.New("quorum: Config needs Name, Dir, Machine and Transport")
	}
	timeouts := Settings{HeartbeatMicroseconds: c.HeartbeatMicroseconds, ElectionMicroseconds: c.ElectionMicroseconds}
	if timeouts.minElectionTimeout() < minHeartbeatsPerElection*timeouts.heartbeatInterval() {
		return nil, fmt.Errorf("quorum: election timeout %v is below %d heartbeats of %v",
			timeouts.minElectionTimeout(), minHeartbeatsPerElection, timeouts.heartbeatInterval())
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.TrailingEntries == 0 {
		c.TrailingEntries = c.SnapshotEvery / 2
	}
	s, loaded, err := openStore(c.Dir, c.Name)
	if err != nil {
		return nil, fmt.Errorf("open data folder of %s: %w", c.Name, err)
	}
	if err := restoreMachine(c.Machine, loaded.snapshot); err != nil {
		return nil, errors.Join(err, s.close())
	}
	n := newNode(c, s, loaded)
	c.Events.Emit(event.QuorumOpened, event.Fields{
		"member": c.Name, "identity": s.header.Identity, "term": loaded.state.Term, "last": n.core.log.lastIndex(),
	})
	if n.core.uninitialized() {
		c.Events.Emit(event.QuorumFolderEmpty, event.Fields{"member": c.Name, "folder": c.Dir})
	}
	n.goroutines.Go(n.runDriver)
	n.goroutines.Go(n.runApply)
	return n, nil
}

// restoreMachine restores the state machine from a snapshot. The founding record has no state.
func restoreMachine(m Machine, s Snapshot) error {
	if s.Index <= foundingIndex {
		return nil
	}
	if err := m.Restore(s.Data); err != nil {
		return fmt.Errorf("restore snapshot at index %d: %w", s.Index, err)
	}
	return nil
}

func newNode(c Config, s *store, loaded storeContents) *Node {
	settings := Settings{
		Name: c.Name, Identity: s.header.Identity, Members: c.Members, Bootstrap: c.Bootstrap, Seed: c.Seed,
		HeartbeatMicroseconds: c.HeartbeatMicroseconds, ElectionMicroseconds: c.ElectionMicroseconds,
		TrailingEntries: c.TrailingEntries,
	}
	n := &Node{
		config: c, store: s,
		core:  NewCore(clock.Now(), settings, loaded.state, loaded.snapshot, loaded.entries),
		inbox: make(chan Message, inboxCapacity), requests: make(chan *request, requestsCapacity),
		tasks: make(chan applyTask, 1), compactions: make(chan Compact, 1),
		stop: make(chan struct{}), applyDone: make(chan struct{}), stopped: make(chan struct{}),
		changed: make(chan struct{}), unanswered: map[uint64]*request{}, appended: map[uint64]*request{},
		timer: time.NewTimer(0), reportedIdentities: map[string]string{},
	}
	n.applied.Store(loaded.snapshot.Index)
	return n
}

// Receive takes a message from the transport. It never blocks; it drops the message when the inbox is full.
func (n *Node) Receive(m Message) {
	select {
	case n.inbox <- m:
	default:
		n.dropped.Add(1)
	}
}

// submit passes a request to the driver and waits for its outcome. An unwrapped ctx
// error means that the driver may have taken the request.
func (n *Node) submit(ctx context.Context, makeEvent func(id uint64) Event) outcome {
	r := newRequest(makeEvent)
	select {
	case n.requests <- r:
	case <-ctx.Done():
		return outcome{err: fmt.Errorf("request was not taken: %w", ctx.Err())}
	case <-n.stopped:
		return outcome{err: &ClosedError{Err: n.Err()}}
	}
	select {
	case o := <-r.done:
		return o
	case <-ctx.Done():
		return outcome{err: ctx.Err()}
	case <-n.stopped:
	}
	select {
	case o := <-r.done:
		return o
	default: // the driver ended without taking the request
		return outcome{err: &ClosedError{Err: n.Err()}}
	}
}

func newRequest(makeEvent func(id uint64) Event) *request {
	return &request{makeEvent: makeEvent, done: make(chan outcome, 1)}
}

// Propose appends a command and waits until it is committed and applied here. It
// returns the result of Machine.Apply and the entry's index. *UnknownOutcomeError
// means that the command may or may not be applied; every other error proves that
// it is not and will not be.
func (n *Node) Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error) {
	o := n.submit(ctx, func(id uint64) Event { return Propose{ID: id, Data: command} })
	if o.err != nil {
		return nil, o.index, fmt.Errorf("propose: %w", asUnknownOutcome(ctx, o.err))
	}
	return o.result, o.index, nil
}

// asUnknownOutcome returns an *UnknownOutcomeError if ctx ended while the request was under way, and err otherwise.
func asUnknownOutcome(ctx context.Context, err error) error {
	if ctx.Err() != nil && err == ctx.Err() { //nolint:errorlint // a wrapped ctx error means that the request was not taken
		return &UnknownOutcomeError{Err: err}
	}
	return err
}

// ConfirmLeader returns nil only if a majority has confirmed this member's leadership
// in a round that began after the call and this member has applied all entries that
// were committed before the call.
func (n *Node) ConfirmLeader(ctx context.Context) error {
	o := n.submit(ctx, func(id uint64) Event { return Read{ID: id} })
	if o.err != nil {
		return fmt.Errorf("confirm leadership: %w", o.err)
	}
	return nil
}

// Leadership returns the leader known to this member, the term, and whether this member leads.
func (n *Node) Leadership() (leader string, term uint64, isLeader bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leadership.leader, n.leadership.term, !n.leadership.since.IsZero()
}

// ConfirmedAt returns the latest time, on the clock of package clock, at which this member is known to have led. No other
// member can be elected earlier than NoElectionPeriod after that time. It is zero while the member does not lead, and once
// it has started to transfer the leadership.
func (n *Node) ConfirmedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.confirmedAt
}

// NoElectionPeriod is the time after ConfirmedAt in which no other member can be elected, with the default intervals.
const NoElectionPeriod = defaultMinElectionTimeout - defaultHeartbeatInterval

// LeaderSince returns when this member became the leader, and false if it does not lead.
func (n *Node) LeaderSince() (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leadership.since, !n.leadership.since.IsZero()
}

// Changed returns a channel that is closed at the next change of the leader, the term,
// the applied index or whether this member leads, and when the node stops. A caller
// must get the channel before it reads the state.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Applied returns the index of the last entry that was applied here.
func (n *Node) Applied() uint64 { return n.applied.Load() }

// Stopped returns a channel that is closed when the node has stopped, by Close or because of Err.
func (n *Node) Stopped() <-chan struct{} { return n.stopped }

// Err returns why the node stopped without Close; nil while it runs and after Close.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Status returns the state of the member.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.core.Status()
	s.Applied = n.applied.Load()
	return s
}

// AddMember admits the folder in use under the name as a learner. It waits until a
// message of the member has arrived and the change is committed, or until ctx ends.
func (n *Node) AddMember(ctx context.Context, name string) error {
	return n.changeMember(ctx, ChangeAdd, name)
}

// PromoteMember makes a learner a voter. It waits until the learner has caught up
// and the change is committed, or until ctx ends.
func (n *Node) PromoteMember(ctx context.Context, name string) error {
	return n.changeMember(ctx, ChangePromote, name)
}

// RemoveMember removes a member from the group.
func (n *Node) RemoveMember(ctx context.Context, name string) error {
	return n.changeMember(ctx, ChangeRemove, name)
}

func (n *Node) changeMember(ctx context.Context, kind ChangeKind, name string) error {
	for {
		o := n.submit(ctx, func(id uint64) Event { return Change{ID: id, Kind: kind, Name: name} })
		var changeErr *ChangeError
		if !errors.As(o.err, &changeErr) || !changeErr.Retry {
			if o.err != nil {
				return fmt.Errorf("%s member: %w", kind, asUnknownOutcome(ctx, o.err))
			}
			return nil
		}
		if err := n.waitHeartbeat(ctx); err != nil {
			return fmt.Errorf("%s member: %w: %w", kind, err, changeErr)
		}
	}
}

// waitHeartbeat waits for one heartbeat interval.
func (n *Node) waitHeartbeat(ctx context.Context) error {
	t := time.NewTimer(n.core.settings.heartbeatInterval())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return &ClosedError{Err: n.Err()}
	}
}

// TransferLeadership transfers the leadership to the voter with the most complete log
// and waits until this member no longer leads. It does nothing if this member does
// not lead.
func (n *Node) TransferLeadership(ctx context.Context) error {
	for {
		if _, _, leads := n.Leadership(); !leads {
			return nil
		}
		o := n.submit(ctx, func(id uint64) Event { return Transfer{ID: id} })
		var notLeader *NotLeaderError
		if errors.As(o.err, &notLeader) {
			return nil
		}
		if o.err != nil {
			return fmt.Errorf("transfer leadership: %w", o.err)
		}
		if err := n.awaitStepDown(ctx); err != nil {
			return fmt.Errorf("transfer leadership: %w", err)
		}
	}
}

// awaitStepDown waits until this member no longer leads, but not longer than an election timeout.
func (n *Node) awaitStepDown(ctx context.Context) error {
	timeout := time.NewTimer(n.core.settings.minElectionTimeout())
	defer timeout.Stop()
	for {
		changed := n.Changed()
		if _, _, leads := n.Leadership(); !leads {
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-n.stopped:
			return &ClosedError{Err: n.Err()}
		}
	}
}

// Close stops the member and closes its file.
func (n *Node) Close() error {
	n.beginStop(nil)
	n.goroutines.Wait()
	if err := n.store.close(); err != nil {
		return fmt.Errorf("close quorum node: %w", err)
	}
	return nil
}

// beginStop tells the goroutines to stop. A non-nil err is the reason that Err returns.
func (n *Node) beginStop(err error) {
	n.stopOnce.Do(func() {
		n.mu.Lock()
		n.err = err
		n.mu.Unlock()
		close(n.stop)
	})
}

// notifyChanged wakes the callers that wait on Changed.
func (n *Node) notifyChanged() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}
