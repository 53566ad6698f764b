package jacinthtiller

import "time"

// Access is the kind of access that a unit needs.
type Access string

// The kinds of access.
const (
	AccessRead  Access = "read"  // may run on a replica
	AccessWrite Access = "write" // must run on the primary
)

// Statement is a prepared statement of a guest. Its name is a hash of its text and
// types, so that the guests of a pooled connection share it.
type Statement struct {
	// Name is the name on the target's connection, unique by SQL and Types.
	Name  string   `cbor:"name"`
	SQL   string   `cbor:"sql"`
	Types []uint32 `cbor:"types,omitempty"`
}

// Unit holds the messages of a guest up to a Query or Sync message, with all that
// the owner of a target needs to run them.
type Unit struct {
	// Number identifies the unit on its channel; a Result with another number closes the channel.
	Number   uint64 `cbor:"number"`
	Database string `cbor:"database"`
	Target   string `cbor:"target"`
	// Term is the database's term in the view that the unit was routed by.
	Term uint64 `cbor:"term"`
	// Epoch is the ownership epoch of the target in that view.
	Epoch uint64 `cbor:"epoch"`
	Team  string `cbor:"team"`
	Guest string `cbor:"guest"`
	// Session identifies the guest's connection on its entry host; pooled connections are reset between sessions.
	Session string `cbor:"session"`
	Access  Access `cbor:"access"`
	// Primary is true when the unit must run on the primary even though it only reads.
	Primary bool `cbor:"primary,omitempty"`
	// Mark is the position that a replica must have reached before it runs the unit.
	Mark Position `cbor:"mark"`
	// MaxStalenessMicroseconds is how long after the end of its owner's lease a primary may still serve this read; 0
	// means not at all. Such a read may see writes of unknown outcome that are lost by a promotion elsewhere.
	MaxStalenessMicroseconds int64 `cbor:"stale-microseconds,omitempty"`
	// Key is the idempotency key; empty means none.
	Key string `cbor:"key,omitempty"`
	// Fingerprint identifies the request that Key was given for.
	Fingerprint uint64 `cbor:"fingerprint,omitempty"`
	// Deadline is the time by which the unit must have been sent to the target. Links carry
	// it as the remaining time, because the clocks of hosts are not compared.
	Deadline time.Time `cbor:"-"`
	// WaitUntil is the time until which the unit may wait for a replica to reach Mark; links carry it like Deadline.
	WaitUntil time.Time `cbor:"-"`
	// Prepares holds the statements prepared by earlier units that this unit refers to.
	Prepares []Statement `cbor:"prepares,omitempty"`
	// Frames holds the guest's PostgreSQL messages with the names of statements replaced, ending in Query or Sync.
	Frames []byte `cbor:"-"`
}

// Result is the result of a unit.
type Result struct {
	Number  uint64  `cbor:"number"`
	Outcome Outcome `cbor:"outcome"`
	// Position is the position of the commit, or the one at which a read ran.
	Position Position `cbor:"position"`
	// Status is the transaction status after the unit: 'I', 'T' or 'E'.
	Status byte `cbor:"status"`
	// SQLSTATE is the code of the target's ErrorResponse; empty when there was none.
	SQLSTATE string `cbor:"failed,omitempty"`
	// Err is set unless Outcome is OutcomeDone.
	Err *Error `cbor:"err,omitempty"`
}

// Sink receives whole PostgreSQL backend frames for the guest. The slice is valid
// only during the call.
type Sink func(frames []byte) error
