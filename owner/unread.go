package owner

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// unreadTimeout bounds the wait for the rest of a message that has begun to arrive while no answer is expected.
const unreadTimeout = 10 * time.Millisecond

// answerError is the reason why what a target has sent cannot be the answer to a request on the connection. It does not
// say which of the answers on the connection belongs to which request, so the connection must be closed.
type answerError struct {
	problem string
	// unsent is true when nothing of the request that found the fault was sent.
	unsent bool
}

func (e *answerError) Error() string { return "answer of the target: " + e.problem }

func answerErrorf(format string, args ...any) error {
	return &answerError{problem: fmt.Sprintf(format, args...)}
}

// sentNothing reports whether err proves that nothing of the request was sent.
func sentNothing(err error) bool {
	var e *answerError
	return errors.As(err, &e) && e.unsent
}

// checkBeforeRequest returns an error when the connection must not be used for a request, because the target has closed it
// or has sent something that the request could take for its answer.
func (c *conn) checkBeforeRequest() error {
	err := c.checkUnread()
	var e *answerError
	if errors.As(err, &e) {
		e.unsent = true
	}
	return err
}

// checkUnread returns an error when the target has sent more than the answers that were read, or has closed the
// connection. Messages that PostgreSQL may send at any time are read.
func (c *conn) checkUnread() error {
	if err := c.discardPending(); err != nil {
		return err
	}
	for c.unread() {
		if err := c.readAsynchronous(); err != nil {
			return err
		}
	}
	return nil
}

// readAsynchronous reads one message that PostgreSQL may send at any time, and fails for any other.
func (c *conn) readAsynchronous() error {
	_ = c.netConn.SetReadDeadline(time.Now().Add(unreadTimeout))
	b, err := c.reader.Peek(1)
	if err != nil {
		return fmt.Errorf("connection is not idle: %w", err)
	}
	switch b[0] {
	case 'S', 'N', 'A':
	default:
		return answerErrorf("message %q that answers no request", b[0])
	}
	typ, f, err := c.readFrame()
	if err == nil && typ == 'S' {
		_, err = c.handleParameterStatus(f)
	}
	if err != nil {
		return err
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	return c.discardPending()
}

// unread reports whether bytes wait to be read or the target has closed the connection.
func (c *conn) unread() bool {
	if c.reader.Buffered() > 0 || wire.ClosedOrReadable(c.raw) {
		return true
	}
	if c.raw == c.netConn {
		return false
	}
	// Decrypted bytes may wait within TLS. A read returns them even after its deadline, and does not read the socket then.
	_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
	_, err := c.reader.Peek(1)
	_ = c.netConn.SetReadDeadline(time.Time{})
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// reportMismatch tells operators of an answerError on a connection; other errors are no evidence of a surplus answer.
func (t *target) reportMismatch(c *conn, err error) {
	var e *answerError
	if errors.As(err, &e) {
		t.emit(event.AnswerMismatched, event.Fields{"connection": c.pid, "reason": e.problem})
	}
}
