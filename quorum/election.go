package quorum

import "time"

const (
	// restartCampaignsPerHeartbeat is how many times per heartbeat a restarted leader requests votes.
	restartCampaignsPerHeartbeat = 4
	// campaignStaggerPercent is the time between the campaigns of two voters, in percent of a heartbeat: enough for a
	// round trip between two regions.
	campaignStaggerPercent = 75
)

// maxUnconfirmedRounds bounds the rounds whose start times are kept; confirming an older round would be of no use.
const maxUnconfirmedRounds = 64

// resetElectionTimer sets a random election timeout between one and two times the least one.
func (c *Core) resetElectionTimer() {
	d := c.settings.minElectionTimeout()
	c.electionDue = c.now.Add(d + time.Duration(c.random.Int64N(int64(d))))
}

// withholdsVotes reports whether this member grants no votes because it leads, has
// restarted recently or has recently heard from the leader. The period is one
// heartbeat shorter than the least election timeout, so that the first follower
// that times out is not rejected by one that got the same last heartbeat later.
func (c *Core) withholdsVotes() bool {
	if c.role == RoleLeader || c.now.Before(c.withholdVotesUntil) {
		return true
	}
	return c.leader != "" && c.now.Before(c.leaderHeardAt.Add(c.settings.minElectionTimeout()-c.settings.heartbeatInterval()))
}

// campaign requests votes; a pre-candidate does so without incrementing its term.
func (c *Core) campaign(role Role, transfer bool) {
	term, kind := c.state.Term+1, KindPreVote
	c.role, c.leader, c.votes = role, "", map[string]bool{c.settings.Name: true}
	if role == RoleCandidate {
		kind = KindVote
		c.state = State{Term: term, Vote: c.settings.Name}
	}
	// A rejected or split election is repeated after one to three heartbeats instead of
	// a whole election timeout, which keeps the time without a leader below 1 s.
	h := c.settings.heartbeatInterval()
	delay := h + time.Duration(c.random.Int64N(2*int64(h)))
	if c.ledBeforeRestart() {
		delay = h / restartCampaignsPerHeartbeat
	}
	c.electionDue = c.now.Add(delay)
	for _, m := range c.membership().Members {
		if m.Voter && m.Name != c.settings.Name {
			c.send(Message{
				Kind: kind, To: m.Name, PeerIdentity: m.Identity, Term: term,
				Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Transfer: transfer,
				LeaderGone: kind == KindPreVote && c.leaderGoneTerm >= c.state.Term,
			})
		}
	}
	c.countVotes()
}

// ledBeforeRestart reports whether this member led before it restarted, less than an election timeout ago. Others that
// have restarted too may vote for it at once, so it campaigns often, because they may not be running yet.
func (c *Core) ledBeforeRestart() bool {
	return c.state.Leader == c.settings.Name && c.now.Before(c.startedAt.Add(c.settings.minElectionTimeout()))
}

// noteLeaderGone notes that the leader whose heartbeats this member may have acknowledged has lost the leadership. Any of
// three messages proves this: that leader requests votes for a later term; an empty folder of another identity uses its
// name; or a member that knows of the loss reports it for the same term.
func (c *Core) noteLeaderGone(m Message) {
	if c.role == RoleLeader || c.state.Leader == "" || c.leaderGoneTerm >= c.state.Term {
		return
	}
	isPreVote := m.Kind == KindPreVote && c.fromRecordedIdentity(m)
	recorded, known := c.membership().Member(m.From)
	switch {
	case isPreVote && m.From == c.state.Leader && m.Term > c.state.Term:
	case isPreVote && m.LeaderGone && m.Term == c.state.Term+1:
	case m.From == c.state.Leader && known && m.Kind == KindHello && m.Group == "" && m.Identity != recorded.Identity:
	default:
		return
	}
	c.leaderGoneTerm, c.withholdVotesUntil = c.state.Term, time.Time{}
	if c.leader == c.state.Leader {
		c.leader = ""
	}
	if due := c.now.Add(c.campaignDelay()); due.Before(c.electionDue) {
		c.electionDue = due
	}
}

// campaignDelay returns how long this member waits before it campaigns when all voters start to wait at the same time. The
// delay differs for each voter, and a pre-vote for another candidate postpones the campaign.
func (c *Core) campaignDelay() time.Duration {
	rank := 0
	for _, m := range c.membership().Members {
		if m.Voter && m.Name < c.settings.Name && m.Name != c.state.Leader {
			rank++
		}
	}
	return time.Duration(rank) * c.settings.heartbeatInterval() * campaignStaggerPercent / 100
}

// upToDate reports whether the candidate's log is at least as up to date as this one.
func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

// isAddressedVoter reports whether the folder belongs to a group and the candidate sent its request to this identity.
func (c *Core) isAddressedVoter(m Message) bool {
	return !c.uninitialized() && m.PeerIdentity == c.settings.Identity
}

// hasPriorityOver reports whether this member is a pre-candidate with the same log
// and its name sorts first. Of two members that campaign at the same time only one
// becomes a candidate, so that the votes do not split.
func (c *Core) hasPriorityOver(m Message) bool {
	return c.role == RolePreCandidate && c.settings.Name < m.From &&
		m.Index == c.log.lastIndex() && m.LogTerm == c.log.lastTerm()
}

func (c *Core) receivePreVote(m Message) {
	if !c.isAddressedVoter(m) {
		return
	}
	if c.withholdsVotes() || m.Term <= c.state.Term || !c.upToDate(m) || c.hasPriorityOver(m) {
		c.send(Message{Kind: KindPreVoteResponse, To: m.From, Reject: true})
		return
	}
	if due := c.now.Add(c.settings.heartbeatInterval()); c.role == RoleFollower && c.electionDue.Before(due) {
		c.electionDue = due // the candidate is about to be elected
	}
	c.send(Message{Kind: KindPreVoteResponse, To: m.From, Term: m.Term})
}

func (c *Core) receiveVote(m Message) {
	if !c.isAddressedVoter(m) {
		return
	}
	if (c.state.Vote != "" && c.state.Vote != m.From) || c.role == RoleLeader || !c.upToDate(m) {
		c.send(Message{Kind: KindVoteResponse, To: m.From, Reject: true})
		return
	}
	c.state.Vote = m.From
	c.resetElectionTimer()
	c.send(Message{Kind: KindVoteResponse, To: m.From})
}

func (c *Core) receiveVoteResponse(m Message) {
	expected := c.role == RoleCandidate && m.Kind == KindVoteResponse && m.Term == c.state.Term ||
		c.role == RolePreCandidate && m.Kind == KindPreVoteResponse && m.Term == c.state.Term+1
	if expected && !m.Reject && c.fromRecordedIdentity(m) {
		c.votes[m.From] = true
		c.countVotes()
	}
}

func (c *Core) countVotes() {
	n := 0
	for _, m := range c.membership().Members {
		if m.Voter && c.votes[m.Name] {
			n++
		}
	}
	if n <= c.membership().Voters()/2 {
		return
	}
	if c.role == RolePreCandidate {
		c.campaign(RoleCandidate, false)
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.leaderSince = RoleLeader, c.settings.Name, c.now
	c.state.Leader = c.settings.Name
	c.votes, c.pendingReads, c.transferTarget = nil, nil, ""
	c.unconfirmedRounds, c.confirmedAt, c.transferStarted = nil, time.Time{}, false
	c.progress = map[string]*progress{}
	// Progress is created before the term's first entry, so that the first append carries the entry.
	c.syncProgress()
	c.log.append(Entry{Index: c.log.lastIndex() + 1, Term: c.state.Term, Kind: EntryNoOp})
	c.termFirstIndex = c.log.lastIndex()
	c.heartbeatOrStepDown()
}

// heartbeatOrStepDown begins a round, or steps down if no majority has answered for an election timeout.
func (c *Core) heartbeatOrStepDown() {
	c.heartbeatDue = c.now.Add(c.settings.heartbeatInterval())
	oldest := c.now.Add(-c.settings.minElectionTimeout())
	majorityHeard := c.majorityValue(1, func(p *progress) uint64 {
		if p.heardAt.Before(oldest) {
			return 0
		}
		return 1
	})
	if majorityHeard == 0 {
		c.becomeFollower(c.state.Term, "")
		return
	}
	if c.transferTarget != "" && !c.now.Before(c.transferDeadline) {
		c.transferTarget = ""
	}
	for _, p := range c.progress {
		p.awaitingResponse, p.electNowSent = false, false
	}
	c.beginRound()
}

// beginRound sends heartbeats whose acknowledgements confirm the reads that have arrived.
func (c *Core) beginRound() {
	c.round++
	if len(c.unconfirmedRounds) == maxUnconfirmedRounds {
		c.unconfirmedRounds = c.unconfirmedRounds[1:]
	}
	c.unconfirmedRounds = append(c.unconfirmedRounds, roundStart{round: c.round, at: c.now})
	for i := range c.pendingReads {
		if c.pendingReads[i].round == 0 {
			c.pendingReads[i].round = c.round
		}
	}
	for _, n := range c.peers() {
		c.sendHeartbeat(n, c.progress[n])
	}
}

// addRead queues a read until the leadership is confirmed.
func (c *Core) addRead(id uint64) {
	if c.role != RoleLeader {
		c.answer(Answer{ID: id, Err: c.notLeaderError()})
		return
	}
	c.pendingReads = append(c.pendingReads, pendingRead{id: id, index: max(c.commit, c.termFirstIndex)})
}

// readsNeedRound reports whether reads need a new round and none is under way for
// earlier reads. Reads that arrive during a round share the next one.
func (c *Core) readsNeedRound() bool {
	if len(c.pendingReads) == 0 || c.pendingReads[len(c.pendingReads)-1].round != 0 {
		return false
	}
	first := c.pendingReads[0].round
	return first == 0 || c.confirmedRound() >= first
}

// confirmedRound returns the latest round that a majority has acknowledged.
func (c *Core) confirmedRound() uint64 {
	return c.majorityValue(c.round, func(p *progress) uint64 { return p.acknowledgedRound })
}

// confirmReads confirms the reads whose round a majority has acknowledged.
func (c *Core) confirmReads() {
	round := c.confirmedRound()
	for len(c.unconfirmedRounds) > 0 && c.unconfirmedRounds[0].round <= round {
		c.confirmedAt = c.unconfirmedRounds[0].at
		c.unconfirmedRounds = c.unconfirmedRounds[1:]
	}
	n := 0
	for n < len(c.pendingReads) {
		r := c.pendingReads[n]
		if r.round == 0 || r.round > round || r.index > c.commit {
			break
		}
		c.effects.ConfirmedReads = append(c.effects.ConfirmedReads, ConfirmedRead{ID: r.id, Index: r.index})
		n++
	}
	c.pendingReads = c.pendingReads[n:]
}

// startTransfer begins to transfer the leadership to the voter with the most complete log.
func (c *Core) startTransfer(t Transfer) {
	if c.role != RoleLeader {
		c.answer(Answer{ID: t.ID, Err: c.notLeaderError()})
		return
	}
	best := ""
	for _, m := range c.membership().Members {
		p := c.progress[m.Name]
		if !m.Voter || p == nil || p.heardAt.Before(c.now.Add(-c.settings.minElectionTimeout())) {
			continue
		}
		if best == "" || p.match > c.progress[best].match {
			best = m.Name
		}
	}
	if best == "" {
		c.answer(Answer{ID: t.ID, Err: &ChangeError{Kind: "transfer", Reason: "no other voter was heard from"}})
		return
	}
	c.transferStarted = true
	c.transferTarget, c.transferDeadline = best, c.now.Add(c.settings.minElectionTimeout())
	c.answer(Answer{ID: t.ID})
}

// sendElectNow tells the transfer target to start an election once it has the whole log.
func (c *Core) sendElectNow() {
	p := c.progress[c.transferTarget]
	if p == nil || p.match < c.log.lastIndex() || p.electNowSent {
		return
	}
	p.electNowSent = true
	c.send(Message{Kind: KindElectNow, To: c.transferTarget})
}
