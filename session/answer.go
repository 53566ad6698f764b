package session

import (
	"encoding/binary"
	"fmt"
	"sync"
)

const (
	// streamBytes is how much of an answer is kept back, so that a request which turns out
	// not to have run can be sent elsewhere.
	streamBytes = 16 << 10
	// heldBytes is how much of a primary's answer is kept from its first CommandComplete on,
	// until the result says in which term it was committed.
	heldBytes = 1 << 20
)

// answer takes the frames that a channel passes for one attempt at one unit.
type answer struct {
	s *session
	q *request
	// base is the length of the session's output before the answer.
	base int
	// primary is true when the answer must be held from its first CommandComplete on.
	primary bool
	term    uint64

	mu sync.Mutex // guards the fields below: a faulty channel may call late and from another goroutine
	// closed is true once the attempt is over; later frames belong to nobody.
	closed bool
	// sent is true once the guest has got a part of the answer.
	sent bool
	// completed is true from the first CommandComplete on.
	completed bool
	// ready counts ReadyForQuery; more than one means that two answers came.
	ready int
	// parses counts ParseComplete.
	parses int
	// failed is true after an ErrorResponse.
	failed bool
	// broken is set when the frames cannot be the answer to the unit.
	broken error
}

// frames is the Sink of the attempt.
func (a *answer) frames(b []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return &answerError{problem: "frames came after the end of the request"}
	}
	for len(b) > 0 && a.broken == nil {
		if len(b) < headerBytes || int(binary.BigEndian.Uint32(b[1:])) < 4 || int(binary.BigEndian.Uint32(b[1:]))+1 > len(b) {
			a.broken = &answerError{problem: "a frame is not whole"}
			break
		}
		size := int(binary.BigEndian.Uint32(b[1:])) + 1
		if a.ready > 0 {
			a.broken = &answerError{problem: "frames came after ReadyForQuery"}
			break
		}
		a.frame(b[0], b[:size])
		b = b[size:]
	}
	if a.broken != nil {
		return a.broken
	}
	return a.stream()
}

// frame keeps one frame for the guest, or drops it.
func (a *answer) frame(kind byte, frame []byte) {
	switch kind {
	case 'Z': // the session sends its own, after the mark
		a.ready++
		return
	case 'A': // a notification for a guest that used the connection before
		return
	case '1':
		a.parses++
		if n := a.parses - 1; n >= len(a.q.parses) || a.q.parses[n].repeated {
			return
		}
	case 'S':
		if name, _, ok := cutString(frame[headerBytes:]); ok && name == "log_position" {
			return
		}
	case 'C', 'I', 's':
		a.completed = true
	case 'E':
		a.failed = true
	case 'G', 'W', 'H': // COPY, which the guest may have hidden from the classification
		a.broken = &answerError{problem: "the target began COPY"}
		return
	}
	a.s.out = append(a.s.out, frame...)
}

// stream sends what is kept when it is too much.
func (a *answer) stream() error {
	kept := len(a.s.out) - a.base
	switch {
	case kept < streamBytes, a.primary && a.completed && kept < heldBytes:
		return nil
	case a.primary && a.completed && a.term < a.s.server.views.View().Databases[a.s.database].Term:
		a.broken = &answerError{problem: fmt.Sprintf("term %d of the answer is over", a.term)}
		return a.broken
	}
	a.sent = true
	a.base = 0
	if err := a.s.flush(); err != nil {
		a.broken = err
		return err
	}
	return nil
}

// close ends the attempt; frames that come later are refused.
func (a *answer) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
}

// discard drops what is kept of the answer. It is called after close.
func (a *answer) discard() { a.s.out = a.s.out[:a.base] }

// answerError says why frames cannot be the answer to a unit.
type answerError struct{ problem string }

// Error returns the problem.
func (e *answerError) Error() string { return "answer of the target: " + e.problem }
