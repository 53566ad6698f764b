package statement

import (
	"errors"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// failureCause says in one word why a request failed or was late, for logs and metrics.
type failureCause string

// The causes, from the first to the last that a reader of the logs should rule out.
const (
	causeRequest      failureCause = "request"       // the request itself: unknown route or statement, malformed, too large
	causeStopping     failureCause = "stopping"      // the host takes no new work because it stops
	causeIsolated     failureCause = "isolated"      // the host is cut off, and other hosts can serve
	causeNoLease      failureCause = "no-lease"      // the host has lost touch with control
	causeNoPrimary    failureCause = "no-primary"    // the primary is being replaced
	causeReplaced     failureCause = "replaced"      // the primary was replaced while it worked on the request
	causeLeaving      failureCause = "leaving"       // the target takes no new work because it is leaving
	causeUnreachable  failureCause = "unreachable"   // no target could be reached
	causeBehind       failureCause = "behind"        // the targets with capacity were behind for too long
	causeQueueFull    failureCause = "queue-full"    // the queue was too long, so that the request was refused at once
	causeNoCapacity   failureCause = "no-capacity"   // no slot became free in time
	causeLimit        failureCause = "limit"         // the account has used up its limit
	causeLimitUnknown failureCause = "limit-unknown" // the host got no tokens of the account's limit in time
	causeNoAnswer     failureCause = "no-answer"     // a target did not answer, or its answer was lost
	causeTarget       failureCause = "target-error"  // the target's own answer
	causeSlow         failureCause = "slow"          // late, although the first attempt was answered
)

// outcome describes the last attempt of a request that was not answered.
type outcome struct {
	reason string
	cause  failureCause
	// overloaded is true when the attempt failed for lack of capacity or because the target was behind.
	overloaded bool
	// queueFull is true when the target's queue was too long to wait.
	queueFull bool
}

// withoutOverload returns the outcome of an attempt after which the request does not stop to wait for capacity: it had been
// admitted.
func (o outcome) withoutOverload() outcome {
	o.overloaded, o.queueFull = false, false
	return o
}

// outcomeOfError returns the outcome of an attempt that got no answer.
func outcomeOfError(err error) outcome {
	o := outcome{reason: err.Error(), cause: causeNoAnswer, overloaded: isOverloaded(err), queueFull: isQueueFull(err)}
	var failure *jacinthtiller.TargetError
	switch {
	case errors.Is(err, errReplaced):
		o.cause = causeReplaced
	case isDraining(err):
		o.cause = causeLeaving
	case o.queueFull:
		o.cause = causeQueueFull
	case errors.As(err, &failure) && failure.Code == jacinthtiller.ErrorCodeBehind:
		o.cause = causeBehind
	case o.overloaded:
		o.cause = causeNoCapacity
	case notRun(err):
		o.cause = causeUnreachable
	}
	return o
}

// outcomeOfReply returns the outcome of an attempt that a target answered with an error.
func outcomeOfReply(r jacinthtiller.Reply) outcome {
	o := outcome{reason: string(r.ErrorCode) + " " + r.ErrorText, cause: causeTarget, overloaded: r.ErrorCode.ProvesNoEffect()}
	switch r.ErrorCode {
	case jacinthtiller.ErrorCodeBehind:
		o.cause = causeBehind
	case jacinthtiller.ErrorCodeBusy, jacinthtiller.ErrorCodeConnections:
		o.cause = causeNoCapacity
	case jacinthtiller.ErrorCodeReadOnly:
		o.cause = causeReplaced
	}
	return o
}

// causeOf returns why a request was answered with an error code.
func (s *Server) causeOf(q *request, code jacinthtiller.ErrorCode) failureCause {
	switch code {
	case jacinthtiller.ErrorCodeNoRoute, jacinthtiller.ErrorCodeNoAccount, jacinthtiller.ErrorCodeNoStatement, jacinthtiller.ErrorCodeMalformed, jacinthtiller.ErrorCodeTooLarge:
		return causeRequest
	}
	switch {
	case q.last.cause != "":
		return q.last.cause
	case s.Isolated():
		return causeIsolated
	case s.view.Load().Databases[q.route.Database].Primary == "":
		return causeNoPrimary
	case !s.lease.Load().Valid(now()):
		return causeNoLease
	case code == jacinthtiller.ErrorCodeBusy:
		return causeUnreachable
	case code == jacinthtiller.ErrorCodeUnknown || code == jacinthtiller.ErrorCodeTimeout:
		return causeNoAnswer
	}
	return causeTarget
}

// causeOfDelay returns why an answer came after the route's objective: the outcome of an earlier attempt, or a wait for the
// lease or a primary, else a slow target.
func (q *request) causeOfDelay() failureCause {
	switch {
	case q.last.cause != "":
		return q.last.cause
	case q.held != "":
		return q.held
	}
	return causeSlow
}

// late reports whether the time is after the route's objective.
func (q *request) late(at time.Time) bool {
	return !q.usefulUntil.IsZero() && at.After(q.usefulUntil)
}
