package jacinthtiller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// In a direct group, every host connects to the targets itself, and the targets
// are responsible for durability: a commit is acknowledged when the primary
// acknowledges it. Hosts acknowledge work of a direct group's primary only under
// their lease, so that no answer of a replaced primary reaches a guest.

// ReadClass is the consistency class of the reads of a route.
type ReadClass string

// The classes of reads.
const (
	// ClassPrimary reads see every commit that was acknowledged before them.
	ClassPrimary ReadClass = "primary"
	// ClassBounded reads see every commit that was acknowledged longer ago than the route's maximum age.
	ClassBounded ReadClass = "bounded"
	// ClassSession reads see the same commits as ClassBounded ones and every commit of their own session.
	ClassSession ReadClass = "session"
)

// Route configures the service for guests that request a database name.
type Route struct {
	// Name is the database name that guests request.
	Name string `cbor:"name" json:"name"`
	// Database is the group of targets that serves the guests.
	Database string    `cbor:"database" json:"database"`
	Class    ReadClass `cbor:"class" json:"class"`
	// MaxAgeMilliseconds bounds the age of reads unless Class is ClassPrimary.
	MaxAgeMilliseconds int64 `cbor:"max-age-milliseconds,omitempty" json:"max-age-milliseconds,omitempty"`
	// StatementMilliseconds bounds one statement; it is above 0.
	StatementMilliseconds int64 `cbor:"statement-milliseconds" json:"statement-milliseconds"`
	// ObjectiveMilliseconds is the latency objective of guests for a whole operation; 0 when unknown.
	ObjectiveMilliseconds int64 `cbor:"objective-milliseconds,omitempty" json:"objective-milliseconds,omitempty"`
	// Priority orders guests that wait for the same target; 0 is the highest priority.
	Priority int `cbor:"priority,omitempty" json:"priority,omitempty"`
	// Public is true when guests need no key of an account.
	Public bool `cbor:"public,omitempty" json:"public,omitempty"`
}

// Group holds the document's settings of one group of targets.
type Group struct {
	// Connections is the number of connections that each target accepts from all clients together.
	Connections int `cbor:"connections" json:"connections"`
	// SyncReplicas is the number of replicas that have a commit before the primary acknowledges it.
	SyncReplicas int `cbor:"sync-replicas,omitempty" json:"sync-replicas,omitempty"`
}

// SyncReplicas returns how many replicas of a database have a commit before its primary acknowledges it.
func (v View) SyncReplicas(database string) int {
	if v.Edition == nil {
		return 0
	}
	return v.Edition.Groups[database].SyncReplicas
}

// Edition is a whole document with a number that its author assigns. The accepted edition
// with the highest number is in force. The content of an edition never changes.
type Edition struct {
	Number uint64 `cbor:"number" json:"number"`
	// Routes maps the database names that guests request to their routes.
	Routes map[string]Route `cbor:"routes" json:"routes"`
	Groups map[string]Group `cbor:"groups" json:"groups"`
	// IdleTransactionMilliseconds is how long a transaction may be idle between statements; 0 means no limit.
	IdleTransactionMilliseconds int64 `cbor:"idle-transaction-milliseconds,omitempty" json:"idle-transaction-milliseconds,omitempty"`
	// RequiresKeys is true when the document has accounts, so that guests of routes that are not public need a key.
	RequiresKeys bool `cbor:"requires-keys,omitempty" json:"requires-keys,omitempty"`
	// Accounts maps the names of the client accounts to the accounts.
	Accounts map[string]Account `cbor:"accounts,omitempty" json:"accounts,omitempty"`
}

// Validate returns an error for the first invalid part of an edition.
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
	return e.validateAccounts()
}

const (
	// maxReportedSlots bounds the statements that a target runs concurrently.
	maxReportedSlots = 100_000
	// maxSequence is the greatest number that every JSON encoder writes exactly. A target that counts one report a
	// millisecond gets there after 285,000 years.
	maxSequence = 1 << 53
	// maxStartedMilliseconds is the end of the year 9999.
	maxStartedMilliseconds = 253_402_300_799_999
	// maxWarmupMilliseconds bounds a warm-up; it is a day.
	maxWarmupMilliseconds = 24 * 60 * 60 * 1000
)

// TargetReport is the state that a target of a direct group reports.
type TargetReport struct {
	Target   string `cbor:"target" json:"target"`
	Database string `cbor:"database" json:"database"`
	Address  string `cbor:"address" json:"address"`
	Domain   string `cbor:"domain" json:"domain"`
	// Slots is the number of statements that the target runs concurrently.
	Slots int         `cbor:"slots" json:"slots"`
	Role  Role        `cbor:"role" json:"role"`
	State TargetState `cbor:"state" json:"state"`
	// StartedMilliseconds is the target's start time by its own wall clock; it distinguishes the incarnations of a name.
	StartedMilliseconds int64 `cbor:"born-milliseconds,omitempty" json:"born-milliseconds,omitempty"`
	// Sequence increases with every report of one incarnation.
	Sequence uint64 `cbor:"sequence" json:"sequence"`
	// WarmupMilliseconds is the remaining time for which the target is slow after its start.
	WarmupMilliseconds int64 `cbor:"cold-milliseconds,omitempty" json:"cold-milliseconds,omitempty"`
}

// Validate returns an error for the first invalid field of a report.
func (r TargetReport) Validate() error {
	for name, value := range map[string]string{"target": r.Target, "database": r.Database} {
		if value == "" || len(value) > maxNameBytes {
			return fmt.Errorf("report: %s has %d bytes, not 1 to %d", name, len(value), maxNameBytes)
		}
		if !utf8.ValidString(value) || strings.ContainsAny(value, " \r\n") {
			return fmt.Errorf("report: %s %q is not UTF-8, or has a space or a line break", name, value)
		}
	}
	_, port, err := net.SplitHostPort(r.Address)
	if err != nil {
		return fmt.Errorf("report: address: %w", err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("report: port %q is not between 1 and 65535", port)
	}
	switch {
	case r.Slots < 0 || r.Slots > maxReportedSlots:
		return fmt.Errorf("report: %d slots are not between 0 and %d", r.Slots, maxReportedSlots)
	case r.StartedMilliseconds < 0 || r.StartedMilliseconds > maxStartedMilliseconds:
		return fmt.Errorf("report: start %d is not between 0 and %d", r.StartedMilliseconds, int64(maxStartedMilliseconds))
	case r.Sequence > maxSequence:
		return fmt.Errorf("report: sequence %d is above %d", r.Sequence, uint64(maxSequence))
	case r.WarmupMilliseconds < 0 || r.WarmupMilliseconds > maxWarmupMilliseconds:
		return fmt.Errorf("report: warm-up of %d ms is not between 0 and %d", r.WarmupMilliseconds, maxWarmupMilliseconds)
	case r.Role != RolePrimary && r.Role != RoleReplica:
		return fmt.Errorf("report: role %q is neither %s nor %s", r.Role, RolePrimary, RoleReplica)
	case r.State != StateServing && r.State != StateLeaving:
		return fmt.Errorf("report: state %q is neither %s nor %s", r.State, StateServing, StateLeaving)
	}
	return nil
}

// TargetStatus is the state of a target of a direct group, as the target returns it on request.
type TargetStatus struct {
	Role Role
	// Term is the term that the target leads or follows.
	Term uint64
	// Received is the position of the newest log entry that the target holds.
	Received Position
	// HeldTerm is the term up to which the target receives no log entries; 0 when it receives all.
	HeldTerm uint64
	// LagMilliseconds is the delay of the target's applied state behind the entries that it received.
	LagMilliseconds int64
}

// Inspector queries the state of targets of direct groups and demotes primaries.
type Inspector interface {
	// Inspect queries a target's state. An error that wraps syscall.ECONNREFUSED means that no process listens.
	Inspect(ctx context.Context, t Target) (TargetStatus, error)
	// StepDown demotes a target that is the primary of a term below term to a replica.
	StepDown(ctx context.Context, t Target, term uint64) (TargetStatus, error)
}

// PromoteOrder asks for a new primary of a direct group.
type PromoteOrder struct {
	Database string
	Target   string
	// LeaseHolder is the name of the process that gives the order, and Token its fencing token: a
	// number that never decreases and belongs to one holder only.
	LeaseHolder string
	Token       uint64
}

// Promoter makes a target of a direct group its primary.
type Promoter interface {
	// Promote gives the order. ErrTargetDown means that the target is not running, and ErrOrderNotTaken that the order never
	// takes effect. After any other error it may still do so.
	Promote(ctx context.Context, o PromoteOrder) error
}

// RequestKind is the kind of a guest's request.
type RequestKind string

// The kinds of requests.
const (
	RequestBegin      RequestKind = "begin"
	RequestBeginRead  RequestKind = "begin-read" // begins a read-only transaction
	RequestCommit     RequestKind = "commit"
	RequestRollback   RequestKind = "rollback"
	RequestRead       RequestKind = "read"
	RequestWrite      RequestKind = "write"
	RequestSet        RequestKind = "set"
	RequestPrepare    RequestKind = "prepare"
	RequestExecute    RequestKind = "execute"
	RequestDeallocate RequestKind = "deallocate"
	RequestTooLarge   RequestKind = "too-large" // a request that exceeds the size limit and was not read
	RequestUnknown    RequestKind = "unknown"   // not a request that guests may send
)

// GuestRequest is one parsed request of a guest.
type GuestRequest struct {
	// ID identifies the request; it is passed to the target and returned in the answer unchanged.
	ID string
	// Text is the request as the guest sent it.
	Text string
	Kind RequestKind
	// Name is the name of the session value or of the prepared statement that the request concerns.
	Name string
	// Arguments is the text after Name: the value, the arguments, or the shape of a prepared statement.
	Arguments string
	// Access is the access of a prepared statement; only for RequestPrepare.
	Access Access
}

// The states of a guest's session or of a target's connection.
const (
	StateIdle        byte = 'I' // no transaction is open
	StateTransaction byte = 'T' // a transaction is open
	StateFailed      byte = 'E' // the open transaction has failed
)

// GuestConn is one guest's connection. It is used by one goroutine at a time; any goroutine may call InterruptNext.
type GuestConn interface {
	// ReadStartup reads the guest's first message, which holds the name of a route and the guest's own name. Where editions
	// require keys, guest is the guest's key, a secret that is not kept.
	ReadStartup() (route, guest string, err error)
	// AcceptSession tells the guest that the session has begun.
	AcceptSession() error
	// Next waits for the next request until deadline, or without limit when it is zero. ErrWaitInterrupted means
	// that the deadline passed or InterruptNext was called, and that no part of a request has arrived.
	Next(deadline time.Time) (GuestRequest, error)
	// InterruptNext makes a waiting call of Next return.
	InterruptNext()
	// ReplyDone answers a request that the host has carried out itself.
	ReplyDone(state byte) error
	// ForwardReply forwards a target's reply, with the state of the session after it.
	ForwardReply(r Reply, state byte) error
	// ReplyError answers with an error. The guest should retry after retryAfterMilliseconds; 0 gives no advice.
	ReplyError(code ErrorCode, text string, retryAfterMilliseconds int64, state byte) error
	// RejectStartup answers the startup message with an error.
	RejectStartup(code ErrorCode, text string) error
	Close() error
}

// ErrorCode is the kind of an error that a guest or a host receives.
type ErrorCode string

// The kinds of errors. Those up to ErrorCodeConnections guarantee that the request and its transaction have no effect.
const (
	ErrorCodeBusy        ErrorCode = "busy"         // no free capacity
	ErrorCodeAborted     ErrorCode = "aborted"      // the transaction was rolled back
	ErrorCodeBehind      ErrorCode = "behind"       // the target's log does not hold the required position
	ErrorCodeReadOnly    ErrorCode = "read-only"    // the target is not the primary
	ErrorCodeWrongTarget ErrorCode = "wrong-target" // another target listens at the address
	ErrorCodeConnections ErrorCode = "connections"  // the target has no free connection
	ErrorCodeUnknown     ErrorCode = "unknown"      // the request may or may not have run
	ErrorCodeTimeout     ErrorCode = "timeout"      // the request timed out, and may have run
	ErrorCodeExecution   ErrorCode = "execution"    // the request ran and failed
	ErrorCodeNoStatement ErrorCode = "no-statement" // no statement is prepared under the name
	ErrorCodeNoRoute     ErrorCode = "no-route"     // no route has the name
	ErrorCodeNoAccount   ErrorCode = "no-account"   // no account has the guest's key
	ErrorCodeMalformed   ErrorCode = "malformed"    // the request is malformed or not allowed in the session's state
	ErrorCodeTooLarge    ErrorCode = "too-large"    // the request is larger than the protocol allows
	ErrorCodeOther       ErrorCode = "other"        // a code that this program does not know
)

// ProvesNoEffect reports whether the error proves that the request had no effect, so that it may be sent elsewhere.
func (c ErrorCode) ProvesNoEffect() bool {
	switch c {
	case ErrorCodeBusy, ErrorCodeBehind, ErrorCodeReadOnly, ErrorCodeWrongTarget, ErrorCodeConnections, ErrorCodeAborted:
		return true
	}
	return false
}

// Reply is a target's answer to one request.
type Reply struct {
	// Body holds the answer in the guest's protocol without its last part, which holds state and position.
	Body []byte
	// ErrorCode is the kind of the error; empty when the request succeeded.
	ErrorCode ErrorCode
	// ErrorText is the target's error message.
	ErrorText string
	// Signature is the target's proof that it ran the request of a guest, unique for each run. It is empty for an error, for a
	// request of the host itself, and for a reply that came through another host, which has checked it.
	Signature string
	// HasRows is true when the reply holds rows; like Signature, it is not set for one that came through another host.
	HasRows bool
	// State is the state of the target's connection after the request.
	State byte
	// Position is the position of the target's log after the request; zero when the target sent none.
	Position Position
}

// TargetRequest is a request for a target.
type TargetRequest struct {
	// ID is the guest's request ID; empty for a request of the host itself.
	ID   string
	Text string
	// After is the position that the target's log must hold before the request runs; zero means none.
	After Position
}

// TargetConn is one connection to a target of a direct group. It is used by one goroutine at a time.
type TargetConn interface {
	// Send sends the requests in one write. An error proves that none of them ran.
	Send(deadline time.Time, requests ...TargetRequest) error
	// Receive reads the reply to the oldest request without one. A timeout leaves the connection usable:
	// Receive may be called again. After another error the connection must be closed.
	Receive(deadline time.Time) (Reply, error)
	// Unusable reports whether the target has closed the connection or sent unexpected data.
	Unusable() bool
	Close() error
}

// PreparedStatement is a prepared statement under its name on targets.
type PreparedStatement struct {
	_ struct{} `cbor:",toarray"`
	// Name is unique for each pair of Access and Shape.
	Name   string
	Access Access
	Shape  string
}

// Job is a request with the connection state that it requires and its scheduling parameters.
type Job struct {
	TargetRequest
	// Values holds the session values of the guest; the connection must have these and no others.
	Values map[string]string
	// Statement is the prepared statement that the request executes; nil when it executes none.
	Statement *PreparedStatement
	// Route and Guest are the keys of fair queueing for the target.
	Route, Guest string
	// Account is the client account on whose connections the request runs; empty when the deployment has no accounts.
	Account string
	// BeginsTransaction is true when the request begins a transaction.
	BeginsTransaction bool
	// PositionQuery is true when the job queries the target's log position; such a job bypasses the queue of statements.
	PositionQuery bool
	// Repeatable is true when the request may be retried elsewhere, so that the wait for its answer may be abandoned early.
	Repeatable bool
	Deadline   time.Time
	// AdmitUntil is the time until which the request may wait for admission to the target; zero means until Deadline.
	AdmitUntil time.Time
	// UsefulUntil is the time until which an answer is in time for the guest; zero when unknown. Late jobs wait behind those that
	// can still be in time.
	UsefulUntil time.Time
}

// NotSentError proves that a request did not reach its target, or was not admitted to it.
type NotSentError struct {
	Cause error
	// TargetUnreachable is true when the relaying host could not reach the target.
	TargetUnreachable bool
	// QueueFull is true when the target's queue is so long that the request would not have been admitted in time.
	QueueFull bool
}

// Error describes the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the wrapped error.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RelayConn is a connection to one target through another host. It is used by one goroutine at a time.
type RelayConn interface {
	// Start sends a job. An error proves that it did not run.
	Start(j Job) error
	// Receive reads the reply to the job. A timeout leaves the connection usable. A *NotSentError comes from the other
	// host and leaves the connection usable for another job; after another error the connection must be closed.
	Receive(deadline time.Time) (Reply, error)
	// Unusable reports whether the other host has closed the connection.
	Unusable() bool
	Close() error
}

// RelayDialer opens connections through other hosts.
type RelayDialer interface {
	// DialRelay opens a connection to the target through the host at the address. With compress, requests and answers are
	// compressed, which the host must understand.
	DialRelay(ctx context.Context, address string, t Target, compress bool) (RelayConn, error)
}

// FreshnessQuery asks a host for a log position of a database that includes every commit acknowledged longer ago than
// AgeMicroseconds. Without a database it only checks that the host answers.
type FreshnessQuery struct {
	Database string
	// Term is the required term of the position.
	Term uint64
	// AgeMicroseconds is the maximum age of the answer.
	AgeMicroseconds int64
}

// FreshnessReply answers a FreshnessQuery. It holds positions of different ages, because a lagging replica has only
// the older ones.
type FreshnessReply struct {
	// Leased is true when the answering host holds a lease.
	Leased bool
	// Positions holds positions of the term, the oldest first; empty when the host knows none within the maximum age.
	Positions []AgedPosition
}

// AgedPosition is a position of a primary with its age.
type AgedPosition struct {
	Position Position
	// AgeMicroseconds is how long before the answer was made the primary was asked for the position. The receiver counts it
	// back from before it sent the query, so that network delay can only make the position look older.
	AgeMicroseconds int64
}

// FreshnessSource answers the freshness queries of other hosts of its failure domain.
type FreshnessSource interface {
	// Freshness asks the primary if necessary and waits for its answer until the deadline.
	Freshness(q FreshnessQuery, deadline time.Time) FreshnessReply
}

// FreshnessClient sends freshness queries to other hosts.
type FreshnessClient interface {
	// QueryFreshness asks the host at the address, which is that of its listener for statements of other hosts.
	QueryFreshness(address string, q FreshnessQuery, deadline time.Time) (FreshnessReply, error)
}

// TargetDialer opens connections to targets of direct groups.
type TargetDialer interface {
	// Dial connects and logs in for the client account, or for the host itself if account is empty. The connection serves no
	// other account. The error is a *TargetError when the target refused.
	Dial(ctx context.Context, t Target, account string) (TargetConn, error)
}

// TargetError is an error that a target returned.
type TargetError struct {
	Code ErrorCode
	Text string
}

// Error returns the code with the target's message.
func (e *TargetError) Error() string { return fmt.Sprintf("target refused: %s (%s)", e.Code, e.Text) }

// Registry is the interface of the control group for operators and for targets of direct groups. A *NotLeadingError from any
// method means that the request has to go to another process.
type Registry interface {
	// ApplyEdition puts an edition in force, or accepts it without effect when its number is not higher than that of the
	// edition in force. When it returns nil, the result is durable. Text is the edition as its author sent it. The error is an
	// *InvalidError when the edition can never be accepted.
	ApplyEdition(ctx context.Context, e Edition, text []byte) error
	// EditionText returns the newest edition as its author sent it; nil when there is none.
	EditionText(ctx context.Context) ([]byte, error)
	// Report records a target's report. When it returns nil, the changes are durable.
	Report(ctx context.Context, r TargetReport) error
	// RefuseReport records that a report under a target's name could not be read. It changes nothing else.
	RefuseReport(target string, cause error)
	// RemoveTarget removes a target from its group.
	RemoveTarget(ctx context.Context, target string) error
}

// Adapter implements the protocols of one kind of platform: those of its guests, its targets and its operators.
type Adapter interface {
	TargetDialer
	Inspector
	// Guest returns the protocol connection of a guest that has connected.
	Guest(c net.Conn) GuestConn
	Dialect() Dialect
	// Promoter returns a client of the platform's service at the address.
	Promoter(address string) Promoter
	// Control returns the handler of the calls of operators and targets to a control process.
	Control(r Registry) http.Handler
	// Ready returns the handler that tells whether the host accepts guests.
	Ready(ready func() bool) http.Handler
}

// Dialect formats the statements that a host itself sends to targets.
type Dialect interface {
	// Begin begins a transaction, which is read-only if readOnly is set.
	Begin(readOnly bool) string
	Rollback() string
	// Reset discards all session values and prepared statements of the connection.
	Reset() string
	Set(name, value string) string
	Prepare(name string, access Access, shape string) string
	// Status queries the target's state; the answer contains its log position.
	Status() string
	// Execute runs the prepared statement with the name on the target.
	Execute(name, arguments string) string
}
