package statement

import (
	"errors"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/pool"
)

const (
	// suspectAfter is how long an answer may take before the target is tried on another connection. It is several
	// times the work of a usual statement.
	suspectAfter = 350 * time.Millisecond
	// suspectEvery is the time between looks at a suspected target.
	suspectEvery = 100 * time.Millisecond
	// againPause is the wait before targets that all refused a request are asked once more.
	againPause = 25 * time.Millisecond
	// shortestRest is the least time that must be left for a request to be worth sending.
	shortestRest = 2 * time.Millisecond
)

// errSilent means that the target neither answers nor takes connections.
var errSilent = errors.New("the target does not answer")

// errNotSent means that the request did not reach the target.
type errNotSent struct{ cause error }

// Error names the cause.
func (e *errNotSent) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *errNotSent) Unwrap() error { return e.cause }

// exchange sends an order and waits for its answer. With abandon it gives up early when the target is found to be
// out of reach, which is right only for requests that may be repeated. After an error the connection must be dropped;
// an *errNotSent proves that the order did not run.
func (s *Server) exchange(c *pool.Conn, o jacinthtiller.Order, deadline time.Time, abandon bool) (jacinthtiller.Reply, error) {
	if err := c.Send(deadline, o); err != nil {
		c.Target().Unreached(err)
		return jacinthtiller.Reply{}, &errNotSent{cause: err}
	}
	wait := time.Now().Add(suspectAfter)
	for {
		until := deadline
		if wait.Before(until) {
			until = wait
		}
		r, err := c.Receive(until)
		if err == nil {
			return r, nil
		}
		if !pool.IsTimeout(err) {
			c.Target().Unreached(err)
			return r, err
		}
		if !until.Before(deadline) {
			return r, err
		}
		t := c.Target()
		if t.FailingSince().IsZero() {
			s.suspect(t)
		} else if abandon {
			return r, errSilent
		}
		wait = time.Now().Add(suspectEvery)
	}
}

// suspect tries a target on another connection, unless that is being done already.
func (s *Server) suspect(t *pool.Target) {
	if !t.BeginProbe() {
		return
	}
	s.group.Go(func() {
		defer t.EndProbe()
		t.Probe()
	})
}
