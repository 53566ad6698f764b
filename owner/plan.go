package owner

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"regexp"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jacinthtiller/jacinthtiller"
)

// headBytes is the length of a message's type and length.
const headBytes = 5

// neverUsed names no statement: Close of it always succeeds and takes the place
// of a Parse that the connection does not need.
const neverUsed = "jacinthtiller_none"

// expectKind says which answer the next frames of the target belong to.
type expectKind byte

const (
	expectHiddenQuery expectKind = iota // a simple query of ours; the answer is not passed on
	expectHiddenParse                   // a Parse of ours
	expectHiddenSync                    // a Sync of ours
	expectParse
	expectReplacedParse // a Close in place of the guest's Parse; CloseComplete becomes ParseComplete
	expectBind
	expectDescribe
	expectExecute
	expectClose
	expectSync
	expectQuery
)

// ends reports whether the answer ends in ReadyForQuery.
func (k expectKind) ends() bool {
	return k == expectHiddenQuery || k == expectHiddenSync || k == expectSync || k == expectQuery
}

func (k expectKind) hidden() bool { return k <= expectHiddenSync }

// expectation is one message sent to the target whose answer is still to come.
type expectation struct {
	kind expectKind
	// name is the statement that the message parses or closes.
	name string
}

// plan is what one write sends to a target, with the answers to expect.
type plan struct {
	out     []byte
	expects []expectation
	// reset is true when the plan begins with DISCARD ALL.
	reset bool
}

// endsTransaction matches text that could end an explicit transaction. It may match too much, never too little.
var endsTransaction = regexp.MustCompile(`(?i)(commit|end|prepare|rollback|abort)`)

// mayEnd reports whether the unit could end an explicit transaction.
func mayEnd(u jacinthtiller.Unit) bool {
	for _, s := range u.Prepares {
		if endsTransaction.MatchString(s.SQL) {
			return true
		}
	}
	return endsTransaction.Match(u.Frames)
}

// lay makes the plan one that runs the unit on the connection. Frames of the guest go to the target
// unchanged but for Parse messages of statements that the connection holds.
func (p *plan) lay(c *conn, u jacinthtiller.Unit, reset bool) error {
	p.out, p.expects, p.reset = p.out[:0], p.expects[:0], reset
	if reset {
		p.query("DISCARD ALL")
	}
	last, err := lastType(u.Frames)
	if err != nil {
		return err
	}
	if err := p.prepare(c, u.Prepares, last == 'Q'); err != nil {
		return err
	}
	for rest := u.Frames; len(rest) > 0; {
		n := int(binary.BigEndian.Uint32(rest[1:])) + 1
		if err := p.add(c, rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// lastType checks the layout of the frames and returns the type of the last one.
func lastType(frames []byte) (byte, error) {
	last := byte(0)
	for rest := frames; len(rest) > 0; {
		if len(rest) < 5 {
			return 0, unsupported("a unit ends inside a message")
		}
		n := int(binary.BigEndian.Uint32(rest[1:])) + 1
		if n < 5 || n > len(rest) {
			return 0, unsupported("a unit has a message of a wrong length")
		}
		if last == 'Q' || last == 'S' || last != 0 && rest[0] == 'Q' {
			return 0, unsupported("a unit mixes a simple query with other messages")
		}
		last = rest[0]
		rest = rest[n:]
	}
	if last != 'Q' && last != 'S' {
		return 0, unsupported("a unit does not end in Query or Sync")
	}
	return last, nil
}

func unsupported(format string, args ...any) error {
	return jacinthtiller.NotRun(jacinthtiller.CodeNotSupported, "", format, args...)
}

// prepare adds a Parse for each statement that the connection lacks. Before a simple
// query they get a Sync of their own, since a failed Parse would make the target skip the query.
func (p *plan) prepare(c *conn, statements []jacinthtiller.Statement, simple bool) error {
	added := false
	for _, s := range statements {
		if s.Name == "" || p.holds(c, s.Name) {
			continue
		}
		out, err := (&pgproto3.Parse{Name: s.Name, Query: s.SQL, ParameterOIDs: s.Types}).Encode(p.out)
		if err != nil {
			return fmt.Errorf("encode Parse: %w", err)
		}
		p.out = out
		p.expect(expectHiddenParse, s.Name)
		added = true
	}
	if added && simple {
		p.out = append(p.out, 'S', 0, 0, 0, 4)
		p.expect(expectHiddenSync, "")
	}
	return nil
}

func (p *plan) expect(k expectKind, name string) {
	p.expects = append(p.expects, expectation{kind: k, name: name})
}

// query adds a simple query of ours.
func (p *plan) query(sql string) {
	p.out = append(p.out, 'Q')
	p.out = binary.BigEndian.AppendUint32(p.out, uint32(len(sql)+5))
	p.out = append(append(p.out, sql...), 0)
	p.expect(expectHiddenQuery, "")
}

// holds reports whether the target will hold the statement once it has run what is planned so far.
func (p *plan) holds(c *conn, name string) bool {
	for i := len(p.expects) - 1; i >= 0; i-- {
		if e := p.expects[i]; e.name == name {
			return e.kind != expectClose
		}
	}
	if p.reset {
		return false
	}
	_, ok := c.statements[name]
	return ok
}

func (p *plan) add(c *conn, f []byte) error {
	body := f[5:]
	switch f[0] {
	case 'Q':
		p.expect(expectQuery, "")
	case 'P':
		name := text(body)
		if name != "" && p.holds(c, name) {
			out, err := (&pgproto3.Close{ObjectType: 'S', Name: neverUsed}).Encode(p.out)
			if err != nil {
				return fmt.Errorf("encode Close: %w", err)
			}
			p.out = out
			p.expect(expectReplacedParse, name)
			return nil
		}
		p.expect(expectParse, name)
	case 'C':
		name := ""
		if len(body) > 0 && body[0] == 'S' {
			name = text(body[1:])
		}
		p.expect(expectClose, name)
	case 'B':
		p.expect(expectBind, "")
	case 'D':
		p.expect(expectDescribe, "")
	case 'E':
		p.expect(expectExecute, "")
	case 'S':
		p.expect(expectSync, "")
	case 'H':
	default:
		return unsupported("message %q is not supported", f[0])
	}
	p.out = append(p.out, f...)
	return nil
}

// text returns the string up to the first zero byte.
func text(b []byte) string {
	if i := bytes.IndexByte(b, 0); i >= 0 {
		return string(b[:i])
	}
	return string(b)
}

// exchange follows the answers to one plan.
type exchange struct {
	c       *conn
	expects []expectation
	// at is the expectation that the next frame belongs to; the exchange is over at the end of expects.
	at int
	// answered is true once the simple query at hand has got a command's end or an error;
	// a ReadyForQuery before that belongs to something else.
	answered bool
	// failed is the SQLSTATE of the first ErrorResponse that the guest sees.
	failed string
	// status is the transaction status of the last ReadyForQuery.
	status byte
}

var parseComplete = []byte{'1', 0, 0, 0, 4}

func (x *exchange) over() bool { return x.at >= len(x.expects) }

// next reads one frame, keeps the books and returns the frame as the guest shall
// see it; nil when it is not for the guest. An error means that the connection is in doubt.
func (x *exchange) next() ([]byte, error) {
	typ, f, err := x.c.next()
	if err != nil {
		return nil, err
	}
	if x.over() {
		return nil, fmt.Errorf("message %q from target after the end of the answer", typ)
	}
	e := x.expects[x.at]
	switch typ {
	case 'S':
		show, err := x.c.parameter(f)
		if err != nil || !show || e.kind.hidden() {
			return nil, err
		}
		return f, nil
	case 'N':
		if e.kind.hidden() {
			return nil, nil
		}
		return f, nil
	case 'A':
		return nil, nil
	case 'E':
		return x.fail(e, f)
	case 'Z':
		return x.ready(e, f)
	}
	if e.kind == expectHiddenQuery {
		return nil, x.hiddenQuery(typ)
	}
	return x.answer(e, typ, f)
}

// hiddenQuery checks the answer to a reset.
func (x *exchange) hiddenQuery(typ byte) error {
	switch typ {
	case 'C':
		clear(x.c.statements)
		x.c.dirty, x.answered = false, true
	case 'T', 'D', 'I':
	default:
		return fmt.Errorf("unexpected message %q in the answer to a reset", typ)
	}
	return nil
}

// fail skips the expectations up to the next ReadyForQuery, as the protocol says.
func (x *exchange) fail(e expectation, f []byte) ([]byte, error) {
	err := targetError(f)
	if e.kind == expectHiddenQuery {
		return nil, fmt.Errorf("reset connection: %w", err)
	}
	r := asRefusal(err)
	if r == nil {
		return nil, err
	}
	x.answered = true
	for !x.expects[x.at].kind.ends() {
		x.at++
	}
	if r.code == "26000" || r.code == "42P05" {
		x.c.dirty = true // the target holds other statements than the books say
	}
	if x.expects[x.at].kind == expectHiddenSync {
		return nil, nil
	}
	if x.failed == "" {
		x.failed = r.code
	}
	return f, nil
}

func (x *exchange) ready(e expectation, f []byte) ([]byte, error) {
	query := e.kind == expectQuery || e.kind == expectHiddenQuery
	if !e.kind.ends() || query && !x.answered || len(f) != 6 {
		return nil, errors.New("ReadyForQuery before the answers that were expected")
	}
	x.at++
	x.answered = false
	x.status = f[5]
	if e.kind.hidden() {
		return nil, nil
	}
	return f, nil
}

// answer checks a frame against the message that it answers.
func (x *exchange) answer(e expectation, typ byte, f []byte) ([]byte, error) {
	show, done, ok := f, true, false
	switch typ {
	case '1':
		ok = e.kind == expectParse || e.kind == expectHiddenParse
		if ok && e.name != "" {
			x.c.statements[e.name] = struct{}{}
		}
		if e.kind == expectHiddenParse {
			show = nil
		}
	case '2':
		ok = e.kind == expectBind
	case '3':
		ok = e.kind == expectClose || e.kind == expectReplacedParse
		if e.kind == expectReplacedParse {
			show = parseComplete
		} else if ok {
			delete(x.c.statements, e.name)
		}
	case 't':
		ok, done = e.kind == expectDescribe, false
	case 'n':
		ok = e.kind == expectDescribe
	case 'T':
		ok, done = e.kind == expectDescribe || e.kind == expectQuery, e.kind == expectDescribe
	case 'D':
		ok, done = e.kind == expectExecute || e.kind == expectQuery, false
	case 'C':
		ok, done = e.kind == expectExecute || e.kind == expectQuery, e.kind == expectExecute
		x.answered = true
		x.command(text(f[5:]))
	case 'I':
		x.answered = true
		ok, done = e.kind == expectExecute || e.kind == expectQuery, e.kind == expectExecute
	case 's':
		ok = e.kind == expectExecute
	}
	if !ok {
		return nil, fmt.Errorf("unexpected message %q from target", typ)
	}
	if done {
		x.at++
	}
	return show, nil
}

// command notes the commands that change which statements the target holds.
func (x *exchange) command(tag string) {
	switch tag {
	case "DISCARD ALL", "DEALLOCATE ALL":
		clear(x.c.statements)
	case "DEALLOCATE", "PREPARE":
		x.c.dirty = true
	}
}
