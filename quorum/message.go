package quorum

import (
	"cmp"
	"slices"
)

// Kind is the kind of a message.
type Kind string

// The kinds of messages. A response has the kind of its request with the suffix
// "-response".
const (
	KindPreVote          Kind = "pre-vote"
	KindPreVoteResponse  Kind = "pre-vote-response"
	KindVote             Kind = "vote"
	KindVoteResponse     Kind = "vote-response"
	KindAppend           Kind = "append" // without entries it is the heartbeat
	KindAppendResponse   Kind = "append-response"
	KindSnapshot         Kind = "snapshot"
	KindSnapshotResponse Kind = "snapshot-response"
	KindElectNow         Kind = "elect-now"
	KindHello            Kind = "hello"
	KindHelloResponse    Kind = "hello-response"
	KindFound            Kind = "found"
)

// Message is sent from one member to another. Messages may be lost, delayed,
// duplicated and reordered.
type Message struct {
	Kind Kind   `cbor:"kind"`
	From string `cbor:"from"`
	To   string `cbor:"to"`
	// Group is the identity of the sender's group; empty while the sender's folder is empty.
	Group string `cbor:"group,omitempty"`
	// Identity is the identity of the sender's folder.
	Identity string `cbor:"identity"`
	// PeerIdentity is the identity of the receiver as known to the sender. It is set in
	// votes, snapshots and hellos. The receiver ignores votes and snapshots for another identity.
	PeerIdentity string `cbor:"peer-identity,omitempty"`
	// NonVoter is true if the sender's own log does not record it as a voter, so that it may be readmitted.
	// JSON keeps the former name.
	NonVoter bool   `cbor:"spare,omitempty" json:"Spare"`
	Term     uint64 `cbor:"term,omitempty"`
	// Index depends on the kind: the last index of a candidate; the index before the entries
	// of an append; the matched or rejected index of a response; the index of a snapshot.
	Index uint64 `cbor:"index,omitempty"`
	// LogTerm is the term of the entry at Index in votes, appends and snapshots.
	LogTerm uint64 `cbor:"log-term,omitempty"`
	Commit  uint64 `cbor:"commit,omitempty"`
	// Round numbers the leader's heartbeat rounds; a response repeats it.
	Round   uint64  `cbor:"round,omitempty"`
	Entries []Entry `cbor:"entries,omitempty"`
	// Reject is true in a response that rejects the request.
	Reject bool `cbor:"reject,omitempty"`
	// Hint is an index at which the logs may match; it is set in the rejection of an append.
	Hint uint64 `cbor:"hint,omitempty"`
	// LeaderGone is true in a pre-vote if the sender knows that the leader of its term has lost the leadership.
	LeaderGone bool `cbor:"leader-gone,omitempty"`
	// Transfer is true in vote requests of a leadership transfer, which are granted although a leader is alive.
	Transfer bool `cbor:"transfer,omitempty"`
	// Membership is set in snapshots and founding records.
	Membership *Membership `cbor:"membership,omitempty"`
	// Offset is the position of Data in a snapshot, or the next offset wanted in its response.
	Offset uint64 `cbor:"offset,omitempty"`
	Data   []byte `cbor:"data,omitempty"`
	// Last is true for the last chunk of a snapshot.
	Last bool `cbor:"last,omitempty"`
	// Names are the initial members, in order; they are set in the hello of an empty folder with Bootstrap.
	Names []string `cbor:"names,omitempty"`
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of log entries. Only commands reach the state machine.
const (
	EntryCommand EntryKind = iota
	EntryNoOp
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `cbor:"index"`
	Term  uint64    `cbor:"term"`
	Kind  EntryKind `cbor:"kind,omitempty"`
	Data  []byte    `cbor:"data,omitempty"`
	// Membership is set only in entries of kind EntryMembership and takes effect when the entry is appended.
	Membership *Membership `cbor:"membership,omitempty"`
}

// Member is one member of a group.
type Member struct {
	Name string `cbor:"name" json:"name"`
	// Identity is the recorded identity of the member's folder.
	Identity string `cbor:"identity" json:"identity"`
	// Voter is false for learners, which receive the log but count for no majority.
	Voter bool `cbor:"voter,omitempty" json:"voter"`
	// Repair is true for a learner that replaces a voter whose folder was lost; the
	// leader promotes it once it has caught up.
	Repair bool `cbor:"repair,omitempty" json:"repair,omitempty"`
}

// Membership is the set of members at an index of the log. It is immutable; With and Without return copies.
type Membership struct {
	// Group is random and the same in all memberships of a log.
	Group string `cbor:"group" json:"group"`
	// Members are ordered by name and have distinct names.
	Members []Member `cbor:"members" json:"members"`
	// Founders are the members of the founding record and never change. A founder that
	// missed the record can still get it from any member.
	Founders []Member `cbor:"founders" json:"founders"`
}

// foundingRecord returns the membership with which the group was founded.
func (m Membership) foundingRecord() Membership {
	m.Members = m.Founders
	return m
}

// Member finds a member by name.
func (m Membership) Member(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(m.Members, name, func(x Member, n string) int { return cmp.Compare(x.Name, n) })
	if !ok {
		return Member{}, false
	}
	return m.Members[i], true
}

// Voters counts the voters.
func (m Membership) Voters() int {
	n := 0
	for _, x := range m.Members {
		if x.Voter {
			n++
		}
	}
	return n
}

// Without returns a copy of m that lacks the named member.
func (m Membership) Without(name string) Membership {
	m.Members = slices.DeleteFunc(slices.Clone(m.Members), func(x Member) bool { return x.Name == name })
	return m
}

// With returns a copy of m in which x is set under its name.
func (m Membership) With(x Member) Membership {
	m = m.Without(x.Name)
	m.Members = append(m.Members, x)
	slices.SortFunc(m.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

// hasIdentity reports whether the identity is the one recorded under the name.
func (m Membership) hasIdentity(name, identity string) bool {
	x, ok := m.Member(name)
	return ok && identity != "" && x.Identity == identity
}

// Snapshot is the state that replaces the log up to an index.
type Snapshot struct {
	// Index is the index of the last entry included; 0 means that there is no snapshot.
	Index      uint64     `cbor:"index"`
	Term       uint64     `cbor:"term"`
	Membership Membership `cbor:"membership"`
	// Data is the state of the state machine. It is empty at foundingIndex, where no command has been applied.
	Data []byte `cbor:"data,omitempty"`
}

// foundingIndex and foundingTerm are the index and term of the founding record, a
// snapshot without state with which every log begins.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

// State is what a member must store besides its log.
type State struct {
	// Term never decreases.
	Term uint64 `cbor:"term"`
	// Vote is the member voted for in Term; empty when there is none.
	Vote string `cbor:"vote"`
	// Leader is the leader of Term; empty until a message of the leader arrives. It is stored so that a restarted member
	// knows whose heartbeats it may have acknowledged.
	Leader string `cbor:"leader,omitempty"`
}
