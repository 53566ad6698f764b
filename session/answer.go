package session

import (
	"encoding/binary"
	"fmt"
	"sync"
)

const (
	// answerBufferBytes is how much of an answer is buffered, so that a request which turns out not to
	// have run can be sent to another target.
	answerBufferBytes = 16 << 10
	// unconfirmedBufferBytes is how much of a primary's answer is buffered from its first
	// CommandComplete on, until the result contains the term of the commit.
	unconfirmedBufferBytes = 1 << 20
)

// answer receives the frames of a channel for one attempt at one unit.
type answer struct {
	session *session
	request *request
	// start is the length of the session's output before the answer.
	start int
	// primary is true when the answer must be buffered from its first CommandComplete on.
	primary bool
	term    uint64

	mu sync.Mutex // guards the fields below: a faulty channel may call late and from another goroutine
	// closed is true once the attempt is over; later frames are refused.
	closed bool
	// partlySent is true once a part of the answer was sent to the guest.
	partlySent bool
	// completed is true from the first CommandComplete on.
	completed bool
	// readyCount counts ReadyForQuery; more than one means that two answers arrived.
	readyCount int
	// parseCount counts ParseComplete.
	parseCount int
	// failed is true after an ErrorResponse.
	failed bool
	// err is set when the frames cannot be the answer to the unit, or cannot be sent to the guest.
	err error
}

// sink is the jacinthtiller.Sink of the attempt.
func (a *answer) sink(b []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return &answerError{problem: "frames came after the end of the request"}
	}
	for len(b) > 0 && a.err == nil {
		if len(b) < headerBytes || int(binary.BigEndian.Uint32(b[1:])) < 4 || int(binary.BigEndian.Uint32(b[1:]))+1 > len(b) {
			a.err = &answerError{problem: "a frame is not whole"}
			break
		}
		size := int(binary.BigEndian.Uint32(b[1:])) + 1
		if a.readyCount > 0 {
			a.err = &answerError{problem: "frames came after ReadyForQuery"}
			break
		}
		a.addFrame(b[0], b[:size])
		b = b[size:]
	}
	if a.err != nil {
		return a.err
	}
	return a.flushExcess()
}

// addFrame buffers one frame for the guest, or drops it.
func (a *answer) addFrame(kind byte, frame []byte) {
	switch kind {
	case 'Z': // the session sends its own, after the mark
		a.readyCount++
		return
	case 'A': // a notification for a guest that used the connection before
		return
	case '1':
		a.parseCount++
		if n := a.parseCount - 1; n >= len(a.request.parses) || a.request.parses[n].repeated {
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
		a.err = &answerError{problem: "the target began COPY"}
		return
	}
	a.session.out = append(a.session.out, frame...)
}

// flushExcess sends the buffered frames when they exceed their limit.
func (a *answer) flushExcess() error {
	buffered := len(a.session.out) - a.start
	switch {
	case buffered < answerBufferBytes, a.primary && a.completed && buffered < unconfirmedBufferBytes:
		return nil
	case a.primary && a.completed && a.term < a.session.server.views.View().Databases[a.session.database].Term:
		a.err = &answerError{problem: fmt.Sprintf("term %d of the answer is over", a.term)}
		return a.err
	}
	a.partlySent = true
	a.start = 0
	if err := a.session.flush(); err != nil {
		a.err = err
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

// discard drops the buffered part of the answer. It is called after close.
func (a *answer) discard() { a.session.out = a.session.out[:a.start] }

// answerError is the reason why frames cannot be the answer to a unit.
type answerError struct{ problem string }

// Error returns the problem.
func (e *answerError) Error() string { return "answer of the target: " + e.problem }
