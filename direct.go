package jacinthtiller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// A group of targets is direct when every host connects to its targets itself
// and the targets keep their own durability: a commit is acknowledged when the
// primary acknowledges it. Hosts acknowledge work of a direct group's primary
// only under their lease, so that no answer of a replaced primary reaches a guest.

// ReadClass says how fresh the reads of a route must be.
type ReadClass string

// The classes of reads.
const (
	// ClassPrimary reads see every commit that was acknowledged before them.
	ClassPrimary ReadClass = "primary"
	// ClassBounded reads see every commit that was acknowledged longer ago than the route's greatest age.
	ClassBounded ReadClass = "bounded"
	// ClassSession reads see what ClassBounded ones see and every commit of their own session.
	ClassSession ReadClass = "session"
)

// Route says what guests that ask for a database name get.
type Route struct {
	// Name is the name that guests ask for.
	Name string `cbor:"name" json:"name"`
	// Database is the group of targets that serves them.
	Database string    `cbor:"database" json:"database"`
	Class    ReadClass `cbor:"class" json:"class"`
	// MaxAgeMilliseconds bounds the age of reads unless Class is ClassPrimary.
	MaxAgeMilliseconds int64 `cbor:"max-age-milliseconds,omitempty" json:"max-age-milliseconds,omitempty"`
	// StatementMilliseconds bounds one statement; it is above 0.
	StatementMilliseconds int64 `cbor:"statement-milliseconds" json:"statement-milliseconds"`
	// ObjectiveMilliseconds is the time within which guests want a whole operation answered; 0 when unknown.
	ObjectiveMilliseconds int64 `cbor:"objective-milliseconds,omitempty" json:"objective-milliseconds,omitempty"`
	// Priority orders guests that wait for the same target; 0 goes first.
	Priority int `cbor:"priority,omitempty" json:"priority,omitempty"`
}

// Group holds what the document says of one group of targets.
type Group struct {
	// Connections is how many connections each target takes from all callers together.
	Connections int `cbor:"connections" json:"connections"`
	// SyncReplicas is how many replicas have a commit before the primary acknowledges it.
	SyncReplicas int `cbor:"sync-replicas,omitempty" json:"sync-replicas,omitempty"`
}

// Edition is a whole document that is numbered by its author. The highest number
// that was accepted is in force, and its content never changes.
type Edition struct {
	Number uint64 `cbor:"number" json:"number"`
	// Routes maps the names that guests ask for to their routes.
	Routes map[string]Route `cbor:"routes" json:"routes"`
	Groups map[string]Group `cbor:"groups" json:"groups"`
	// IdleTransactionMilliseconds is how long a transaction may rest between statements; 0 means no limit.
	IdleTransactionMilliseconds int64 `cbor:"idle-transaction-milliseconds,omitempty" json:"idle-transaction-milliseconds,omitempty"`
}

// Validate returns the first fault of an edition.
func (e Edition) Validate() error {
	for name, r := range e.Routes {
		if _, ok := e.Groups[r.Database]; !ok {
			return fmt.Errorf("route %q names database %q, which the edition does not hold", name, r.Database)
		}
		switch {
		case r.Name == "" || r.Name != name:
			return fmt.Errorf("route %q has no name", r.Name)
		case r.StatementMilliseconds <= 0:
			return fmt.Errorf("route %q has no statement timeout", name)
		case r.Class != ClassPrimary && r.Class != ClassBounded && r.Class != ClassSession:
			return fmt.Errorf("route %q has class %q", name, r.Class)
		case r.MaxAgeMilliseconds < 0:
			return fmt.Errorf("route %q has a negative greatest age", name)
		}
	}
	return nil
}

// TargetReport is what a target of a direct group says of itself.
type TargetReport struct {
	Target   string `cbor:"target" json:"target"`
	Database string `cbor:"database" json:"database"`
	Address  string `cbor:"address" json:"address"`
	Domain   string `cbor:"domain" json:"domain"`
	// Slots is how many statements the target runs at a time.
	Slots int         `cbor:"slots" json:"slots"`
	Role  Role        `cbor:"role" json:"role"`
	State TargetState `cbor:"state" json:"state"`
	// BornMilliseconds is the target's start by its own wall clock; it tells incarnations of a name apart.
	BornMilliseconds int64 `cbor:"born-milliseconds,omitempty" json:"born-milliseconds,omitempty"`
	// Sequence grows with every report of one incarnation.
	Sequence uint64 `cbor:"sequence" json:"sequence"`
	// ColdMilliseconds is how much longer the target stays slow after its start.
	ColdMilliseconds int64 `cbor:"cold-milliseconds,omitempty" json:"cold-milliseconds,omitempty"`
}

// Validate returns the first fault of a report.
func (r TargetReport) Validate() error {
	for name, value := range map[string]string{"target": r.Target, "database": r.Database} {
		if value == "" || len(value) > maxNameBytes {
			return fmt.Errorf("report: %s has %d bytes, not 1 to %d", name, len(value), maxNameBytes)
		}
	}
	if _, _, err := net.SplitHostPort(r.Address); err != nil {
		return fmt.Errorf("report: address: %w", err)
	}
	switch {
	case r.Role != RolePrimary && r.Role != RoleReplica:
		return fmt.Errorf("report: role %q is neither %s nor %s", r.Role, RolePrimary, RoleReplica)
	case r.State != StateServing && r.State != StateLeaving:
		return fmt.Errorf("report: state %q is neither %s nor %s", r.State, StateServing, StateLeaving)
	}
	return nil
}

// TargetStatus is what a target of a direct group answers when it is asked for its state.
type TargetStatus struct {
	Role Role
	// Term is the term that the target leads or follows.
	Term uint64
	// Received is the position of the newest log entry that the target holds.
	Received Position
	// HeldTerm is the term up to which the target receives nothing; 0 when it receives.
	HeldTerm uint64
	// LagMilliseconds is how far the target's applied state is behind what it received.
	LagMilliseconds int64
}

// Inspector asks the targets of direct groups for their state and orders them about.
type Inspector interface {
	// Inspect asks a target for its state. An error that wraps syscall.ECONNREFUSED means that no process listens.
	Inspect(ctx context.Context, t Target) (TargetStatus, error)
	// StepDown makes a primary of a term below term a replica.
	StepDown(ctx context.Context, t Target, term uint64) (TargetStatus, error)
}

// PromoteOrder asks for a new primary of a direct group.
type PromoteOrder struct {
	Database string
	Target   string
	// Holder is the name of the process that gives the order, and Token a number that never
	// decreases and belongs to one holder only.
	Holder string
	Token  uint64
}

// Promoter has the power to make a target of a direct group its primary.
type Promoter interface {
	// Promote gives the order. ErrTargetDown means that the target does not run.
	Promote(ctx context.Context, o PromoteOrder) error
}

// Verb is what a guest's request does.
type Verb string

// The verbs of requests.
const (
	VerbBegin      Verb = "begin"
	VerbBeginRead  Verb = "begin-read" // begins a transaction that only reads
	VerbCommit     Verb = "commit"
	VerbRollback   Verb = "rollback"
	VerbRead       Verb = "read"
	VerbWrite      Verb = "write"
	VerbSet        Verb = "set"
	VerbPrepare    Verb = "prepare"
	VerbExecute    Verb = "execute"
	VerbDeallocate Verb = "deallocate"
	VerbTooLarge   Verb = "too-large" // a request that was longer than allowed and was not read
	VerbUnknown    Verb = "unknown"   // not a request that guests may make
)

// GuestRequest is one request of a guest, as its protocol's reader understood it.
type GuestRequest struct {
	// ID identifies the request; answers and targets get it unchanged.
	ID string
	// Text is the request as the guest sent it.
	Text string
	Verb Verb
	// Name is the name of the value or of the prepared statement that the request is about.
	Name string
	// Rest is what follows Name: the value, the arguments, or the shape of a prepared statement.
	Rest string
	// Access is what a prepared statement does; only for VerbPrepare.
	Access Access
}

// The states of a guest's session or of a target's connection.
const (
	StateIdle        byte = 'I' // no transaction is open
	StateTransaction byte = 'T' // a transaction is open
	StateFailed      byte = 'E' // the open transaction has failed
)

// GuestConn is one guest's connection. It is used by one goroutine at a time; Wake may be called by any.
type GuestConn interface {
	// Greeting reads what the guest asks for: the name of a route and its own name.
	Greeting() (route, guest string, err error)
	// Welcome says that the session has begun.
	Welcome() error
	// Next waits for the next request until deadline, or for ever when it is zero. ErrWoken means that the
	// deadline passed or Wake was called and that no part of a request has arrived.
	Next(deadline time.Time) (GuestRequest, error)
	// Wake makes a call of Next that waits return.
	Wake()
	// Done answers a request that the host itself has carried out.
	Done(state byte) error
	// Pass answers with what a target answered, and the state of the session after it.
	Pass(r Reply, state byte) error
	// Fail answers with an error. ReturnMilliseconds is when the guest should come back; 0 says nothing.
	Fail(code FailCode, text string, returnMilliseconds int64, state byte) error
	// Refuse answers a greeting with an error.
	Refuse(code FailCode, text string) error
	Close() error
}

// FailCode is the kind of an error that a guest or a host gets.
type FailCode string

// The kinds of errors. Those up to FailConnections promise that nothing of the request, and of its transaction, is kept.
const (
	FailBusy        FailCode = "busy"         // no capacity now
	FailAborted     FailCode = "aborted"      // the transaction was rolled back
	FailBehind      FailCode = "behind"       // the target's log lacks a position
	FailReadOnly    FailCode = "read-only"    // the target is not the primary
	FailWrongTarget FailCode = "wrong-target" // another target listens at the address
	FailConnections FailCode = "connections"  // the target has no free connection
	FailUnknown     FailCode = "unknown"      // it is not known whether the request ran
	FailTimeout     FailCode = "timeout"      // the request ran out of time, and may have run
	FailExecution   FailCode = "execution"    // the request ran and failed
	FailNoStatement FailCode = "no-statement" // no statement is prepared under the name
	FailNoRoute     FailCode = "no-route"     // no route has the name
	FailMalformed   FailCode = "malformed"    // the request cannot be understood in this state
	FailTooLarge    FailCode = "too-large"    // the request is larger than the protocol allows
	FailOther       FailCode = "other"        // a code that is not known here
)

// NotKept reports whether the error proves that nothing of the request is kept and that it may be sent elsewhere.
func (c FailCode) NotKept() bool {
	switch c {
	case FailBusy, FailBehind, FailReadOnly, FailWrongTarget, FailConnections, FailAborted:
		return true
	}
	return false
}

// Reply is a target's answer to one request.
type Reply struct {
	// Body holds the answer in the guest's protocol without its end, which carries state and position.
	Body []byte
	// Fail is empty when the request succeeded.
	Fail FailCode
	// FailText is the target's explanation.
	FailText string
	// State is the state of the target's connection after the request.
	State byte
	// Position is that of the target's log after the request; zero when it said none.
	Position Position
}

// Order is a request for a target.
type Order struct {
	// ID is the guest's; empty for a request of the host's own.
	ID   string
	Text string
	// After is the position that the target's log must hold; zero means none.
	After Position
}

// TargetConn is one connection to a target of a direct group. It is used by one goroutine at a time.
type TargetConn interface {
	// Send writes the orders in one write. An error proves that none of them ran.
	Send(deadline time.Time, orders ...Order) error
	// Receive reads the answer to the oldest order that has none. A timeout leaves the connection usable:
	// Receive may be called again. After another error the connection must be closed.
	Receive(deadline time.Time) (Reply, error)
	// Stale reports whether the target has closed the connection or sent something unasked.
	Stale() bool
	Close() error
}

// PreparedStatement is a prepared statement under the name that it has at targets.
type PreparedStatement struct {
	_ struct{} `cbor:",toarray"`
	// Name is unique by Access and Shape.
	Name   string
	Access Access
	Shape  string
}

// Job is an order with all that a connection must hold before it runs.
type Job struct {
	Order
	// Values are the session values of the guest; the connection must hold these and no others.
	Values map[string]string
	// Statement is the prepared statement that the order runs; nil when it runs none.
	Statement *PreparedStatement
	// Route and Guest are for a fair share among those who wait for the target.
	Route, Guest string
	// Opens is true when the order begins a transaction.
	Opens bool
	// Question is true when the job asks the target for its log position, past the queue of statements.
	Question bool
	// Repeatable is true when the order may run again elsewhere, so that its answer may be given up early.
	Repeatable bool
	Deadline   time.Time
	// Admit is until when the order may wait for room at the target; zero means until Deadline.
	Admit time.Time
	// Useful is until when an answer is in time for the guest; zero when nothing is known. What is late already waits
	// behind what can still be in time.
	Useful time.Time
}

// NotSentError proves that an order did not reach its target, or was not admitted to it.
type NotSentError struct {
	Cause error
	// Unreached is true when the host that relays could not reach the target.
	Unreached bool
	// Full is true when so many wait for the target that the order would not have been admitted in time.
	Full bool
}

// Error names the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RelayConn is a path to one target through another host. It is used by one goroutine at a time.
type RelayConn interface {
	// Start sends a job. An error proves that it did not run.
	Start(e Job) error
	// Receive reads the answer to the job. A timeout leaves the path usable. A *NotSentError comes from the other
	// host and leaves it usable for another job; after another error it must be closed.
	Receive(deadline time.Time) (Reply, error)
	// Stale reports whether the other host has closed the path.
	Stale() bool
	Close() error
}

// RelayDialer opens paths through other hosts.
type RelayDialer interface {
	// DialRelay opens a path to the target through the host at the address.
	DialRelay(ctx context.Context, address string, t Target) (RelayConn, error)
}

// FreshnessQuestion asks a host for a log position of a database that includes every commit acknowledged longer ago than
// Age. Without a database it only asks whether the host answers.
type FreshnessQuestion struct {
	Database string
	// Term is the term that the position has to be in.
	Term uint64
	// AgeMicroseconds is how old the answer may be at most.
	AgeMicroseconds int64
}

// FreshnessAnswer answers a FreshnessQuestion. Positions of different ages are told, because a replica that is behind holds
// the older ones only.
type FreshnessAnswer struct {
	// Leased is true when the host that answers holds a lease.
	Leased bool
	// Known holds positions of the term, the oldest first; it is empty when the host knows none that is young enough.
	Known []AgedPosition
}

// AgedPosition is a position that a primary had some time ago.
type AgedPosition struct {
	Position Position
	// AgeMicroseconds is how long ago the primary was asked for the position, when the answer was made. Whoever gets the
	// answer counts it from before its own question, so that the way of the answer only makes it older.
	AgeMicroseconds int64
}

// FreshnessSource answers questions of other hosts of its failure domain.
type FreshnessSource interface {
	// Freshness waits for the primary's answer when it has to ask, until the deadline.
	Freshness(q FreshnessQuestion, deadline time.Time) FreshnessAnswer
}

// FreshnessAsker asks other hosts.
type FreshnessAsker interface {
	// AskFreshness asks the host whose address for statements of other hosts is given.
	AskFreshness(address string, q FreshnessQuestion, deadline time.Time) (FreshnessAnswer, error)
}

// TargetDialer opens connections to targets of direct groups.
type TargetDialer interface {
	// Dial connects and logs in. The error is a *FailError when the target refused.
	Dial(ctx context.Context, t Target) (TargetConn, error)
}

// FailError is a refusal by a target.
type FailError struct {
	Code FailCode
	Text string
}

// Error returns the code with the target's explanation.
func (e *FailError) Error() string { return fmt.Sprintf("target refused: %s (%s)", e.Code, e.Text) }

// Registry is the control group as operators and targets of direct groups use it. A *NotLeadingError from any method
// means that another process has to be asked.
type Registry interface {
	// ApplyEdition puts an edition in force, or accepts it without effect when its number is not higher than that of
	// the one in force. When it returns nil the outcome is durable. Text is the edition as its author sent it. The
	// error is an *InvalidError when the edition can never be accepted.
	ApplyEdition(ctx context.Context, e Edition, text []byte) error
	// EditionText returns the newest edition as its author sent it; nil when there is none.
	EditionText(ctx context.Context) ([]byte, error)
	// Report takes what a target says of itself. When it returns nil, what is new in it is durable.
	Report(ctx context.Context, r TargetReport) error
	// Withdraw takes a target out of its group.
	Withdraw(ctx context.Context, target string) error
}

// Adapter translates between this program and one kind of platform: its guests, its targets and its operators.
type Adapter interface {
	TargetDialer
	Inspector
	// Guest speaks with a guest that has connected.
	Guest(c net.Conn) GuestConn
	Dialect() Dialect
	// Promoter returns the caller of the platform's service at the address.
	Promoter(address string) Promoter
	// Control serves the operators' and the targets' calls to a control process.
	Control(r Registry) http.Handler
	// Ready answers whether the host takes guests.
	Ready(ready func() bool) http.Handler
}

// Dialect words the orders that a host gives to targets on its own account.
type Dialect interface {
	// Begin begins a transaction, which only reads if readOnly is set.
	Begin(readOnly bool) string
	Rollback() string
	// Reset forgets all values and prepared statements of the connection.
	Reset() string
	Set(name, value string) string
	Prepare(name string, access Access, shape string) string
	// Status asks for the target's state; the answer carries its log position.
	Status() string
	// Execute runs a prepared statement under the name that it has at the target.
	Execute(name, rest string) string
}
