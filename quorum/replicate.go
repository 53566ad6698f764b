package quorum

import (
	"slices"
	"time"
)

const (
	// maxInflight bounds the unacknowledged appends to one member.
	maxInflight = 4
	// maxBatchEntries and maxBatchBytes bound one append; the first entry is sent whatever its size.
	maxBatchEntries = 512
	maxBatchBytes   = 256 << 10
	// snapshotChunkBytes bounds the data of one snapshot message.
	snapshotChunkBytes = 256 << 10
	// maxRetainedEntries bounds the entries before a snapshot that are kept for a member that is catching up. They are held
	// in memory.
	maxRetainedEntries = 20_000
	// caughtUpEntries is how far behind the leader's log a learner may be when it is promoted.
	caughtUpEntries = 64
)

// replicationMode says how the leader sends entries to a member.
type replicationMode uint8

const (
	// modeProbe sends one append at a time until the index at which the logs match is known.
	modeProbe replicationMode = iota
	// modeStream sends up to maxInflight appends without waiting for responses.
	modeStream
	// modeSnapshot sends a snapshot because the entries that the member needs were compacted.
	modeSnapshot
)

// progress is what the leader knows about another member's log.
type progress struct {
	// identity is the recorded identity; when it changes, the progress is reset.
	identity string
	// match is the highest index known to be stored by the member; it is always below next.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	mode replicationMode
	// inflight are the last indexes of the unacknowledged appends, ascending.
	inflight []uint64
	// awaitingResponse is true until a probe or a snapshot chunk is answered; a heartbeat resets it.
	awaitingResponse bool
	// sentCommit is the highest commit index that was sent.
	sentCommit uint64
	// heardAt is when the member last answered under its recorded identity.
	heardAt time.Time
	// acknowledgedRound is the latest heartbeat round that the member acknowledged.
	acknowledgedRound uint64
	// snapshot is the snapshot being sent and snapshotOffset the offset of its next chunk.
	snapshot       *Snapshot
	snapshotOffset uint64
	// electNowSent is true if the member was told to start an election since the last heartbeat.
	electNowSent bool
}

// partialSnapshot is a snapshot of which some chunks were received.
type partialSnapshot struct {
	// leaderTerm is the term of the leader that sends it. Two members may encode the same state differently, so chunks of
	// different leaders are never joined.
	leaderTerm uint64
	// snapshot.Data holds the chunks from offset 0 on, without gaps.
	snapshot Snapshot
}

// syncProgress removes the progress of members that left or changed identity and adds that of new ones.
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
			c.progress[x.Name] = &progress{identity: x.Identity, next: c.log.lastIndex() + 1, heardAt: c.now}
		}
	}
}

// propose appends an entry for a request.
func (c *Core) propose(id uint64, e Entry) {
	if c.role != RoleLeader || c.transferTarget != "" {
		c.answer(Answer{ID: id, Err: c.notLeaderError()})
		return
	}
	e.Index, e.Term = c.log.lastIndex()+1, c.state.Term
	c.log.append(e)
	if e.Kind == EntryMembership {
		c.syncProgress()
	}
	c.answer(Answer{ID: id, Index: e.Index, Term: e.Term})
}

// advanceCommit commits the entries that a majority has stored. Only entries of the
// current term are counted; older ones are committed with them.
func (c *Core) advanceCommit() {
	n := c.majorityValue(c.log.lastIndex(), func(p *progress) uint64 { return p.match })
	if t, ok := c.log.term(n); ok && n > c.commit && t == c.state.Term {
		c.commit = n
	}
}

// replicate sends the entries or snapshot chunks that the member lacks, as far as flow control allows.
func (c *Core) replicate(name string, p *progress) {
	for c.maySend(p) {
		if p.mode != modeSnapshot && p.next-1 < c.log.baseIndex() {
			c.startSnapshot(p)
		}
		if p.mode == modeSnapshot {
			c.sendSnapshotChunk(name, p)
			return
		}
		c.sendEntries(name, p)
	}
	if p.mode == modeStream && p.sentCommit < min(c.commit, p.match) && len(p.inflight) == 0 {
		c.sendHeartbeat(name, p)
	}
}

func (c *Core) maySend(p *progress) bool {
	switch p.mode {
	case modeStream:
		return len(p.inflight) < maxInflight && p.next <= c.log.lastIndex()
	case modeProbe:
		return !p.awaitingResponse && p.next <= c.log.lastIndex()
	}
	return !p.awaitingResponse
}

func (c *Core) sendEntries(name string, p *progress) {
	prev := p.next - 1
	to, size := prev, 0
	for to < c.log.lastIndex() && to-prev < maxBatchEntries {
		size += len(c.log.entries[to+1-c.log.baseIndex()].Data)
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
	p.sentCommit = min(c.commit, to)
	if p.mode == modeProbe {
		p.awaitingResponse = true
		return
	}
	p.next = to + 1
	p.inflight = append(p.inflight, to)
}

// sendHeartbeat sends an append without entries. It carries the index of the last
// entry sent, so that the response shows whether an earlier append was lost. If that
// entry is compacted already, a loss could not be detected, so a snapshot is sent.
func (c *Core) sendHeartbeat(name string, p *progress) {
	m := Message{Kind: KindAppend, To: name, Round: c.round}
	if p.mode != modeSnapshot && p.next-1 < c.log.baseIndex() {
		c.startSnapshot(p)
	}
	if p.mode != modeSnapshot {
		t, _ := c.log.term(p.next - 1)
		m.Index, m.LogTerm, m.Commit = p.next-1, t, c.commit
		p.sentCommit = min(c.commit, m.Index)
	}
	c.send(m)
}

// startSnapshot starts to send the newest snapshot. The transfer continues with it even if a newer one is taken.
func (c *Core) startSnapshot(p *progress) {
	s := c.log.snapshot
	p.mode, p.snapshot, p.snapshotOffset, p.inflight, p.awaitingResponse = modeSnapshot, &s, 0, nil, false
}

// trailingEntries returns how many entries to keep before a new snapshot at the index. While a member that answers is
// catching up, the entries that it needs next are kept: if they were compacted during the transfer of a snapshot, the
// transfer would have to begin again, and a log that grows fast enough would never let the member catch up.
func (c *Core) trailingEntries(index uint64) uint64 {
	n := c.settings.TrailingEntries
	if c.role != RoleLeader {
		return n
	}
	for _, p := range c.progress {
		from := p.match
		if p.mode == modeSnapshot {
			from = p.snapshot.Index
		}
		answers := c.now.Sub(p.heardAt) < c.settings.minElectionTimeout()
		if answers && from >= c.log.baseIndex() && from < index && index-from <= maxRetainedEntries {
			n = max(n, index-from)
		}
	}
	return n
}

func (c *Core) sendSnapshotChunk(name string, p *progress) {
	s := p.snapshot
	end := min(p.snapshotOffset+snapshotChunkBytes, uint64(len(s.Data)))
	c.send(Message{
		Kind: KindSnapshot, To: name, PeerIdentity: p.identity, Index: s.Index, LogTerm: s.Term,
		Membership: &s.Membership, Offset: p.snapshotOffset, Data: s.Data[p.snapshotOffset:end], Last: end == uint64(len(s.Data)),
	})
	p.awaitingResponse = true
}

// receiveAppend handles entries from the leader of the term.
func (c *Core) receiveAppend(m Message) {
	c.becomeFollower(m.Term, m.From)
	r := Message{Kind: KindAppendResponse, To: m.From, Round: m.Round, Index: m.Index}
	if c.uninitialized() || !c.hasPreviousEntry(m) {
		r.Reject, r.Hint = true, c.rejectHint(m.Index)
		c.send(r)
		return
	}
	c.storeEntries(m.Entries)
	r.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, r.Index))
	c.send(r)
}

// hasPreviousEntry reports whether the log has the entry that precedes those of the
// append. Committed entries are the same on all members.
func (c *Core) hasPreviousEntry(m Message) bool {
	if m.Index <= c.commit {
		return true
	}
	t, ok := c.log.term(m.Index)
	return ok && t == m.LogTerm
}

// rejectHint returns the highest index below the rejected one that can match. It skips
// the entries of the conflicting term.
func (c *Core) rejectHint(index uint64) uint64 {
	if index > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	t, _ := c.log.term(index)
	for index > c.commit {
		index--
		if u, ok := c.log.term(index); !ok || u != t {
			break
		}
	}
	return index
}

// storeEntries appends the entries that the log lacks and removes those that conflict.
func (c *Core) storeEntries(entries []Entry) {
	for i, e := range entries {
		if e.Index <= c.commit {
			continue
		}
		if t, ok := c.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= c.log.lastIndex() {
			c.log.truncate(e.Index)
		}
		for _, x := range entries[i:] {
			c.log.append(x)
		}
		return
	}
}

// receiveAppendResponse handles a member's response to an append or a whole snapshot.
func (c *Core) receiveAppendResponse(m Message) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil || !c.fromRecordedIdentity(m) {
		return
	}
	p.heardAt = c.now
	p.acknowledgedRound = max(p.acknowledgedRound, m.Round)
	if m.Reject {
		c.retryAfterReject(p, m)
		return
	}
	p.match = max(p.match, m.Index)
	switch p.mode {
	case modeSnapshot:
		if p.match >= p.snapshot.Index {
			p.mode, p.snapshot, p.next, p.awaitingResponse = modeProbe, nil, p.match+1, false
		}
	case modeProbe:
		if m.Index >= p.next-1 {
			p.mode, p.awaitingResponse, p.inflight = modeStream, false, nil
		}
	case modeStream:
		p.inflight = slices.DeleteFunc(p.inflight, func(i uint64) bool { return i <= m.Index })
	}
	p.next = max(p.next, p.match+1)
}

// retryAfterReject moves next back to an index at which the member's log may match.
func (c *Core) retryAfterReject(p *progress, m Message) {
	switch {
	case p.mode == modeSnapshot:
		return
	case p.mode == modeStream && m.Index <= p.match:
		return
	case p.mode == modeProbe && m.Index != p.next-1:
		return
	}
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
	p.mode, p.inflight, p.awaitingResponse = modeProbe, nil, false
}

// receiveSnapshot collects the chunks of a snapshot and installs it once it is complete.
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
	if p == nil || p.leaderTerm != m.Term || p.snapshot.Index != m.Index {
		p = &partialSnapshot{leaderTerm: m.Term, snapshot: Snapshot{Index: m.Index, Term: m.LogTerm, Membership: *m.Membership}}
		c.partialSnapshot = p
	}
	if m.Offset == uint64(len(p.snapshot.Data)) {
		p.snapshot.Data = append(p.snapshot.Data, m.Data...)
		if m.Last {
			c.installSnapshot(p.snapshot)
			c.send(Message{Kind: KindAppendResponse, To: m.From, Index: m.Index})
			return
		}
	}
	c.send(Message{Kind: KindSnapshotResponse, To: m.From, Index: m.Index, Offset: uint64(len(p.snapshot.Data))})
}

// installSnapshot replaces the log by a received snapshot unless the log already holds its last entry.
func (c *Core) installSnapshot(s Snapshot) {
	c.partialSnapshot = nil
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		c.commit = s.Index
		return
	}
	c.log.install(s)
	c.commit, c.delivered = s.Index, s.Index
	c.effects.Restore = &s
}

// receiveSnapshotResponse notes which chunk of the snapshot to send next. A member goes back only to offset 0, when it has
// restarted. Any other response that is not ahead answers an earlier copy of a chunk and causes no further one; if the last
// chunk was lost, a heartbeat resends it.
func (c *Core) receiveSnapshotResponse(m Message) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil || !c.fromRecordedIdentity(m) {
		return
	}
	p.heardAt = c.now
	if p.mode != modeSnapshot || p.snapshot.Index != m.Index || m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	if restarted := m.Offset == 0 && p.snapshotOffset > 0; restarted || m.Offset > p.snapshotOffset {
		p.snapshotOffset, p.awaitingResponse = m.Offset, false
	}
}
