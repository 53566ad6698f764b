package owner

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"regexp"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jacinthtiller/jacinthtiller"
)

// headerBytes is the length of a message header: the type byte and the length field.
const headerBytes = 5

// unusedStatementName is never prepared. Closing it always succeeds, so a Close of it replaces
// a Parse that the connection does not need.
const unusedStatementName = "jacinthtiller_none"

// expectKind is the kind of message that the next frames from the target answer.
type expectKind byte

const (
	expectInternalQuery expectKind = iota // a simple query of the proxy; its answer is not passed on
	expectInternalParse                   // a Parse of the proxy
	expectInternalSync                    // a Sync of the proxy
	expectMarkerParse
	expectMarkerDescribe
	expectMarkerClose
	expectMarkerSync
	expectParse
	expectReplacedParse // a Close in place of the guest's Parse; its CloseComplete is passed on as ParseComplete
	expectBind
	expectDescribeStatement
	expectDescribePortal
	expectExecute
	expectClose
	expectSync
	expectQuery
)

// endsWithReadyForQuery reports whether the answer ends with ReadyForQuery.
func (k expectKind) endsWithReadyForQuery() bool {
	return k == expectInternalQuery || k == expectInternalSync || k == expectMarkerSync || k == expectSync || k == expectQuery
}

func (k expectKind) internal() bool { return k <= expectMarkerSync }

func (k expectKind) marker() bool { return k >= expectMarkerParse && k <= expectMarkerSync }

// expectation is one message sent to the target with its answer outstanding.
type expectation struct {
	kind expectKind
	// name is the statement that the message parses or closes, or the setting that a marker describes.
	name string
	// verb is the first word of a query of the proxy; its CommandComplete has the same one.
	verb string
}

// requestPlan holds the messages that one write sends to a target, and the answers to expect.
type requestPlan struct {
	messages []byte
	expected []expectation
	// hasReset is true when the plan begins with DISCARD ALL.
	hasReset bool
}

// transactionEndPattern matches text that could end an explicit transaction. False positives are acceptable, false
// negatives are not.
var transactionEndPattern = regexp.MustCompile(`(?i)(commit|end|prepare|rollback|abort)`)

// transactionBeginPattern matches text that could begin an explicit transaction, with the same errors allowed.
var transactionBeginPattern = regexp.MustCompile(`(?i)(begin|start)`)

// mayBeginTransaction reports whether the unit could begin an explicit transaction.
func mayBeginTransaction(u jacinthtiller.Unit) bool { return matchesAny(u, transactionBeginPattern) }

// mayEndTransaction reports whether the unit could end an explicit transaction.
func mayEndTransaction(u jacinthtiller.Unit) bool { return matchesAny(u, transactionEndPattern) }

func matchesAny(u jacinthtiller.Unit, pattern *regexp.Regexp) bool {
	for _, s := range u.Prepares {
		if pattern.MatchString(s.SQL) {
			return true
		}
	}
	return pattern.Match(u.Frames)
}

// build fills the plan with the messages that run the unit on the connection. The guest's frames are sent
// unchanged, except for Parse messages of statements that exist on the connection.
func (p *requestPlan) build(c *conn, u jacinthtiller.Unit, reset bool) error {
	p.messages, p.expected, p.hasReset = p.messages[:0], p.expected[:0], reset
	if reset {
		p.addQuery("DISCARD ALL")
	}
	last, err := lastMessageType(u.Frames)
	if err != nil {
		return err
	}
	if err := p.addParses(c, u.Prepares, last == 'Q'); err != nil {
		return err
	}
	for rest := u.Frames; len(rest) > 0; {
		n := int(binary.BigEndian.Uint32(rest[1:])) + 1
		if err := p.addMessage(c, rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return p.addMarker(c)
}

// lastMessageType checks the framing and order of the messages and returns the type of the last one.
func lastMessageType(frames []byte) (byte, error) {
	last := byte(0)
	for rest := frames; len(rest) > 0; {
		if len(rest) < 5 {
			return 0, unsupportedError("a unit ends inside a message")
		}
		n := int(binary.BigEndian.Uint32(rest[1:])) + 1
		if n < 5 || n > len(rest) {
			return 0, unsupportedError("a unit has a message of a wrong length")
		}
		if last == 'Q' || last == 'S' || last != 0 && rest[0] == 'Q' {
			return 0, unsupportedError("a unit mixes a simple query with other messages")
		}
		last = rest[0]
		rest = rest[n:]
	}
	if last != 'Q' && last != 'S' {
		return 0, unsupportedError("a unit does not end in Query or Sync")
	}
	return last, nil
}

func unsupportedError(format string, args ...any) error {
	return jacinthtiller.NotRun(jacinthtiller.CodeNotSupported, "", format, args...)
}

// addParses adds a Parse for each statement that does not exist on the connection. Before a
// simple query a Sync follows them, since a failed Parse would make the target skip the query.
func (p *requestPlan) addParses(c *conn, statements []jacinthtiller.Statement, simple bool) error {
	added := false
	for _, s := range statements {
		if s.Name == "" || p.willBePrepared(c, s.Name) {
			continue
		}
		out, err := (&pgproto3.Parse{Name: s.Name, Query: s.SQL, ParameterOIDs: s.Types}).Encode(p.messages)
		if err != nil {
			return fmt.Errorf("encode Parse: %w", err)
		}
		p.messages = out
		p.expect(expectInternalParse, s.Name)
		added = true
	}
	if added && simple {
		p.messages = append(p.messages, 'S', 0, 0, 0, 4)
		p.expect(expectInternalSync, "")
	}
	return nil
}

func (p *requestPlan) expect(k expectKind, name string) {
	p.expected = append(p.expected, expectation{kind: k, name: name})
}

// addQuery adds a simple query whose answer is not passed on to the guest.
func (p *requestPlan) addQuery(sql string) {
	p.messages = append(p.messages, 'Q')
	p.messages = binary.BigEndian.AppendUint32(p.messages, uint32(len(sql)+5))
	p.messages = append(append(p.messages, sql...), 0)
	p.expected = append(p.expected, expectation{kind: expectInternalQuery, verb: firstWord(sql)})
}

// willBePrepared reports whether the statement will be prepared on the connection after the messages planned so far.
func (p *requestPlan) willBePrepared(c *conn, name string) bool {
	for i := len(p.expected) - 1; i >= 0; i-- {
		if e := p.expected[i]; e.name == name {
			return e.kind != expectClose
		}
	}
	if p.hasReset {
		return false
	}
	_, ok := c.statements[name]
	return ok
}

func (p *requestPlan) addMessage(c *conn, f []byte) error {
	body := f[5:]
	switch f[0] {
	case 'Q':
		p.expect(expectQuery, "")
	case 'P':
		name := cString(body)
		if name != "" && p.willBePrepared(c, name) {
			out, err := (&pgproto3.Close{ObjectType: 'S', Name: unusedStatementName}).Encode(p.messages)
			if err != nil {
				return fmt.Errorf("encode Close: %w", err)
			}
			p.messages = out
			p.expect(expectReplacedParse, name)
			return nil
		}
		p.expect(expectParse, name)
	case 'C':
		name := ""
		if len(body) > 0 && body[0] == 'S' {
			name = cString(body[1:])
		}
		p.expect(expectClose, name)
	case 'B':
		p.expect(expectBind, "")
	case 'D':
		kind := expectDescribePortal
		if len(body) > 0 && body[0] == 'S' {
			kind = expectDescribeStatement
		}
		p.expect(kind, "")
	case 'E':
		p.expect(expectExecute, "")
	case 'S':
		p.expect(expectSync, "")
	case 'H':
	default:
		return unsupportedError("message %q is not supported", f[0])
	}
	p.messages = append(p.messages, f...)
	return nil
}

// cString returns b up to its first zero byte.
func cString(b []byte) string {
	if i := bytes.IndexByte(b, 0); i >= 0 {
		return string(b[:i])
	}
	return string(b)
}
