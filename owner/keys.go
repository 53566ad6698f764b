package owner

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"regexp"
	"strconv"
	"strings"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// maxRecordedBytes bounds the frames recorded for one key. Of a larger answer only
// the command tags are recorded, so that a repeated request gets no rows.
const maxRecordedBytes = 64 << 10

// codeUniqueViolation is the SQLSTATE of the insert of a key that exists already.
const codeUniqueViolation = "23505"

const createRequestsTable = `CREATE TABLE IF NOT EXISTS jacinth_requests (` +
	`team text NOT NULL, request_key text NOT NULL, fingerprint text NOT NULL, frames text NOT NULL, ` +
	`PRIMARY KEY (team, request_key))`

// ensureRequestsTable creates the table of idempotency keys on a primary if it does not exist.
func (t *target) ensureRequestsTable(ctx context.Context) error {
	_, err := t.orders.query(ctx, "SELECT team FROM jacinth_requests WHERE 1 = 0")
	if err == nil || asServerError(err) == nil {
		return err
	}
	_, err = t.orders.query(ctx, createRequestsTable)
	return err
}

// beginPattern matches SQL text whose first statement begins an explicit transaction.
var beginPattern = regexp.MustCompile(`(?i)^\s*(begin|start\s+transaction)\b`)

// requestKey is an idempotency key with the fingerprint of its request.
type requestKey struct {
	team, key   string
	fingerprint uint64
}

// startsWithBegin reports whether the unit's first statement begins an explicit transaction.
func startsWithBegin(u jacinthtiller.Unit) bool {
	for rest := u.Frames; len(rest) >= headerBytes; {
		n := int(binary.BigEndian.Uint32(rest[1:])) + 1
		if n < headerBytes || n > len(rest) {
			return false
		}
		switch body := rest[headerBytes:n]; rest[0] {
		case 'Q':
			return beginPattern.Match(body)
		case 'P':
			if i := bytes.IndexByte(body, 0); i >= 0 {
				return beginPattern.Match(body[i+1:])
			}
		}
		rest = rest[n:]
	}
	return len(u.Prepares) > 0 && beginPattern.MatchString(u.Prepares[0].SQL)
}

// leavesTransactionOpen reports whether the unit begins an explicit transaction and cannot end it.
func leavesTransactionOpen(u jacinthtiller.Unit) bool {
	return startsWithBegin(u) && !mayEndTransaction(u)
}

func quoteLiteral(s string) string {
	return "'" + strings.ReplaceAll(strings.ReplaceAll(s, "\x00", ""), "'", "''") + "'"
}

func (k requestKey) whereClause() string {
	return "team = " + quoteLiteral(k.team) + " AND request_key = " + quoteLiteral(k.key)
}

func (k requestKey) insertStatement(frames []byte) string {
	return "INSERT INTO jacinth_requests (team, request_key, fingerprint, frames) VALUES (" +
		quoteLiteral(k.team) + ", " + quoteLiteral(k.key) + ", " + quoteLiteral(strconv.FormatUint(k.fingerprint, 10)) + ", " +
		quoteLiteral(hex.EncodeToString(frames)) + ")"
}

func keyOf(u jacinthtiller.Unit) requestKey {
	return requestKey{team: u.Team, key: u.Key, fingerprint: u.Fingerprint}
}

// runWithKey runs a unit with a key outside an explicit transaction: the key, the work
// and the recorded answer commit together.
func (r *execution) runWithKey() (jacinthtiller.Result, error) {
	if leavesTransactionOpen(r.unit) {
		return r.runOnConnection() // the unit that ends the transaction carries the key too
	}
	key := keyOf(r.unit)
	// The plan is built before anything is sent, so that a malformed unit leaves no transaction open.
	if err := r.channel.plan.build(r.conn, r.unit, false); err != nil {
		return r.refuseUnsent(err)
	}
	queries := []string{"BEGIN", key.insertStatement(nil)}
	if r.needsReset() {
		queries = append([]string{"DISCARD ALL"}, queries...)
		clear(r.conn.statements)
		r.conn.dirty = false
	}
	r.conn.lastSession = r.unit.Session
	r.positionBefore = r.target.position()
	if err := r.runInternal(queries...); err != nil {
		return r.keyInsertFailed(key, err)
	}
	// The reset may have removed statements that the first plan relied on.
	if err := r.channel.plan.build(r.conn, r.unit, false); err != nil {
		return r.lostConnection(false, err)
	}
	r.withholding = true
	r.inKeyTransaction = true
	x, sent, err := r.roundTrip()
	if err != nil {
		return r.lostConnection(sent && mayEndTransaction(r.unit), err)
	}
	return r.commitWithKey(key, x)
}

// runInternal runs simple queries of the proxy on the unit's connection.
func (r *execution) runInternal(queries ...string) error {
	ok := r.setRunning(r.conn)
	defer r.setRunning(nil)
	if !ok {
		return errors.New("the channel is closed")
	}
	_, err := r.conn.query(r.ctx, queries...)
	return err
}

// commitWithKey records the answer with the key and commits, or rolls back when the unit failed.
func (r *execution) commitWithKey(key requestKey, x *answerReader) (jacinthtiller.Result, error) {
	if x.sqlstate != "" && x.status != 'I' {
		if err := r.runInternal("ROLLBACK"); err != nil {
			return r.lostConnection(false, err)
		}
		x.status = 'I'
		setIdleStatus(r.channel.out)
		return r.complete(x)
	}
	update := "UPDATE jacinth_requests SET frames = " + quoteLiteral(hex.EncodeToString(recordableFrames(r.channel.out))) + " WHERE " + key.whereClause()
	queries := []string{update, "COMMIT"}
	if x.status == 'I' {
		queries = queries[:1] // the unit's own SQL has ended the transaction, which included the key
	}
	if err := r.runInternal(queries...); err != nil {
		if serverErr := asServerError(err); serverErr != nil && x.status != 'I' {
			r.discardConnection()
			return failedResult(r.unit, jacinthtiller.NotRun(serverErr.code, "", "the transaction was rolled back: %s", serverErr.message)), nil
		}
		return r.lostConnection(x.status == 'I' || !sentNothing(err), err)
	}
	x.status = 'I'
	setIdleStatus(r.channel.out)
	return r.complete(x)
}

// setIdleStatus sets the transaction status of a final ReadyForQuery to idle.
func setIdleStatus(frames []byte) {
	if n := len(frames); n >= 6 && frames[n-6] == 'Z' {
		frames[n-1] = 'I'
	}
}

// recordableFrames returns the frames of an answer that are recorded for repeated requests: those that
// describe and hold the result, or only the command tags when the result is longer than maxRecordedBytes.
func recordableFrames(frames []byte) []byte {
	var all, tags []byte
	for rest := frames; len(rest) >= headerBytes; {
		n := int(binary.BigEndian.Uint32(rest[1:])) + 1
		switch rest[0] {
		case 'C', 'I', 's':
			tags = append(tags, rest[:n]...)
			all = append(all, rest[:n]...)
		case 'T', 'D', 'n', 't':
			all = append(all, rest[:n]...)
		}
		rest = rest[n:]
	}
	if len(all) > maxRecordedBytes {
		return tags
	}
	return all
}

// keyInsertFailed ends a unit whose key could not be inserted, either because the key
// exists already or because the target refuses the insert; both prove that the unit did not run.
func (r *execution) keyInsertFailed(key requestKey, cause error) (jacinthtiller.Result, error) {
	serverErr := asServerError(cause)
	if serverErr == nil {
		return r.lostConnection(false, cause)
	}
	if err := r.runInternal("ROLLBACK"); err != nil {
		return r.lostConnection(false, err)
	}
	if serverErr.code != codeUniqueViolation {
		res := failedResult(r.unit, noTargetError(jacinthtiller.ReasonTarget, "target %s refused the idempotency key: %v", r.target.name, cause))
		res.SQLSTATE = serverErr.code
		r.returnResources('I')
		return res, nil
	}
	value, err := r.conn.query(r.ctx, "SELECT fingerprint || ':' || frames FROM jacinth_requests WHERE "+key.whereClause())
	if err != nil {
		return r.lostConnection(false, err)
	}
	p := r.conn.position
	r.target.advancePosition(p)
	r.returnResources('I')
	fingerprint, text, ok := strings.Cut(value, ":")
	switch {
	case !ok:
		return failedResult(r.unit, noTargetError(jacinthtiller.ReasonTarget, "the request that used the key was rolled back")), nil
	case fingerprint != strconv.FormatUint(key.fingerprint, 10):
		return failedResult(r.unit, jacinthtiller.NotRun(jacinthtiller.CodeKeyReused, "", "the idempotency key was used with another request")), nil
	}
	frames, err := hex.DecodeString(text)
	if err == nil && !wholeFrames(frames) {
		err = errors.New("a frame is not whole")
	}
	if err != nil {
		return failedResult(r.unit, jacinthtiller.UnknownOutcome("the recorded answer cannot be read: %v", err)), nil
	}
	return r.answerFromRecord(p, frames)
}

// answerFromRecord answers from the recorded frames once a majority has the commit that wrote them.
func (r *execution) answerFromRecord(p jacinthtiller.Position, frames []byte) (jacinthtiller.Result, error) {
	r.target.emit(event.KeyRepeated, event.Fields{"key": r.unit.Key, "team": r.unit.Team})
	res := jacinthtiller.Result{Outcome: jacinthtiller.OutcomeDone, Position: p, Status: 'I'}
	r.leadership.marks.record(r.unit.Guest, p)
	if err := r.acknowledge(p); err != nil {
		return r.unknownResult(res, err), nil
	}
	r.channel.out = arrangeRecorded(r.unit.Frames, frames)
	if err := r.forwardFrames(); err != nil {
		return res, err
	}
	return res, nil
}

// wholeFrames reports whether b consists of whole frames. Guests can write to the table of keys.
func wholeFrames(b []byte) bool {
	for len(b) >= headerBytes {
		n := int(binary.BigEndian.Uint32(b[1:])) + 1
		if n < headerBytes || n > len(b) {
			return false
		}
		b = b[n:]
	}
	return len(b) == 0
}

// arrangeRecorded turns recorded frames into the answer to the messages of a unit, which may
// prepare or describe statements where the first request did not.
func arrangeRecorded(messages, frames []byte) []byte {
	var out []byte
	copyFrame := func(types string) bool {
		if len(frames) < headerBytes || strings.IndexByte(types, frames[0]) < 0 {
			return false
		}
		n := int(binary.BigEndian.Uint32(frames[1:])) + 1
		out, frames = append(out, frames[:n]...), frames[n:]
		return true
	}
	skip := func(types string) {
		for len(frames) >= headerBytes && strings.IndexByte(types, frames[0]) >= 0 {
			frames = frames[int(binary.BigEndian.Uint32(frames[1:]))+1:]
		}
	}
	for rest := messages; len(rest) >= headerBytes; {
		n := int(binary.BigEndian.Uint32(rest[1:])) + 1
		switch rest[0] {
		case 'P':
			out = append(out, '1', 0, 0, 0, 4)
		case 'B':
			out = append(out, '2', 0, 0, 0, 4)
		case 'C':
			out = append(out, '3', 0, 0, 0, 4)
		case 'D':
			portal := rest[headerBytes] == 'P'
			if portal {
				skip("t")
			}
			if !portal && !copyFrame("t") {
				out = append(out, 't', 0, 0, 0, 6, 0, 0)
			}
			if !copyFrame("Tn") {
				out = append(out, 'n', 0, 0, 0, 4)
			}
		case 'E':
			skip("tTn")
			for copyFrame("D") {
			}
			if !copyFrame("CIs") {
				out = append(out, commitTag...)
			}
		case 'Q':
			if len(frames) == 0 {
				out = append(out, commitTag...)
			}
			for len(frames) >= headerBytes {
				skip("tn")
				if !copyFrame("TDCIs") {
					break
				}
			}
		}
		rest = rest[n:]
	}
	return append(out, 'Z', 0, 0, 0, 5, 'I')
}

// commitTag is CommandComplete of COMMIT.
var commitTag = []byte("C\x00\x00\x00\x0bCOMMIT\x00")

// insertKeyAtEnd inserts the key of a unit that continues an explicit transaction; only the unit
// that ends it has a key. It returns false with the result when the unit must not run.
func (r *execution) insertKeyAtEnd() (res jacinthtiller.Result, proceed bool, err error) {
	if r.leadership == nil || r.unit.Key == "" || r.channel.transaction.keyInserted {
		return res, true, nil
	}
	key := keyOf(r.unit)
	if err := r.runInternal(key.insertStatement(commitTag)); err != nil {
		serverErr := asServerError(err)
		switch {
		case serverErr != nil && serverErr.code == "25P02":
			return res, true, nil // the transaction has already failed; the unit may be its ROLLBACK
		case serverErr != nil && serverErr.code != codeUniqueViolation:
			r.discardConnection()
			return failedResult(r.unit, rolledBackError(serverErr.message)), false, nil
		}
		r.positionBefore = r.target.position()
		res, err = r.keyInsertFailed(key, err)
		return res, false, err
	}
	r.channel.transaction.keyInserted = true
	return res, true, nil
}

// firstWord returns the first word of a query or a tag. Error messages have only this of a query, since the rest may contain
// a guest's data.
func firstWord(sql string) string {
	word, _, _ := strings.Cut(sql, " ")
	return word
}
