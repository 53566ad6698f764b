package owner

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// maxRecordedBytes bounds the frames recorded for one key. Of a larger answer only
// the command tags are recorded, so that a resend gets no rows.
const maxRecordedBytes = 64 << 10

// codeUniqueViolation is the SQLSTATE of a key that is already there.
const codeUniqueViolation = "23505"

const createRequestsTable = `CREATE TABLE IF NOT EXISTS jacinth_requests (` +
	`team text NOT NULL, request_key text NOT NULL, fingerprint text NOT NULL, frames text NOT NULL, ` +
	`PRIMARY KEY (team, request_key))`

// createRequests makes the table of idempotency keys exist on a primary.
func (t *target) createRequests(ctx context.Context) error {
	_, err := t.orders.query(ctx, "SELECT team FROM jacinth_requests WHERE 1 = 0")
	if err == nil || asServerError(err) == nil {
		return err
	}
	_, err = t.orders.query(ctx, createRequestsTable)
	return err
}

// beginsBlock matches a text that begins with the start of an explicit transaction.
var beginsBlock = regexp.MustCompile(`(?i)^\s*(begin|start\s+transaction)\b`)

// requestKey is an idempotency key with the request that it was given for.
type requestKey struct {
	team, key   string
	fingerprint uint64
}

// opensBlock reports whether the unit begins with the start of an explicit transaction.
func opensBlock(u jacinthtiller.Unit) bool {
	for rest := u.Frames; len(rest) >= headerBytes; {
		n := int(binary.BigEndian.Uint32(rest[1:])) + 1
		if n < headerBytes || n > len(rest) {
			return false
		}
		switch body := rest[headerBytes:n]; rest[0] {
		case 'Q':
			return beginsBlock.Match(body)
		case 'P':
			if i := bytes.IndexByte(body, 0); i >= 0 {
				return beginsBlock.Match(body[i+1:])
			}
		}
		rest = rest[n:]
	}
	return len(u.Prepares) > 0 && beginsBlock.MatchString(u.Prepares[0].SQL)
}

// startsBlock reports whether the unit opens an explicit transaction and leaves it open.
func startsBlock(u jacinthtiller.Unit) bool { return opensBlock(u) && !mayEndTransaction(u) }

func quote(s string) string {
	return "'" + strings.ReplaceAll(strings.ReplaceAll(s, "\x00", ""), "'", "''") + "'"
}

func (k requestKey) where() string {
	return "team = " + quote(k.team) + " AND request_key = " + quote(k.key)
}

func (k requestKey) insert(frames []byte) string {
	return "INSERT INTO jacinth_requests (team, request_key, fingerprint, frames) VALUES (" +
		quote(k.team) + ", " + quote(k.key) + ", " + quote(strconv.FormatUint(k.fingerprint, 10)) + ", " +
		quote(hex.EncodeToString(frames)) + ")"
}

func keyOf(u jacinthtiller.Unit) requestKey {
	return requestKey{team: u.Team, key: u.Key, fingerprint: u.Fingerprint}
}

// keyed runs a unit with a key outside an explicit transaction: the key, the work
// and the recorded answer commit together.
func (r *run) keyed() (jacinthtiller.Result, error) {
	if startsBlock(r.u) {
		return r.exchange() // the unit that ends the transaction brings the key again
	}
	key := keyOf(r.u)
	// The layout is checked before anything is sent, so that an error of the unit leaves no block open.
	if err := r.h.plan.build(r.conn, r.u, false); err != nil {
		return r.refuseUnsent(err)
	}
	script := []string{"BEGIN", key.insert(nil)}
	if r.needsReset() {
		script = append([]string{"DISCARD ALL"}, script...)
		clear(r.conn.statements)
		r.conn.dirty = false
	}
	r.conn.lastSession = r.u.Session
	r.before = r.t.position()
	if err := r.own(script...); err != nil {
		return r.keyRefused(key, err)
	}
	// The reset may have removed statements that the first layout counted on.
	if err := r.h.plan.build(r.conn, r.u, false); err != nil {
		return r.lostConnection(false, err)
	}
	r.held = true
	r.wrapped = true
	x, sent, err := r.talk()
	if err != nil {
		return r.lostConnection(sent && mayEndTransaction(r.u), err)
	}
	return r.record(key, x)
}

// own runs simple queries of ours on the unit's connection.
func (r *run) own(script ...string) error {
	ok := r.setRunning(r.conn)
	defer r.setRunning(nil)
	if !ok {
		return errors.New("the channel is closed")
	}
	return r.conn.script(r.ctx, script...)
}

// record commits the key with the answer, or rolls back when the unit failed.
func (r *run) record(key requestKey, x *answerReader) (jacinthtiller.Result, error) {
	if x.sqlstate != "" && x.status != 'I' {
		if err := r.own("ROLLBACK"); err != nil {
			return r.lostConnection(false, err)
		}
		x.status = 'I'
		endStatus(r.h.out)
		return r.finish(x)
	}
	update := "UPDATE jacinth_requests SET frames = " + quote(hex.EncodeToString(recorded(r.h.out))) + " WHERE " + key.where()
	script := []string{update, "COMMIT"}
	if x.status == 'I' {
		script = script[:1] // the unit's own text has ended the transaction, and the key with it
	}
	if err := r.own(script...); err != nil {
		if refused := asServerError(err); refused != nil && x.status != 'I' {
			r.end()
			return failed(r.u, jacinthtiller.NotRun(refused.code, "", "the transaction was rolled back: %s", refused.message)), nil
		}
		return r.lostConnection(true, err)
	}
	x.status = 'I'
	endStatus(r.h.out)
	return r.finish(x)
}

// endStatus makes the ReadyForQuery at the end of the frames say that no transaction is open.
func endStatus(frames []byte) {
	if n := len(frames); n >= 6 && frames[n-6] == 'Z' {
		frames[n-1] = 'I'
	}
}

// recorded returns the part of an answer that is kept for resends: what describes and
// holds the result, or only the command tags when that is too long.
func recorded(frames []byte) []byte {
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

// keyRefused ends a unit whose key could not be inserted: because it is there
// already, or because the target refuses the insert, which proves that nothing ran.
func (r *run) keyRefused(key requestKey, cause error) (jacinthtiller.Result, error) {
	refused := asServerError(cause)
	if refused == nil {
		return r.lostConnection(false, cause)
	}
	if err := r.own("ROLLBACK"); err != nil {
		return r.lostConnection(false, err)
	}
	if refused.code != codeUniqueViolation {
		res := failed(r.u, noTargetError(jacinthtiller.ReasonTarget, "target %s refused the idempotency key: %v", r.t.name, cause))
		res.Failed = refused.code
		r.giveBack('I')
		return res, nil
	}
	value, err := r.conn.query(r.ctx, "SELECT fingerprint || ':' || frames FROM jacinth_requests WHERE "+key.where())
	if err != nil {
		return r.lostConnection(false, err)
	}
	p := r.conn.position
	r.t.advancePosition(p)
	r.giveBack('I')
	fingerprint, text, ok := strings.Cut(value, ":")
	switch {
	case !ok:
		return failed(r.u, noTargetError(jacinthtiller.ReasonTarget, "the request that used the key was rolled back")), nil
	case fingerprint != strconv.FormatUint(key.fingerprint, 10):
		return failed(r.u, jacinthtiller.NotRun(jacinthtiller.CodeKeyReused, "", "the idempotency key was used with another request")), nil
	}
	frames, err := hex.DecodeString(text)
	if err != nil {
		return failed(r.u, jacinthtiller.Unknown("the recorded answer cannot be read: %v", err)), nil
	}
	return r.repeat(p, frames)
}

// repeat answers from the recorded frames once the commit that wrote them is settled.
func (r *run) repeat(p jacinthtiller.Position, frames []byte) (jacinthtiller.Result, error) {
	r.t.emit(event.KeyRepeated, event.Fields{"key": r.u.Key, "team": r.u.Team})
	res := jacinthtiller.Result{Outcome: jacinthtiller.OutcomeDone, Position: p, Status: 'I'}
	r.lead.marks.record(r.u.Guest, p)
	if err := r.acknowledge(p); err != nil {
		return r.unknown(res, err), nil
	}
	r.h.out = replay(r.u.Frames, frames)
	if err := r.pass(); err != nil {
		return res, err
	}
	return res, nil
}

// replay lays recorded frames out as the answer to the messages of a unit, which may
// prepare or describe statements where the first request did not.
func replay(messages, frames []byte) []byte {
	var out []byte
	take := func(types string) bool {
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
			if !portal && !take("t") {
				out = append(out, 't', 0, 0, 0, 6, 0, 0)
			}
			if !take("Tn") {
				out = append(out, 'n', 0, 0, 0, 4)
			}
		case 'E':
			skip("tTn")
			for take("D") {
			}
			if !take("CIs") {
				out = append(out, commitTag...)
			}
		case 'Q':
			if len(frames) == 0 {
				out = append(out, commitTag...)
			}
			for len(frames) >= headerBytes {
				skip("tn")
				if !take("TDCIs") {
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

// keyAtEnd inserts the key that comes with a unit of an explicit transaction, which
// is the one that ends it. It returns false with the result when the unit must not run.
func (r *run) keyAtEnd() (res jacinthtiller.Result, goOn bool, err error) {
	if r.lead == nil || r.u.Key == "" || r.h.block.keyed {
		return res, true, nil
	}
	key := keyOf(r.u)
	if err := r.own(key.insert(commitTag)); err != nil {
		refused := asServerError(err)
		switch {
		case refused != nil && refused.code == "25P02":
			return res, true, nil // the transaction has failed already; the unit may be its ROLLBACK
		case refused != nil && refused.code != codeUniqueViolation:
			r.end()
			return failed(r.u, rolledBackBy(refused.message)), false, nil
		}
		r.before = r.t.position()
		res, err = r.keyRefused(key, err)
		return res, false, err
	}
	r.h.block.keyed = true
	return res, true, nil
}

// script runs simple queries sent in one write. It reads all answers and returns the first refusal.
func (c *conn) script(ctx context.Context, script ...string) error {
	defer context.AfterFunc(ctx, c.interrupt)()
	p := requestPlan{}
	for _, s := range script {
		p.addQuery(s)
	}
	if _, err := c.nc.Write(p.messages); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	var first error
	for i := 0; i < len(script); {
		typ, f, err := c.readFrame()
		if err != nil {
			return err
		}
		switch typ {
		case 'S':
			if _, err := c.handleParameterStatus(f); err != nil {
				return err
			}
		case 'E':
			if first == nil {
				first = fmt.Errorf("%s: %w", verb(script[i]), decodeErrorResponse(f))
			}
		case 'Z':
			i++
		}
	}
	return first
}

// verb returns the first word of a query, since the rest may be a guest's data.
func verb(sql string) string {
	word, _, _ := strings.Cut(sql, " ")
	return word
}
