package statement

import (
	"errors"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/pool"
)

const (
	// retryPause is the wait before a request is tried again when all targets have refused it.
	retryPause = 25 * time.Millisecond
	// minRemainingTime is the least time before the deadline in which a request is still sent.
	minRemainingTime = 2 * time.Millisecond
)

func (n *session) newJob(q *request, after jacinthtiller.Position) jacinthtiller.Job {
	return jacinthtiller.Job{
		TargetRequest: jacinthtiller.TargetRequest{ID: q.ID, Text: q.text, After: after},
		Values:        n.values, Statement: q.statement, Route: q.route.Name, Guest: n.guestName(), Account: n.account, Deadline: q.deadline,
		AdmitUntil: q.admitUntil, UsefulUntil: q.usefulUntil,
	}
}

// notRun reports whether err proves that the request did not run.
func notRun(err error) bool {
	var e *jacinthtiller.NotSentError
	var t *pool.NoTargetError
	return errors.As(err, &e) || errors.As(err, &t)
}

// isOverloaded reports whether err says that a target had no capacity or no free connection in time, or was behind.
func isOverloaded(err error) bool {
	var failure *jacinthtiller.TargetError
	var notAdmitted *jacinthtiller.Error
	var notSent *jacinthtiller.NotSentError
	return errors.As(err, &failure) && failure.Code.ProvesNoEffect() || errors.As(err, &notAdmitted) && !isDraining(err) ||
		errors.As(err, &notSent) && !notSent.TargetUnreachable
}

// isDraining reports whether err says that a target takes no new work because it is leaving.
func isDraining(err error) bool {
	var notAdmitted *jacinthtiller.Error
	return errors.As(err, &notAdmitted) && notAdmitted.Reason == jacinthtiller.ReasonDraining
}

// isQueueFull reports whether err says that the queue of a target is too long for the request to be admitted in time.
func isQueueFull(err error) bool {
	var notAdmitted *jacinthtiller.Error
	var notSent *jacinthtiller.NotSentError
	return errors.As(err, &notAdmitted) && notAdmitted.Reason == jacinthtiller.ReasonQueue || errors.As(err, &notSent) && notSent.QueueFull
}

// release returns a connection to the pool, or drops it when the reply r left it in an unexpected state.
func release(c *pool.Conn, r jacinthtiller.Reply) {
	if r.State != jacinthtiller.StateIdle || r.ErrorCode == jacinthtiller.ErrorCodeNoStatement || r.ErrorCode == jacinthtiller.ErrorCodeOther {
		c.Drop("unexpected state")
		return
	}
	c.Put()
}

// waitForRetry waits for retryPause or a change, and reports whether there is time for another attempt.
func (s *Server) waitForRetry(changed <-chan struct{}, deadline time.Time) bool {
	until := time.Now().Add(retryPause)
	if !until.Before(deadline) {
		return false
	}
	s.waitForChange(changed, until)
	return time.Now().Add(minRemainingTime).Before(deadline)
}
