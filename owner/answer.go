package owner

import (
	"bytes"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// answerPhase is how far the answer to one message has come.
type answerPhase byte

const (
	phaseStart     answerPhase = iota
	phaseDescribed             // rows or, for Describe, their description may follow
	phaseAnswered              // a command of a simple query has completed
	phaseEnded                 // after an error or an empty query, only ReadyForQuery may follow
)

// answerReader reads the answers to one plan.
type answerReader struct {
	conn     *conn
	expected []expectation
	// current is the index in expected of the message that the next frame answers, and phase how far its answer has come.
	current int
	phase   answerPhase
	// value is the first column of the first row that answers a query of the proxy, and failure its first error.
	value   *string
	failure error
	// sqlstate is the SQLSTATE of the first ErrorResponse that the guest sees.
	sqlstate string
	// status is the transaction status of the last ReadyForQuery.
	status byte
}

var parseComplete = []byte{'1', 0, 0, 0, 4}

func (x *answerReader) done() bool { return x.current >= len(x.expected) }

// endMessage makes the next frame answer the next message.
func (x *answerReader) endMessage() { x.current, x.phase = x.current+1, phaseStart }

// readFrame reads one frame, updates the state and returns the frame to pass on to the
// guest, or nil if there is none. After an error the state of the connection is unknown.
func (x *answerReader) readFrame() ([]byte, error) {
	typ, f, err := x.conn.readFrame()
	if err != nil {
		return nil, err
	}
	if x.done() {
		return nil, answerErrorf("message %q after the end of the answer", typ)
	}
	e := x.expected[x.current]
	switch typ {
	case 'S':
		visible, err := x.conn.handleParameterStatus(f)
		if err != nil || !visible || e.kind.internal() {
			return nil, err
		}
		return f, nil
	case 'N':
		if e.kind.internal() {
			return nil, nil
		}
		return f, nil
	case 'A':
		return nil, nil
	case 'Z':
		return x.handleReady(e, f)
	}
	if x.phase == phaseEnded {
		return nil, answerErrorf("message %q after an error or an empty query", typ)
	}
	if typ == 'E' {
		return x.handleError(e, f)
	}
	if !wellFormed(typ, f[headerBytes:]) {
		return nil, answerErrorf("message %q of a wrong form", typ)
	}
	if e.kind == expectInternalQuery {
		return nil, x.handleInternalQuery(e, typ, f)
	}
	return x.handleAnswer(e, typ, f)
}

// wellFormed reports whether the body of a message with a fixed form has that form: a tag ends with its only zero byte, and
// the messages that only confirm have no body.
func wellFormed(typ byte, body []byte) bool {
	switch typ {
	case 'C':
		return bytes.IndexByte(body, 0) == len(body)-1
	case '1', '2', '3', 'n', 's', 'I':
		return len(body) == 0
	}
	return true
}

// handleInternalQuery checks a frame of the answer to a query of the proxy.
func (x *answerReader) handleInternalQuery(e expectation, typ byte, f []byte) error {
	if !x.acceptForQuery(typ) {
		return answerErrorf("message %q in the answer to %s", typ, e.verb)
	}
	switch typ {
	case 'C':
		tag := cString(f[headerBytes:])
		if firstWord(tag) != e.verb {
			return answerErrorf("the tag %q in the answer to %s", tag, e.verb)
		}
		x.recordCommand(tag)
	case 'D':
		if x.value != nil {
			return nil
		}
		var row pgproto3.DataRow
		if err := row.Decode(f[headerBytes:]); err != nil {
			return fmt.Errorf("decode row: %w", err)
		}
		if len(row.Values) > 0 {
			v := string(row.Values[0])
			x.value = &v
		}
	}
	return nil
}

// handleError skips the expectations up to the next ReadyForQuery, as the target does after an error.
func (x *answerReader) handleError(e expectation, f []byte) ([]byte, error) {
	err := decodeErrorResponse(f)
	r := asServerError(err)
	switch {
	case r == nil:
		return nil, err
	case e.kind == expectInternalQuery && x.failure == nil:
		x.failure = fmt.Errorf("%s: %w", e.verb, err)
	case e.kind.marker() && x.conn.status != 'E' && !x.conn.cancelled.Load():
		return nil, answerErrorf("SQLSTATE %s where the request's answer must have ended", r.code)
	}
	for !x.expected[x.current].kind.endsWithReadyForQuery() {
		x.current++
	}
	x.phase = phaseEnded
	if r.code == "26000" || r.code == "42P05" {
		x.conn.dirty = true // the statements on the target differ from those recorded
	}
	if x.expected[x.current].kind.internal() {
		return nil, nil
	}
	if x.sqlstate == "" {
		x.sqlstate = r.code
	}
	return f, nil
}

func (x *answerReader) handleReady(e expectation, f []byte) ([]byte, error) {
	query := e.kind == expectQuery || e.kind == expectInternalQuery
	if !e.kind.endsWithReadyForQuery() || query && x.phase != phaseAnswered && x.phase != phaseEnded {
		return nil, answerErrorf("ReadyForQuery before the answers that were expected")
	}
	before := x.conn.status
	if err := x.conn.handleReady(f); err != nil {
		return nil, err
	}
	x.status = x.conn.status
	if e.kind.internal() && !x.internalStatusCanFollow(e, before) {
		return nil, answerErrorf("transaction status %q after %q", x.status, before)
	}
	x.endMessage()
	if e.kind.internal() {
		return nil, nil
	}
	return f, nil
}

// internalStatusCanFollow reports whether a message of the proxy can have changed the transaction status to x.status.
func (x *answerReader) internalStatusCanFollow(e expectation, before byte) bool {
	switch {
	case x.phase == phaseEnded:
		return (x.status == 'I') == (before == 'I')
	case e.verb == "BEGIN":
		return x.status == 'T'
	case e.verb == "COMMIT", e.verb == "ROLLBACK":
		return x.status == 'I'
	}
	return x.status == before
}

// handleAnswer checks a frame against the message that it answers and returns the frame to pass on.
func (x *answerReader) handleAnswer(e expectation, typ byte, f []byte) ([]byte, error) {
	if !x.accept(e.kind, typ) || e.kind == expectMarkerDescribe && typ == 'T' && !describesMarker(f, e.name) {
		return nil, answerErrorf("unexpected message %q", typ)
	}
	switch {
	case typ == '1' && e.name != "":
		x.conn.statements[e.name] = struct{}{}
	case typ == '3' && e.kind == expectClose:
		delete(x.conn.statements, e.name)
	case typ == 'C':
		x.recordCommand(cString(f[headerBytes:]))
	}
	switch {
	case e.kind.internal():
		return nil, nil
	case e.kind == expectReplacedParse:
		return parseComplete, nil
	}
	return f, nil
}

// accept reports whether a message of the type may come next in the answer to a message of the kind, and updates the state.
func (x *answerReader) accept(kind expectKind, typ byte) bool {
	if kind == expectQuery {
		return x.acceptForQuery(typ)
	}
	ok, done := false, true
	switch kind {
	case expectParse, expectInternalParse, expectMarkerParse:
		ok = typ == '1'
	case expectBind:
		ok = typ == '2'
	case expectClose, expectReplacedParse, expectMarkerClose:
		ok = typ == '3'
	case expectDescribeStatement, expectMarkerDescribe:
		if typ == 't' {
			ok, done = x.phase == phaseStart, false
			x.phase = phaseDescribed
		} else {
			ok = x.phase == phaseDescribed && (typ == 'T' || typ == 'n')
		}
	case expectDescribePortal:
		ok = typ == 'T' || typ == 'n'
	case expectExecute:
		done = typ != 'D'
		ok = typ == 'D' || typ == 'C' || typ == 'I' || typ == 's'
	}
	if ok && done {
		x.endMessage()
	}
	return ok
}

// acceptForQuery is accept for a simple query, which may hold several commands.
func (x *answerReader) acceptForQuery(typ byte) bool {
	before := x.phase
	switch typ {
	case 'T':
		x.phase = phaseDescribed
		return before != phaseDescribed
	case 'D':
		return before == phaseDescribed
	case 'C':
		x.phase = phaseAnswered
		return true
	case 'I':
		x.phase = phaseEnded
		return before == phaseStart
	}
	return false
}

// recordCommand records commands that change which statements exist on the target.
func (x *answerReader) recordCommand(tag string) {
	switch tag {
	case "DISCARD ALL":
		clear(x.conn.statements)
		x.conn.dirty = false
	case "DEALLOCATE ALL":
		clear(x.conn.statements)
	case "DEALLOCATE", "PREPARE":
		x.conn.dirty = true
	}
}
