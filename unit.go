package jacinthtiller

import "time"

// Access says what a unit needs from the target that runs it.
type Access string

// The kinds of access.
const (
	AccessRead  Access = "read"  // may run on a replica
	AccessWrite Access = "write" // must run on the primary
)

// Statement is a prepared statement of a guest, named by a hash of its text and
// types so that pooled connections can share it.
type Statement struct {
	// Name is the name on the target's connection, unique by SQL and Types.
	Name  string   `cbor:"name"`
	SQL   string   `cbor:"sql"`
	Types []uint32 `cbor:"types,omitempty"`
}

// Unit is what a guest sent up to one Query or Sync message, with all that the
// owner of a target needs to run it.
type Unit struct {
	// Number identifies the unit on its channel; an answer with another number closes the channel.
	Number   uint64 `cbor:"number"`
	Database string `cbor:"database"`
	Target   string `cbor:"target"`
	// Term is the database's term in the view by which the unit was routed.
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
	// StaleMicroseconds is how long after the end of its owner's lease a primary may still serve this read; 0 means
	// not at all. What such a read sees may include writes of unknown outcome that a promotion elsewhere drops.
	StaleMicroseconds int64 `cbor:"stale-microseconds,omitempty"`
	// Key is the idempotency key; empty means none.
	Key string `cbor:"key,omitempty"`
	// Fingerprint identifies the request that Key was given for.
	Fingerprint uint64 `cbor:"fingerprint,omitempty"`
	// Deadline is the time by which the unit must have been sent to the target. It crosses
	// the link as the time that remains, because hosts' clocks are not compared.
	Deadline time.Time `cbor:"-"`
	// WaitUntil is the time until which a replica may wait to reach Mark; it crosses the link like Deadline.
	WaitUntil time.Time `cbor:"-"`
	// Prepares are statements prepared by earlier units that this unit refers to.
	Prepares []Statement `cbor:"prepares,omitempty"`
	// Frames are the guest's PostgreSQL messages, names replaced, ending in Query or Sync.
	Frames []byte `cbor:"-"`
}

// Result says what became of a unit.
type Result struct {
	Number  uint64  `cbor:"number"`
	Outcome Outcome `cbor:"outcome"`
	// Position is the position of the commit, or the position that a read saw.
	Position Position `cbor:"position"`
	// Status is the transaction status after the unit: 'I', 'T' or 'E'.
	Status byte `cbor:"status"`
	// Failed is the SQLSTATE of the target's ErrorResponse; empty when there was none.
	Failed string `cbor:"failed,omitempty"`
	// Err is set unless Outcome is OutcomeDone.
	Err *Error `cbor:"err,omitempty"`
}

// Sink takes whole PostgreSQL backend frames for the guest. The slice is valid
// only during the call.
type Sink func(frames []byte) error
