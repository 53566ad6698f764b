package quorum

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Role is a member's part in the present term.
type Role string

// The roles of a member.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// contact is what was last heard from the process that uses a name.
type contact struct {
	identity string
	group    string
	// spare is true when the process is no voter by its own log.
	spare bool
	// echoed is true when the process knew this member's present identity.
	echoed bool
	names  []string
	at     time.Time
}

// roundStart is when a heartbeat round began.
type roundStart struct {
	round uint64
	at    time.Time
}

// waitingRead is a read that is not confirmed yet.
type waitingRead struct {
	id uint64
	// index is the commit index at the arrival of the read, or the index of the
	// term's first entry when that was not committed then.
	index uint64
	// round is the first heartbeat round begun after the arrival; 0 until one is begun.
	round uint64
}

// Core is the algorithm of one member. It is deterministic: the same settings,
// stored state and sequence of steps give the same effects. It is used by one
// goroutine at a time.
type Core struct {
	settings Settings
	random   *rand.Rand
	// now is the time of the step; it never decreases.
	now   time.Time
	state State
	log   *log
	// commit is the highest index known to be committed; it never decreases.
	commit uint64
	// released is the highest index that was handed out in Committed or covered by a snapshot.
	released uint64
	role     Role
	leader   string
	// leaderHeard is when the leader of the term was last heard from.
	leaderHeard time.Time
	// quietUntil is until when a member that has started withholds its vote: it may have acknowledged a heartbeat of
	// state.Leader right before its end. It is zero once that leader is known not to lead any more.
	quietUntil time.Time
	// goneTerm is the latest term whose leader is known not to lead any more.
	goneTerm uint64
	// startedAt is the time of the start.
	startedAt time.Time
	// electionDue is when a member that is not the leader starts an election.
	electionDue time.Time
	// heartbeatDue is when the leader begins a heartbeat round, or an empty folder says hello.
	heartbeatDue time.Time
	votes        map[string]bool
	contacts     map[string]contact

	// The fields below are used by the leader only.

	leaderSince time.Time
	// firstIndex is the index of the no-op entry that began the term.
	firstIndex uint64
	progress   map[string]*progress
	round      uint64
	// rounds holds when the rounds that are not confirmed yet began, the oldest first.
	rounds []roundStart
	// confirmedAt is when the newest round began that a majority has acknowledged; zero until then.
	confirmedAt time.Time
	// transferred is true once the leadership was offered to another voter, which may then be elected while others
	// still withhold their votes.
	transferred bool
	reads       []waitingRead
	// transferTo is the voter that gets the leadership; empty when none does.
	transferTo  string
	transferDue time.Time

	// partial is a snapshot that is being received.
	partial *Snapshot
	// stored is the state at the end of the last step.
	stored  State
	effects Effects
}

// NewCore returns a Core with what was stored: the zero values for an empty folder.
func NewCore(now time.Time, s Settings, state State, snapshot Snapshot, entries []Entry) *Core {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Name))
	s.Members = slices.Sorted(slices.Values(s.Members))
	c := &Core{
		settings: s, random: rand.New(rand.NewPCG(s.Seed, h.Sum64())),
		now: now, startedAt: now, state: state, stored: state, log: newLog(snapshot, entries),
		commit: snapshot.Index, released: snapshot.Index,
		role: RoleFollower, contacts: map[string]contact{}, heartbeatDue: now,
	}
	c.resetElection()
	switch {
	case c.blank():
	case state.Leader == s.Name:
		// The leadership ended with the former process, so there is nothing to withhold a vote for. If the whole group
		// has started anew, the others may vote for this member at once.
		c.electionDue = now
	default:
		// After a start no leader need be waited for longer than votes are withheld.
		c.quietUntil = now.Add(s.election() - s.heartbeat())
		c.electionDue = c.quietUntil.Add(c.turn())
	}
	return c
}

// ConfirmedAt returns a time at which this member was the leader for certain: no other member can be elected until an
// election timeout less a heartbeat after it. It is zero while the member does not lead or hands the leadership over.
func (c *Core) ConfirmedAt() time.Time {
	if c.role != RoleLeader || c.transferred {
		return time.Time{}
	}
	return c.confirmedAt
}

// Deadline is the time at which the next Tick is due.
func (c *Core) Deadline() time.Time {
	switch {
	case c.role == RoleLeader || c.blank():
		return c.heartbeatDue
	case !c.electable():
		return c.now.Add(c.settings.election())
	}
	return c.electionDue
}

// Step takes events in order and returns the effects of all of them.
func (c *Core) Step(now time.Time, events ...Event) Effects {
	if now.After(c.now) {
		c.now = now
	}
	for _, e := range events {
		c.handle(e)
	}
	c.tick()
	if c.role == RoleLeader {
		c.lead()
	}
	return c.finish()
}

func (c *Core) handle(e Event) {
	switch x := e.(type) {
	case Received:
		c.receive(x.Message)
	case Propose:
		c.propose(x.ID, Entry{Kind: EntryCommand, Data: x.Data})
	case Read:
		c.read(x.ID)
	case Change:
		c.change(x)
	case Transfer:
		c.transfer(x)
	case Compact:
		if x.Index <= c.released {
			c.log.compact(x.Index, x.Data, c.settings.Trailing)
		}
	}
}

// tick does what is due.
func (c *Core) tick() {
	switch {
	case c.blank():
		if !c.now.Before(c.heartbeatDue) {
			c.heartbeatDue = c.now.Add(c.settings.heartbeat())
			c.sayHello()
		}
	case c.role == RoleLeader:
		if !c.now.Before(c.heartbeatDue) {
			c.heartbeat()
		}
	case !c.now.Before(c.electionDue) && c.electable():
		c.campaign(RolePreCandidate, false)
	}
}

// lead does the leader's work at the end of a step.
func (c *Core) lead() {
	c.repair()
	c.advanceCommit()
	if c.readsNeedRound() {
		c.beginRound()
	}
	c.confirmReads()
	for _, n := range c.peers() {
		c.replicate(n, c.progress[n])
	}
	c.electTransferTarget()
}

// finish collects the effects of the step.
func (c *Core) finish() Effects {
	e := c.effects
	c.effects = Effects{}
	if c.state != c.stored {
		s := c.state
		e.State, c.stored = &s, s
	}
	if c.log.replaced {
		s := c.log.snapshot
		e.Snapshot = &s
	}
	e.First = c.log.first
	if c.log.dirty != 0 {
		e.From = c.log.dirty
		e.Entries = c.log.slice(c.log.dirty-1, c.log.last())
	}
	c.log.replaced, c.log.first, c.log.dirty = false, 0, 0
	if c.commit > c.released {
		e.Committed = c.log.slice(c.released, c.commit)
		c.released = c.commit
	}
	return e
}

// blank reports whether the folder belongs to no group yet.
func (c *Core) blank() bool { return c.log.snapshot.Index == 0 }

func (c *Core) membership() Membership { return c.log.membership() }

// electable reports whether this member is a voter under its own identity.
func (c *Core) electable() bool {
	m, ok := c.membership().Member(c.settings.Name)
	return ok && m.Voter && m.Identity == c.settings.Identity
}

// counted reports whether the message comes from the folder recorded under its sender's name.
func (c *Core) counted(m Message) bool { return c.membership().records(m.From, m.Identity) }

func (c *Core) send(m Message) {
	m.From, m.Identity, m.Group = c.settings.Name, c.settings.Identity, c.membership().Group
	m.Spare = !c.electable()
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	c.effects.Messages = append(c.effects.Messages, m)
}

func (c *Core) answer(a Answer) { c.effects.Answers = append(c.effects.Answers, a) }

// peers returns the names of the other members in order.
func (c *Core) peers() []string {
	var out []string
	for _, m := range c.membership().Members {
		if m.Name != c.settings.Name {
			out = append(out, m.Name)
		}
	}
	return out
}

// majorityValue returns the highest value that a majority of the voters has reached.
func (c *Core) majorityValue(own uint64, of func(p *progress) uint64) uint64 {
	var values []uint64
	for _, m := range c.membership().Members {
		switch p := c.progress[m.Name]; {
		case !m.Voter:
		case m.Name == c.settings.Name && m.Identity == c.settings.Identity:
			values = append(values, own)
		case p == nil:
			values = append(values, 0)
		default:
			values = append(values, of(p))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, func(a, b uint64) int { return cmp.Compare(b, a) })
	return values[len(values)/2]
}

// receive handles a message.
func (c *Core) receive(m Message) {
	if m.To != c.settings.Name || m.From == c.settings.Name || m.Identity == "" {
		return
	}
	c.meet(m)
	c.noteLeader(m)
	if own := c.membership().Group; own != "" && m.Group != "" && own != m.Group {
		return
	}
	switch m.Kind {
	case KindHello, KindHelloResponse:
		c.receiveHello(m)
		return
	case KindFound:
		c.receiveFound(m)
		return
	}
	response := m.Kind == KindAppendResponse || m.Kind == KindSnapshotResponse
	if (m.Group == "" && !response) || !c.acceptTerm(m) {
		return
	}
	switch m.Kind {
	case KindPreVote:
		c.receivePreVote(m)
	case KindVote:
		c.receiveVote(m)
	case KindPreVoteResponse, KindVoteResponse:
		c.receiveVoteResponse(m)
	case KindAppend:
		c.receiveAppend(m)
	case KindAppendResponse:
		c.receiveAppendResponse(m)
	case KindSnapshot:
		c.receiveSnapshot(m)
	case KindSnapshotResponse:
		c.receiveSnapshotResponse(m)
	case KindElectNow:
		if c.electable() && m.From == c.leader {
			c.campaign(RoleCandidate, true)
		}
	}
}

// acceptTerm compares the message's term with the own one and reports whether the message is to be handled.
func (c *Core) acceptTerm(m Message) bool {
	switch {
	case m.Term == c.state.Term:
		return true
	case m.Term < c.state.Term:
		return c.refuseOldTerm(m)
	}
	switch m.Kind {
	case KindPreVote:
		return true
	case KindPreVoteResponse:
		if m.Reject && c.counted(m) {
			c.follow(m.Term, "")
		}
		return !m.Reject
	case KindVote:
		if c.blank() || (c.leaderAlive() && !m.Transfer) {
			return false
		}
		c.follow(m.Term, "")
	case KindAppend, KindSnapshot:
		c.follow(m.Term, m.From)
	default:
		if !c.counted(m) {
			return false
		}
		c.follow(m.Term, "")
	}
	return true
}

// refuseOldTerm tells a leader or a candidate of an older term which term it must follow.
func (c *Core) refuseOldTerm(m Message) bool {
	switch m.Kind {
	case KindPreVote:
		c.send(Message{Kind: KindPreVoteResponse, To: m.From, Reject: true})
	case KindAppend, KindSnapshot:
		c.send(Message{Kind: KindAppendResponse, To: m.From, Reject: true, Index: m.Index, Hint: c.commit})
	}
	return false
}

// follow makes the member a follower in the term.
func (c *Core) follow(term uint64, leader string) {
	if term < c.state.Term {
		panic(fmt.Sprintf("quorum: term falls from %d to %d", c.state.Term, term))
	}
	if term > c.state.Term {
		c.state = State{Term: term}
	}
	c.role, c.leader = RoleFollower, leader
	if leader != "" {
		c.leaderHeard, c.state.Leader = c.now, leader
	}
	c.votes, c.progress, c.transferTo = nil, nil, ""
	for _, r := range c.reads {
		c.answer(Answer{ID: r.id, Err: &NotLeaderError{Leader: leader}})
	}
	c.reads = nil
	c.resetElection()
}

func (c *Core) notLeader() error {
	if c.role == RoleLeader {
		return &NotLeaderError{Leader: c.transferTo}
	}
	return &NotLeaderError{Leader: c.leader}
}
