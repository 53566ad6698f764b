package jacinthtiller

import (
	"errors"
	"fmt"
)

// ErrTargetDown means that an order failed because the target is not running.
var ErrTargetDown = errors.New("the target does not run")

// ErrOrderNotTaken means that an order was refused, or not sent at all, and never takes effect.
var ErrOrderNotTaken = errors.New("the order was not taken")

// ErrWaitInterrupted means that the wait for a guest's request was interrupted or timed out before any part of a request
// arrived.
var ErrWaitInterrupted = errors.New("the wait for a request was ended")

// NotLeadingError means that the control process is not the leader and that it changed nothing.
type NotLeadingError struct {
	// URL is the leader's URL; empty when no leader is known.
	URL string
}

// Error names the leader.
func (e *NotLeadingError) Error() string {
	return fmt.Sprintf("this process does not lead; leader %q", e.URL)
}

// InvalidError means that a caller sent an invalid value.
type InvalidError struct{ Err error }

// Error describes the fault.
func (e *InvalidError) Error() string { return "invalid: " + e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *InvalidError) Unwrap() error { return e.Err }

// Outcome is the result of a request.
type Outcome string

// The outcomes of a request. Only after OutcomeNotRun may the system resend the
// request by itself.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// SQLSTATE codes that guests and operators may rely on.
const (
	// CodeNotRunDeadline means that the deadline passed before the request was sent to a target.
	CodeNotRunDeadline = "JT001"
	// CodeNotRunQueueFull means that the admission queue dropped the request before it was sent.
	CodeNotRunQueueFull = "JT002"
	// CodeNotRunNoTarget means that neither a primary nor another suitable target was available.
	CodeNotRunNoTarget = "JT003"
	// CodeNotRunShutdown means that the host is shutting down.
	CodeNotRunShutdown = "JT004"
	// CodeKeyReused means that the idempotency key was used with another request.
	CodeKeyReused = "JT005"
	// CodeRolledBack means that a transaction was rolled back because it was lost before COMMIT was sent (transaction_rollback).
	CodeRolledBack = "40000"
	// CodeOutcomeUnknown means that the request may or may not have run (transaction_resolution_unknown).
	CodeOutcomeUnknown = "08007"
	// CodeNotSupported means that the proxy refuses the feature (feature_not_supported).
	CodeNotSupported = "0A000"
	// CodeReadOnly means that a target refused a write because the target or the transaction is read-only (read_only_sql_transaction).
	CodeReadOnly = "25006"
)

// Reason tells the host that routed a unit why the owner did not run it.
type Reason string

// The reasons of a refusal. All of them imply OutcomeNotRun.
const (
	ReasonBehind   Reason = "behind"    // the replica does not cover the mark
	ReasonNotOwner Reason = "not-owner" // the host does not own the target, or owns it at another epoch or term
	ReasonNoLease  Reason = "no-lease"  // the owner's lease has ended
	ReasonDraining Reason = "draining"  // the target is leaving or the host is stopping
	ReasonQueue    Reason = "queue"     // the queue dropped the unit
	ReasonDeadline Reason = "deadline"  // the deadline passed in the queue
	ReasonTarget   Reason = "target"    // the owner has no usable connection to the target
)

// Error is a failure with the request's outcome and the SQLSTATE for the guest.
type Error struct {
	// Outcome is OutcomeNotRun or OutcomeUnknown, never OutcomeDone.
	Outcome Outcome `cbor:"outcome" json:"outcome"`
	// Code is a SQLSTATE of five characters.
	Code string `cbor:"code" json:"code"`
	// Message describes the failure, without a trailing period.
	Message string `cbor:"message" json:"message"`
	// Reason is set only when an owner refused a unit.
	Reason Reason `cbor:"reason,omitempty" json:"reason,omitempty"`
}

// Error returns the message with its SQLSTATE and outcome.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Outcome) }

// NotRun returns an error for a request that is proven not to have run.
func NotRun(code string, reason Reason, format string, args ...any) *Error {
	return &Error{Outcome: OutcomeNotRun, Code: code, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// UnknownOutcome returns an error for a request that may or may not have run.
func UnknownOutcome(format string, args ...any) *Error {
	return &Error{Outcome: OutcomeUnknown, Code: CodeOutcomeUnknown, Message: fmt.Sprintf(format, args...)}
}

// AsError returns the *Error in the chain of err. An error without one is returned as
// an unknown outcome, the only safe assumption.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return UnknownOutcome("%v", err)
}
