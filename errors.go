package jacinthtiller

import (
	"errors"
	"fmt"
)

// ErrTargetDown means that an order could not be carried out because the target does not run.
var ErrTargetDown = errors.New("the target does not run")

// ErrWoken means that a wait for a guest's request ended before any part of one arrived.
var ErrWoken = errors.New("the wait for a request was ended")

// NotLeadingError means that another control process has to be asked. Nothing was changed.
type NotLeadingError struct {
	// URL is the leader's; empty when none is known.
	URL string
}

// Error names the leader.
func (e *NotLeadingError) Error() string {
	return fmt.Sprintf("this process does not lead; leader %q", e.URL)
}

// InvalidError says what is wrong with what a caller sent.
type InvalidError struct{ Err error }

// Error returns the fault.
func (e *InvalidError) Error() string { return "invalid: " + e.Err.Error() }

// Unwrap returns the fault.
func (e *InvalidError) Unwrap() error { return e.Err }

// Outcome says what became of a request.
type Outcome string

// The outcomes of a request. Only OutcomeNotRun allows the system to send the
// request again on its own.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// SQLSTATE codes that guests and operators may rely on.
const (
	// CodeNotRunDeadline means that the deadline passed before the request was sent to a target.
	CodeNotRunDeadline = "JT001"
	// CodeNotRunQueueFull means that the queue dropped the request before it was sent.
	CodeNotRunQueueFull = "JT002"
	// CodeNotRunNoTarget means that no primary or no suitable target could be reached.
	CodeNotRunNoTarget = "JT003"
	// CodeNotRunShutdown means that the host is shutting down.
	CodeNotRunShutdown = "JT004"
	// CodeKeyReused means that the idempotency key was used with another request.
	CodeKeyReused = "JT005"
	// CodeRolledBack means that a transaction was lost before COMMIT was sent and is rolled back.
	CodeRolledBack = "40000"
	// CodeUnknown means that the request may or may not have run (transaction_resolution_unknown).
	CodeUnknown = "08007"
	// CodeNotSupported means that the proxy refuses the feature (feature_not_supported).
	CodeNotSupported = "0A000"
	// CodeReadOnly is a target's refusal of a write in a read-only state (read_only_sql_transaction).
	CodeReadOnly = "25006"
)

// Reason says why an owner did not run a unit, for the host that routes it.
type Reason string

// The reasons of a refusal. All of them imply OutcomeNotRun.
const (
	ReasonBehind   Reason = "behind"    // the replica does not cover the mark
	ReasonNotOwner Reason = "not-owner" // the host does not own the target, or owns it at another epoch or term
	ReasonNoLease  Reason = "no-lease"  // the owner's lease has ended
	ReasonDraining Reason = "draining"  // the target is leaving or the host is stopping
	ReasonQueue    Reason = "queue"     // the queue dropped the unit
	ReasonDeadline Reason = "deadline"  // the deadline passed in the queue
	ReasonTarget   Reason = "target"    // no connection to the target could be had
)

// Error is a failure with the outcome that it proves and the SQLSTATE for the guest.
type Error struct {
	// Outcome is OutcomeNotRun or OutcomeUnknown, never OutcomeDone.
	Outcome Outcome `cbor:"outcome" json:"outcome"`
	// Code is a SQLSTATE of five characters.
	Code string `cbor:"code" json:"code"`
	// Message says what failed, without a trailing period.
	Message string `cbor:"message" json:"message"`
	// Reason is set only when an owner refused a unit.
	Reason Reason `cbor:"reason,omitempty" json:"reason,omitempty"`
}

// Error returns the message with its SQLSTATE and outcome.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Outcome) }

// NotRun returns an error which proves that the request did not run.
func NotRun(code string, reason Reason, format string, args ...any) *Error {
	return &Error{Outcome: OutcomeNotRun, Code: code, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns an error for a request that may or may not have run.
func Unknown(format string, args ...any) *Error {
	return &Error{Outcome: OutcomeUnknown, Code: CodeUnknown, Message: fmt.Sprintf(format, args...)}
}

// AsError finds an *Error in the chain of err. An error without one counts as
// an unknown outcome, which is the only safe reading of it.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Unknown("%v", err)
}
