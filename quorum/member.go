package quorum

import (
	"encoding/hex"
	"slices"
	"time"
)

// maxPeerAgeHeartbeats is the greatest age, in heartbeats, of a peerInfo used to found the group or admit a member.
const maxPeerAgeHeartbeats = 10

// maxSeenPeers bounds the recorded names; messages from further names are still handled.
const maxSeenPeers = 256

// heardRecently reports whether the peer's last message is recent enough to act on.
func (c *Core) heardRecently(p peerInfo) bool {
	return p.identity != "" && !p.heardAt.Before(c.now.Add(-maxPeerAgeHeartbeats*c.settings.heartbeatInterval()))
}

// recordPeer records which process uses the sender's name.
func (c *Core) recordPeer(m Message) {
	if _, known := c.seenPeers[m.From]; !known && len(c.seenPeers) >= maxSeenPeers {
		return
	}
	info := peerInfo{identity: m.Identity, group: m.Group, nonVoter: m.NonVoter, heardAt: c.now}
	if old := c.seenPeers[m.From]; old.identity == m.Identity && m.Kind != KindHello {
		info.knowsIdentity, info.initialMembers = old.knowsIdentity, old.initialMembers
	}
	if m.Kind == KindHello {
		info.knowsIdentity, info.initialMembers = m.PeerIdentity == c.settings.Identity, m.Names
	}
	c.seenPeers[m.From] = info
}

// sendHellos tells the other initial members that this folder is empty, and founds the group if that is possible.
func (c *Core) sendHellos() {
	for _, n := range c.settings.Members {
		if n != c.settings.Name {
			c.sendHello(KindHello, n)
		}
	}
	c.foundGroup()
}

func (c *Core) sendHello(kind Kind, to string) {
	m := Message{Kind: kind, To: to, PeerIdentity: c.seenPeers[to].identity}
	if c.settings.Bootstrap && c.uninitialized() {
		m.Names = c.settings.Members
	}
	c.send(m)
}

func (c *Core) receiveHello(m Message) {
	if m.Kind == KindHelloResponse {
		return
	}
	if r := c.membership().foundingRecord(); m.Group == "" && r.hasIdentity(m.From, m.Identity) {
		c.send(Message{Kind: KindFound, To: m.From, Membership: &r})
		return
	}
	if c.uninitialized() {
		c.foundGroup()
	}
	c.sendHello(KindHelloResponse, m.From)
}

// foundGroup creates the founding record once all initial members have reported that their folders are empty.
func (c *Core) foundGroup() {
	s := c.settings
	if !s.Bootstrap || !c.uninitialized() || c.state.Term != 0 || len(s.Members) == 0 || s.Members[0] != s.Name {
		return
	}
	m := Membership{}.With(Member{Name: s.Name, Identity: s.Identity, Voter: true})
	for _, n := range s.Members[1:] {
		peer := c.seenPeers[n]
		if !c.heardRecently(peer) || peer.group != "" || !peer.knowsIdentity || !slices.Equal(peer.initialMembers, s.Members) {
			return
		}
		m = m.With(Member{Name: n, Identity: peer.identity, Voter: true})
	}
	m.Group, m.Founders = c.newGroupIdentity(), m.Members
	c.installFoundingRecord(m)
	for _, n := range s.Members[1:] {
		c.send(Message{Kind: KindFound, To: n, Membership: &m})
	}
	c.electionDue = c.now.Add(s.heartbeatInterval())
}

// newGroupIdentity returns a random group identity, derived from the seed and the founder's random identity.
func (c *Core) newGroupIdentity() string {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(c.random.Uint32())
	}
	id, err := hex.DecodeString(c.settings.Identity)
	for i := range min(len(id), len(b)) {
		if err == nil {
			b[i] ^= id[i]
		}
	}
	return hex.EncodeToString(b)
}

// installFoundingRecord starts the log with the founding record.
func (c *Core) installFoundingRecord(m Membership) {
	c.state = State{Term: max(c.state.Term, foundingTerm), Vote: c.state.Vote}
	c.log.install(Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: m})
	c.commit, c.delivered = foundingIndex, foundingIndex
	c.resetElectionTimer()
}

// receiveFoundingRecord accepts a founding record that holds this folder's identity, unless one was accepted before.
func (c *Core) receiveFoundingRecord(m Message) {
	if !c.uninitialized() || !c.settings.Bootstrap || m.Membership == nil || m.Membership.Group != m.Group {
		return
	}
	if x, ok := m.Membership.Member(c.settings.Name); ok && x.Voter && x.Identity == c.settings.Identity {
		c.installFoundingRecord(*m.Membership)
	}
}

// changeMembership appends a membership change or refuses it.
func (c *Core) changeMembership(change Change) {
	if c.role != RoleLeader {
		c.answer(Answer{ID: change.ID, Err: c.notLeaderError()})
		return
	}
	m, err := c.changedMembership(change)
	if err == nil && !c.majorityReachable(m) {
		err = &ChangeError{Kind: change.Kind, Name: change.Name, Retry: true, Reason: "no majority of the changed group was heard from"}
	}
	if err != nil {
		c.answer(Answer{ID: change.ID, Err: err})
		return
	}
	c.propose(change.ID, Entry{Kind: EntryMembership, Membership: &m})
}

// changedMembership returns the membership after a change. It differs from the current one by at most one voter.
func (c *Core) changedMembership(change Change) (Membership, error) {
	refuse := func(retry bool, reason string) (Membership, error) {
		return Membership{}, &ChangeError{Kind: change.Kind, Name: change.Name, Retry: retry, Reason: reason}
	}
	if c.commit < c.termFirstIndex || c.log.configurationIndex() > c.commit {
		return refuse(true, "an earlier change or the start of the term is not committed yet")
	}
	m := c.membership()
	recorded, known := m.Member(change.Name)
	switch {
	case change.Name == c.settings.Name && change.Kind != ChangePromote:
		return refuse(false, "the leader cannot change itself; transfer the leadership first")
	case change.Kind == ChangeAdd:
		return c.membershipWithLearner(change, refuse)
	case !known:
		return refuse(false, "no member has this name")
	case change.Kind == ChangeRemove:
		if recorded.Voter && m.Voters() == 1 {
			return refuse(false, "the last voter cannot be removed")
		}
		return m.Without(change.Name), nil
	case recorded.Voter:
		return m, nil
	case !c.caughtUp(change.Name):
		return refuse(true, "the learner has not caught up")
	}
	return m.With(Member{Name: change.Name, Identity: recorded.Identity, Voter: true}), nil
}

// majorityReachable reports whether a majority of the voters has answered within an
// election timeout. A change to a membership without one could not be committed.
func (c *Core) majorityReachable(m Membership) bool {
	n := 0
	for _, x := range m.Members {
		if x.Voter && (x.Name == c.settings.Name || !c.unresponsive(x.Name)) {
			n++
		}
	}
	return n > m.Voters()/2
}

// membershipWithLearner returns the membership in which the folder now in use under the name is a learner.
func (c *Core) membershipWithLearner(change Change, refuse func(bool, string) (Membership, error)) (Membership, error) {
	m, peer := c.membership(), c.seenPeers[change.Name]
	recorded, known := m.Member(change.Name)
	switch {
	case !c.heardRecently(peer):
		c.sendHello(KindHello, change.Name)
		return refuse(true, "the member was not heard from")
	case known && recorded.Identity == peer.identity:
		return m, nil
	case peer.group != "" && peer.group != m.Group:
		return refuse(false, "the member's folder belongs to another group")
	}
	return m.With(Member{Name: change.Name, Identity: peer.identity, Repair: recorded.Voter || recorded.Repair}), nil
}

// caughtUp reports whether a learner may become a voter.
func (c *Core) caughtUp(name string) bool {
	p := c.progress[name]
	if p == nil || p.mode != modeStream || p.heardAt.Before(c.now.Add(-c.settings.minElectionTimeout())) {
		return false
	}
	return p.match >= c.log.configurationIndex() && p.match+caughtUpEntries >= c.log.lastIndex()
}

// unresponsive reports whether the recorded folder of a member has not answered for an
// election timeout. A second process started under the name of a running member must
// not replace that member.
func (c *Core) unresponsive(name string) bool {
	p := c.progress[name]
	return p == nil || p.heardAt.Before(c.now.Add(-c.settings.minElectionTimeout()))
}

// folderReplaced reports whether a folder other than the recorded one is in use under
// the member's name and may be admitted without an operator: the folder is empty, or
// its earlier admission was lost together with the leader that proposed it.
func (c *Core) folderReplaced(m Member) bool {
	peer := c.seenPeers[m.Name]
	sameGroup := peer.group == "" || peer.group == c.membership().Group
	return c.heardRecently(peer) && peer.nonVoter && sameGroup && peer.identity != m.Identity && c.unresponsive(m.Name)
}

// repairMembership readmits members whose folder was lost and promotes them once they have caught up.
func (c *Core) repairMembership() {
	if c.commit < c.termFirstIndex || c.log.configurationIndex() > c.commit || c.transferTarget != "" {
		return
	}
	for _, x := range c.membership().Members {
		switch {
		case x.Name == c.settings.Name:
		case c.folderReplaced(x):
			c.changeMembership(Change{Kind: ChangeAdd, Name: x.Name})
			return
		case x.Repair && c.caughtUp(x.Name):
			c.changeMembership(Change{Kind: ChangePromote, Name: x.Name})
			return
		}
	}
}

// Status is the state of a member for operators.
type Status struct {
	Name     string `cbor:"name" json:"name"`
	Identity string `cbor:"identity" json:"identity"`
	Group    string `cbor:"group" json:"group"`
	Role     Role   `cbor:"role" json:"role"`
	Term     uint64 `cbor:"term" json:"term"`
	Leader   string `cbor:"leader" json:"leader"`
	Commit   uint64 `cbor:"commit" json:"commit"`
	Applied  uint64 `cbor:"applied" json:"applied"`
	Last     uint64 `cbor:"last" json:"last"`
	Snapshot uint64 `cbor:"snapshot" json:"snapshot"`
	// Members are ordered by name.
	Members []MemberStatus `cbor:"members" json:"members"`
	// RepairUnfinished is true until each lost voter is replaced by one that has caught up.
	RepairUnfinished bool `cbor:"repair-unfinished" json:"repair-unfinished"`
}

// MemberStatus is the state of one member as known to the reporting member.
type MemberStatus struct {
	Member
	// Match is the highest index known to be stored by the member; only the leader knows it for other members.
	Match uint64 `cbor:"match" json:"match"`
	// Heard is when the member last answered the leader.
	Heard time.Time `cbor:"heard" json:"heard"`
	// OtherIdentity is the identity now in use under the name if it differs from the recorded one.
	OtherIdentity string `cbor:"other-identity,omitempty" json:"other-identity,omitempty"`
}

// Status returns the member's status. The applied index is not set, because Core does not know it.
func (c *Core) Status() Status {
	s := Status{
		Name: c.settings.Name, Identity: c.settings.Identity, Group: c.membership().Group,
		Role: c.role, Term: c.state.Term, Leader: c.leader,
		Commit: c.commit, Last: c.log.lastIndex(), Snapshot: c.log.snapshot.Index,
	}
	for _, m := range c.membership().Members {
		x := MemberStatus{Member: m}
		if m.Name == s.Name {
			x.Match, x.Heard = s.Last, c.now
		} else if p := c.progress[m.Name]; p != nil {
			x.Match, x.Heard = p.match, p.heardAt
		}
		if peer := c.seenPeers[m.Name]; c.heardRecently(peer) && peer.identity != m.Identity {
			x.OtherIdentity = peer.identity
		}
		s.RepairUnfinished = s.RepairUnfinished || m.Repair || (m.Voter && x.OtherIdentity != "")
		s.Members = append(s.Members, x)
	}
	return s
}
