package quorum

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Role is a member's role in the current term.
type Role string

// The roles of a member.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// peerInfo is what the last messages from the process that uses a name said.
type peerInfo struct {
	identity string
	group    string
	// nonVoter is true when the process's own log does not record it as a voter.
	nonVoter bool
	// knowsIdentity is true when the process knew this member's current identity.
	knowsIdentity  bool
	initialMembers []string
	heardAt        time.Time
}

// roundStart records when a heartbeat round began.
type roundStart struct {
	round uint64
	at    time.Time
}

// pendingRead is a read for which leadership is not confirmed yet.
type pendingRead struct {
	id uint64
	// index is the commit index at the arrival of the read, or the index of the
	// term's first entry if that entry was not committed yet.
	index uint64
	// round is the first heartbeat round that began after the arrival; 0 until one begins.
	round uint64
}

// Core is the Raft algorithm of one member. It is deterministic: the same
// settings, stored state and sequence of steps give the same effects. It is not
// safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	// now is the time of the current step; it never decreases.
	now   time.Time
	state State
	log   *log
	// commit is the highest index known to be committed; it never decreases.
	commit uint64
	// delivered is the highest index returned in Effects.Committed or covered by a snapshot.
	delivered uint64
	role      Role
	leader    string
	// leaderHeardAt is when the last message from the leader of the term arrived.
	leaderHeardAt time.Time
	// withholdVotesUntil is the time until which a restarted member grants no votes: it may have acknowledged a heartbeat
	// of state.Leader right before it stopped. It is zero once that leader is known to have lost the leadership.
	withholdVotesUntil time.Time
	// leaderGoneTerm is the latest term whose leader is known to have lost the leadership.
	leaderGoneTerm uint64
	startedAt      time.Time
	// electionDue is when a member that does not lead starts an election.
	electionDue time.Time
	// heartbeatDue is when the leader begins a heartbeat round, or a member with an empty folder sends hello messages.
	heartbeatDue time.Time
	votes        map[string]bool
	seenPeers    map[string]peerInfo

	// The fields below are used only by the leader.

	leaderSince time.Time
	// termFirstIndex is the index of the no-op entry that began the term.
	termFirstIndex uint64
	progress       map[string]*progress
	round          uint64
	// unconfirmedRounds holds the rounds that no majority has acknowledged yet, oldest first.
	unconfirmedRounds []roundStart
	// confirmedAt is when the newest round acknowledged by a majority began; zero before the first such round.
	confirmedAt time.Time
	// transferStarted is true once this leader has started to transfer the leadership: the target may be elected while
	// other members still withhold their votes.
	transferStarted bool
	pendingReads    []pendingRead
	// transferTarget is the voter that the leadership is being transferred to; empty when no transfer is under way.
	transferTarget   string
	transferDeadline time.Time

	// partialSnapshot is the snapshot that is being received; nil when there is none.
	partialSnapshot *partialSnapshot
	// storedState is the state at the end of the last step.
	storedState State
	effects     Effects
}

// NewCore returns a Core with the stored state, snapshot and entries, which are zero values for an empty folder.
func NewCore(now time.Time, s Settings, state State, snapshot Snapshot, entries []Entry) *Core {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Name))
	s.Members = slices.Sorted(slices.Values(s.Members))
	c := &Core{
		settings: s, random: rand.New(rand.NewPCG(s.Seed, h.Sum64())),
		now: now, startedAt: now, state: state, storedState: state, log: newLog(snapshot, entries),
		commit: snapshot.Index, delivered: snapshot.Index,
		role: RoleFollower, seenPeers: map[string]peerInfo{}, heartbeatDue: now,
	}
	c.resetElectionTimer()
	switch {
	case c.uninitialized():
	case state.Leader == s.Name:
		// The previous process led and its leadership ended with it, so this member need not withhold votes. If the
		// whole group has restarted, the others may vote for this member at once.
		c.electionDue = now
	default:
		// After a restart there is no reason to wait for a leader longer than votes are withheld.
		c.withholdVotesUntil = now.Add(s.minElectionTimeout() - s.heartbeatInterval())
		c.electionDue = c.withholdVotesUntil.Add(c.campaignDelay())
	}
	return c
}

// ConfirmedAt returns the latest time at which this member is known to have been the leader: no other member can be
// elected until the least election timeout less a heartbeat has passed since then. It is zero while the member does not
// lead, and once it has started to transfer the leadership.
func (c *Core) ConfirmedAt() time.Time {
	if c.role != RoleLeader || c.transferStarted {
		return time.Time{}
	}
	return c.confirmedAt
}

// Deadline returns the time at which the next Tick is due.
func (c *Core) Deadline() time.Time {
	switch {
	case c.role == RoleLeader || c.uninitialized():
		return c.heartbeatDue
	case !c.isVoter():
		return c.now.Add(c.settings.minElectionTimeout())
	}
	return c.electionDue
}

// Step handles the events in order and returns the effects of all of them.
func (c *Core) Step(now time.Time, events ...Event) Effects {
	if now.After(c.now) {
		c.now = now
	}
	for _, e := range events {
		c.handleEvent(e)
	}
	c.tick()
	if c.role == RoleLeader {
		c.stepLeader()
	}
	return c.takeEffects()
}

func (c *Core) handleEvent(e Event) {
	switch x := e.(type) {
	case Received:
		c.receive(x.Message)
	case Propose:
		c.propose(x.ID, Entry{Kind: EntryCommand, Data: x.Data})
	case Read:
		c.addRead(x.ID)
	case Change:
		c.changeMembership(x)
	case Transfer:
		c.startTransfer(x)
	case Compact:
		if x.Index <= c.delivered {
			c.log.compact(x.Index, x.Data, c.trailingEntries(x.Index))
		}
	}
}

// tick runs the timers that are due.
func (c *Core) tick() {
	switch {
	case c.uninitialized():
		if !c.now.Before(c.heartbeatDue) {
			c.heartbeatDue = c.now.Add(c.settings.heartbeatInterval())
			c.sendHellos()
		}
	case c.role == RoleLeader:
		if !c.now.Before(c.heartbeatDue) {
			c.heartbeatOrStepDown()
		}
	case !c.now.Before(c.electionDue) && c.isVoter():
		c.campaign(RolePreCandidate, false)
	}
}

// stepLeader replicates, commits and confirms reads at the end of a leader's step.
func (c *Core) stepLeader() {
	c.repairMembership()
	c.advanceCommit()
	if c.readsNeedRound() {
		c.beginRound()
	}
	c.confirmReads()
	for _, n := range c.peers() {
		c.replicate(n, c.progress[n])
	}
	c.sendElectNow()
}

// takeEffects returns the effects of the step and resets them.
func (c *Core) takeEffects() Effects {
	e := c.effects
	c.effects = Effects{}
	if c.state != c.storedState {
		s := c.state
		e.State, c.storedState = &s, s
	}
	if c.log.snapshotChanged {
		s := c.log.snapshot
		e.Snapshot = &s
	}
	e.FirstIndex = c.log.compactedFirst
	if c.log.dirtyFrom != 0 {
		e.ReplaceFrom = c.log.dirtyFrom
		e.Entries = c.log.slice(c.log.dirtyFrom-1, c.log.lastIndex())
	}
	c.log.snapshotChanged, c.log.compactedFirst, c.log.dirtyFrom = false, 0, 0
	if c.commit > c.delivered {
		e.Committed = c.log.slice(c.delivered, c.commit)
		c.delivered = c.commit
	}
	return e
}

// uninitialized reports whether the folder does not belong to a group yet.
func (c *Core) uninitialized() bool { return c.log.snapshot.Index == 0 }

func (c *Core) membership() Membership { return c.log.membership() }

// isVoter reports whether this member is a voter under its own identity.
func (c *Core) isVoter() bool {
	m, ok := c.membership().Member(c.settings.Name)
	return ok && m.Voter && m.Identity == c.settings.Identity
}

// fromRecordedIdentity reports whether the message has the identity recorded for its sender.
func (c *Core) fromRecordedIdentity(m Message) bool {
	return c.membership().hasIdentity(m.From, m.Identity)
}

func (c *Core) send(m Message) {
	m.From, m.Identity, m.Group = c.settings.Name, c.settings.Identity, c.membership().Group
	m.NonVoter = !c.isVoter()
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
func (c *Core) majorityValue(own uint64, peerValue func(p *progress) uint64) uint64 {
	var values []uint64
	for _, m := range c.membership().Members {
		switch p := c.progress[m.Name]; {
		case !m.Voter:
		case m.Name == c.settings.Name && m.Identity == c.settings.Identity:
			values = append(values, own)
		case p == nil:
			values = append(values, 0)
		default:
			values = append(values, peerValue(p))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, func(a, b uint64) int { return cmp.Compare(b, a) })
	return values[len(values)/2]
}

// receive handles a message from another member.
func (c *Core) receive(m Message) {
	if m.To != c.settings.Name || m.From == c.settings.Name || m.Identity == "" {
		return
	}
	c.recordPeer(m)
	c.noteLeaderGone(m)
	if own := c.membership().Group; own != "" && m.Group != "" && own != m.Group {
		return
	}
	switch m.Kind {
	case KindHello, KindHelloResponse:
		c.receiveHello(m)
		return
	case KindFound:
		c.receiveFoundingRecord(m)
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
		if c.isVoter() && m.From == c.leader {
			c.campaign(RoleCandidate, true)
		}
	}
}

// acceptTerm compares the message's term with the current one and reports whether to handle the message.
func (c *Core) acceptTerm(m Message) bool {
	switch {
	case m.Term == c.state.Term:
		return true
	case m.Term < c.state.Term:
		return c.rejectOldTerm(m)
	}
	switch m.Kind {
	case KindPreVote:
		return true
	case KindPreVoteResponse:
		if m.Reject && c.fromRecordedIdentity(m) {
			c.becomeFollower(m.Term, "")
		}
		return !m.Reject
	case KindVote:
		if c.uninitialized() || (c.withholdsVotes() && !m.Transfer) {
			return false
		}
		c.becomeFollower(m.Term, "")
	case KindAppend, KindSnapshot:
		c.becomeFollower(m.Term, m.From)
	default:
		if !c.fromRecordedIdentity(m) {
			return false
		}
		c.becomeFollower(m.Term, "")
	}
	return true
}

// rejectOldTerm tells a leader or candidate of an older term which term is current.
func (c *Core) rejectOldTerm(m Message) bool {
	switch m.Kind {
	case KindPreVote:
		c.send(Message{Kind: KindPreVoteResponse, To: m.From, Reject: true})
	case KindAppend, KindSnapshot:
		c.send(Message{Kind: KindAppendResponse, To: m.From, Reject: true, Index: m.Index, Hint: c.commit})
	}
	return false
}

// becomeFollower makes the member a follower in the term, of leader unless it is empty.
func (c *Core) becomeFollower(term uint64, leader string) {
	if term < c.state.Term {
		panic(fmt.Sprintf("quorum: term would decrease from %d to %d", c.state.Term, term))
	}
	if term > c.state.Term {
		c.state = State{Term: term}
	}
	c.role, c.leader = RoleFollower, leader
	if leader != "" {
		c.leaderHeardAt, c.state.Leader = c.now, leader
	}
	c.votes, c.progress, c.transferTarget = nil, nil, ""
	for _, r := range c.pendingReads {
		c.answer(Answer{ID: r.id, Err: &NotLeaderError{Leader: leader}})
	}
	c.pendingReads = nil
	c.resetElectionTimer()
}

func (c *Core) notLeaderError() error {
	if c.role == RoleLeader {
		return &NotLeaderError{Leader: c.transferTarget}
	}
	return &NotLeaderError{Leader: c.leader}
}
