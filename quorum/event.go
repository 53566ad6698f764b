package quorum

import "time"

// Event is an input of Core.Step.
type Event interface{ event() }

// Tick reports only that time has passed. It is due at Core.Deadline.
type Tick struct{}

// Received is a message from another member.
type Received struct {
	Message Message `cbor:"message"`
}

// Propose asks the leader to append a command.
type Propose struct {
	// ID is repeated in the Answer; it is unique in the process.
	ID   uint64 `cbor:"id"`
	Data []byte `cbor:"data"`
}

// Read asks the leader to confirm its leadership.
type Read struct {
	ID uint64 `cbor:"id"`
}

// ChangeKind is the kind of a membership change.
type ChangeKind string

// The kinds of membership changes.
const (
	ChangeAdd     ChangeKind = "add"     // admits the folder now in use under the name as a learner
	ChangePromote ChangeKind = "promote" // makes a learner that has caught up a voter
	ChangeRemove  ChangeKind = "remove"
)

// Change asks the leader to change the membership.
type Change struct {
	ID   uint64     `cbor:"id"`
	Kind ChangeKind `cbor:"kind"`
	Name string     `cbor:"name"`
}

// Transfer asks the leader to transfer the leadership to the voter with the most complete log.
type Transfer struct {
	ID uint64 `cbor:"id"`
}

// Compact provides a snapshot of the state machine after the entry at Index was applied.
type Compact struct {
	Index uint64 `cbor:"index"`
	Data  []byte `cbor:"data"`
}

func (Tick) event()     {}
func (Received) event() {}
func (Propose) event()  {}
func (Read) event()     {}
func (Change) event()   {}
func (Transfer) event() {}
func (Compact) event()  {}

// Answer is the first answer to an event with an ID. If Err is nil and Index is not 0,
// the entry is appended but not committed yet.
type Answer struct {
	ID    uint64
	Index uint64
	Term  uint64
	Err   error
}

// ConfirmedRead answers a Read: the member was the leader after the read had arrived,
// and everything committed before is at or below Index.
type ConfirmedRead struct {
	ID    uint64
	Index uint64
}

// Effects are the results of a step. State, Snapshot, FirstIndex, ReplaceFrom and
// Entries must be synced, in one transaction, before anything else in Effects is used.
type Effects struct {
	// State is set when it changed.
	State *State
	// Snapshot is set when it changed.
	Snapshot *Snapshot
	// FirstIndex is the index below which entries are no longer needed; 0 means no change.
	FirstIndex uint64
	// ReplaceFrom is the index from which on stored entries are replaced by Entries; 0 means no change.
	ReplaceFrom uint64
	Entries     []Entry

	Messages []Message
	// Restore is set when the state machine must be restored from a snapshot before Committed is applied.
	Restore *Snapshot
	// Committed are the newly committed entries in order.
	Committed      []Entry
	Answers        []Answer
	ConfirmedReads []ConfirmedRead
}

// Durable reports whether anything must be synced.
func (e Effects) Durable() bool {
	return e.State != nil || e.Snapshot != nil || e.FirstIndex != 0 || e.ReplaceFrom != 0
}

// Settings are the fixed properties of a Core.
type Settings struct {
	Name     string
	Identity string
	// Members are the names of the initial members, including this one.
	Members []string
	// Bootstrap allows an empty folder to take part in founding the group named by Members.
	Bootstrap bool
	// Seed and Name seed the random generator.
	Seed uint64
	// HeartbeatMicroseconds is the time between heartbeat rounds; 0 means 100 ms.
	HeartbeatMicroseconds int64
	// ElectionMicroseconds is the least election timeout; the greatest is twice as long. 0 means 400 ms.
	ElectionMicroseconds int64
	// TrailingEntries is how many entries before a snapshot stay in the log for followers that lag slightly.
	TrailingEntries uint64
}

const (
	defaultHeartbeatInterval  = 100 * time.Millisecond
	defaultMinElectionTimeout = 400 * time.Millisecond
)

func (s Settings) heartbeatInterval() time.Duration {
	if s.HeartbeatMicroseconds <= 0 {
		return defaultHeartbeatInterval
	}
	return time.Duration(s.HeartbeatMicroseconds) * time.Microsecond
}

func (s Settings) minElectionTimeout() time.Duration {
	if s.ElectionMicroseconds <= 0 {
		return defaultMinElectionTimeout
	}
	return time.Duration(s.ElectionMicroseconds) * time.Microsecond
}
