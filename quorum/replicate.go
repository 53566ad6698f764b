package quorum

import (
	"slices"
	"time"
)

const (
	// maxInflight bounds the appends and snapshot parts that wait for an acknowledgement of one member.
	maxInflight = 4
	// maxBatchEntries and maxBatchBytes bound one append; the first entry is sent whatever its size.
	maxBatchEntries = 512
	maxBatchBytes   = 256 << 10
	// snapshotPartBytes bounds the data of one snapshot message.
	snapshotPartBytes = 256 << 10
	// caughtUpEntries is how far behind the leader's log a learner may be when it is promoted.
	caughtUpEntries = 64
)

// pace says how the leader sends entries to a member.
type pace uint8

const (
	// paceProbe sends one append at a time until the place where the logs match is known.
	paceProbe pace = iota
	// paceStream sends up to maxInflight appends ahead.
	paceStream
	// paceSnapshot sends a snapshot because the entries needed are gone.
	paceSnapshot
)

// progress is what the leader knows of another member's log.
type progress struct {
	// identity is the recorded one; a change of it starts the progress anew.
	identity string
	// match is the highest index known to be stored by the member; it is below next.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	pace pace
	// inflight are the last indexes of appends that are not acknowledged, ascending.
	inflight []uint64
	// waiting is true while a probe or a snapshot part is not answered; a heartbeat resets it.
	waiting bool
	// commit is the highest commit index that was sent.
	commit uint64
	// heard is when the member last answered under its recorded identity.
	heard time.Time
	// round is the latest heartbeat round that was acknowledged.
	round uint64
	// sending is the snapshot being sent and offset the next place in its data.
	sending *Snapshot
	offset  uint64
	// electSent is true when the member was told to start an election in this heartbeat round.
	electSent bool
}

// syncProgress makes progress hold exactly the other members, by identity.
func (c *Core) syncProgress() {
	if c.role != RoleLeader {
		return
	}
	m := c.membership()
	for n, p := range c.progress {
		if !m.hasIdentity(n, p.identity) {
			delete(c.progress, n)
		}
	}
	for _, x := range m.Members {
		if x.Name != c.settings.Name && c.progress[x.Name] == nil {
			c.progress[x.Name] = &progress{identity: x.Identity, next: c.log.last() + 1, heard: c.now}
		}
	}
}

// propose appends an entry for a request.
func (c *Core) propose(id uint64, e Entry) {
	if c.role != RoleLeader || c.transferTarget != "" {
		c.answer(Answer{ID: id, Err: c.notLeaderError()})
		return
	}
	e.Index, e.Term = c.log.last()+1, c.state.Term
	c.log.append(e)
	if e.Kind == EntryMembership {
		c.syncProgress()
	}
	c.answer(Answer{ID: id, Index: e.Index, Term: e.Term})
}

// advanceCommit commits what a majority has stored. Only entries of the present
// term are counted; older ones are committed with them.
func (c *Core) advanceCommit() {
	n := c.majorityValue(c.log.last(), func(p *progress) uint64 { return p.match })
	if t, ok := c.log.term(n); ok && n > c.commit && t == c.state.Term {
		c.commit = n
	}
}

// replicate sends what the member lacks as far as the flow control allows.
func (c *Core) replicate(name string, p *progress) {
	for c.maySend(p) {
		if p.next-1 < c.log.base() {
			c.beginSnapshot(p)
		}
		if p.pace == paceSnapshot {
			c.sendSnapshotPart(name, p)
			return
		}
		c.sendEntries(name, p)
	}
	if p.pace == paceStream && p.commit < min(c.commit, p.match) && len(p.inflight) == 0 {
		c.sendHeartbeat(name, p)
	}
}

func (c *Core) maySend(p *progress) bool {
	switch p.pace {
	case paceStream:
		return len(p.inflight) < maxInflight && p.next <= c.log.last()
	case paceProbe:
		return !p.waiting && p.next <= c.log.last()
	}
	return !p.waiting
}

func (c *Core) sendEntries(name string, p *progress) {
	prev := p.next - 1
	to, size := prev, 0
	for to < c.log.last() && to-prev < maxBatchEntries {
		size += len(c.log.entries[to+1-c.log.base()].Data)
		if to > prev && size > maxBatchBytes {
			break
		}
		to++
	}
	term, _ := c.log.term(prev)
	c.send(Message{
		Kind: KindAppend, To: name, Index: prev, LogTerm: term, Commit: c.commit, Round: c.round,
		Entries: slices.Clone(c.log.slice(prev, to)),
	})
	p.commit = min(c.commit, to)
	if p.pace == paceProbe {
		p.waiting = true
		return
	}
	p.next = to + 1
	p.inflight = append(p.inflight, to)
}

// sendHeartbeat sends an append without entries. It names the last entry sent,
// so that the answer tells whether an earlier append was lost. When that entry is
// compacted already, nothing else would tell it, and the snapshot is sent.
func (c *Core) sendHeartbeat(name string, p *progress) {
	m := Message{Kind: KindAppend, To: name, Round: c.round}
	if p.pace != paceSnapshot && p.next-1 < c.log.base() {
		c.beginSnapshot(p)
	}
	if p.pace != paceSnapshot {
		t, _ := c.log.term(p.next - 1)
		m.Index, m.LogTerm, m.Commit = p.next-1, t, c.commit
		p.commit = min(c.commit, m.Index)
	}
	c.send(m)
}

// beginSnapshot turns to the newest snapshot. The transfer keeps it when a newer one is made.
func (c *Core) beginSnapshot(p *progress) {
	s := c.log.snapshot
	p.pace, p.sending, p.offset, p.inflight, p.waiting = paceSnapshot, &s, 0, nil, false
}

func (c *Core) sendSnapshotPart(name string, p *progress) {
	s := p.sending
	end := min(p.offset+snapshotPartBytes, uint64(len(s.Data)))
	c.send(Message{
		Kind: KindSnapshot, To: name, PeerIdentity: p.identity, Index: s.Index, LogTerm: s.Term,
		Membership: &s.Membership, Offset: p.offset, Data: s.Data[p.offset:end], Last: end == uint64(len(s.Data)),
	})
	p.waiting = true
}

// receiveAppend takes entries from the leader of the term.
func (c *Core) receiveAppend(m Message) {
	c.becomeFollower(m.Term, m.From)
	r := Message{Kind: KindAppendResponse, To: m.From, Round: m.Round, Index: m.Index}
	if c.uninitialized() || !c.matches(m) {
		r.Reject, r.Hint = true, c.hint(m.Index)
		c.send(r)
		return
	}
	c.store(m.Entries)
	r.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, r.Index))
	c.send(r)
}

// matches reports whether the log has the entry before those of the append. What
// is committed is the same on all members.
func (c *Core) matches(m Message) bool {
	if m.Index <= c.commit {
		return true
	}
	t, ok := c.log.term(m.Index)
	return ok && t == m.LogTerm
}

// hint returns the highest index below the refused one that can match: it skips
// the entries of the term that conflicts.
func (c *Core) hint(refused uint64) uint64 {
	if refused > c.log.last() {
		return c.log.last()
	}
	t, _ := c.log.term(refused)
	for refused > c.commit {
		refused--
		if u, ok := c.log.term(refused); !ok || u != t {
			break
		}
	}
	return refused
}

// store appends the entries that the log lacks and removes those that conflict.
func (c *Core) store(entries []Entry) {
	for i, e := range entries {
		if e.Index <= c.commit {
			continue
		}
		if t, ok := c.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= c.log.last() {
			c.log.truncate(e.Index)
		}
		for _, x := range entries[i:] {
			c.log.append(x)
		}
		return
	}
}

// receiveAppendResponse takes a member's answer to an append or a snapshot.
func (c *Core) receiveAppendResponse(m Message) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil || !c.fromRecordedIdentity(m) {
		return
	}
	p.heard = c.now
	p.round = max(p.round, m.Round)
	if m.Reject {
		c.refused(p, m)
		return
	}
	p.match = max(p.match, m.Index)
	switch p.pace {
	case paceSnapshot:
		if p.match >= p.sending.Index {
			p.pace, p.sending, p.next, p.waiting = paceProbe, nil, p.match+1, false
		}
	case paceProbe:
		if m.Index >= p.next-1 {
			p.pace, p.waiting, p.inflight = paceStream, false, nil
		}
	case paceStream:
		p.inflight = slices.DeleteFunc(p.inflight, func(i uint64) bool { return i <= m.Index })
	}
	p.next = max(p.next, p.match+1)
}

// refused goes back to the place where the member's log may match.
func (c *Core) refused(p *progress, m Message) {
	switch {
	case p.pace == paceSnapshot:
		return
	case p.pace == paceStream && m.Index <= p.match:
		return
	case p.pace == paceProbe && m.Index != p.next-1:
		return
	}
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
	p.pace, p.inflight, p.waiting = paceProbe, nil, false
}

// receiveSnapshot collects the parts of a snapshot and installs it when it is whole.
func (c *Core) receiveSnapshot(m Message) {
	if m.PeerIdentity != c.settings.Identity || m.Membership == nil {
		return
	}
	c.becomeFollower(m.Term, m.From)
	if m.Index <= c.commit {
		c.partialSnapshot = nil
		c.send(Message{Kind: KindAppendResponse, To: m.From, Index: c.commit})
		return
	}
	p := c.partialSnapshot
	if p == nil || p.Index != m.Index || p.Term != m.LogTerm {
		p = &Snapshot{Index: m.Index, Term: m.LogTerm, Membership: *m.Membership}
		c.partialSnapshot = p
	}
	if m.Offset == uint64(len(p.Data)) {
		p.Data = append(p.Data, m.Data...)
		if m.Last {
			c.install(*p)
			c.send(Message{Kind: KindAppendResponse, To: m.From, Index: m.Index})
			return
		}
	}
	c.send(Message{Kind: KindSnapshotResponse, To: m.From, Index: m.Index, Offset: uint64(len(p.Data))})
}

// install makes a received snapshot the beginning of the log.
func (c *Core) install(s Snapshot) {
	c.partialSnapshot = nil
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		c.commit = s.Index
		return
	}
	c.log.install(s)
	c.commit, c.delivered = s.Index, s.Index
	c.effects.Restore = &s
}

// receiveSnapshotResponse sends the next part of a snapshot.
func (c *Core) receiveSnapshotResponse(m Message) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil || !c.fromRecordedIdentity(m) {
		return
	}
	p.heard = c.now
	if p.pace == paceSnapshot && p.sending.Index == m.Index && m.Offset <= uint64(len(p.sending.Data)) {
		p.offset, p.waiting = m.Offset, false
	}
}
