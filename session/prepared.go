package session

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jacinthtiller/jacinthtiller"
)

// closePlaceholder is the statement name sent in Close: the target does not know the guest's own name,
// and closing a name that does not exist is no error.
const closePlaceholder = "jt_closed"

// statement is a guest's prepared statement.
type statement struct {
	class classification
	types []uint32
	// name is the statement's name on targets' connections.
	name string
}

func newStatement(c classification, types []uint32) *statement {
	var d xxhash.Digest
	d.Reset()
	hashString(&d, c.sql)
	hashTypes(&d, types)
	return &statement{class: c, types: slices.Clone(types), name: fmt.Sprintf("jt_%016x_%x", d.Sum64(), len(c.sql))}
}

func (st *statement) unitStatement() jacinthtiller.Statement {
	return jacinthtiller.Statement{Name: st.name, SQL: st.class.sql, Types: st.types}
}

func (st *statement) equal(o *statement) bool {
	return st.class.sql == o.class.sql && slices.Equal(st.types, o.types)
}

// hashString adds s with its length, so that two strings never hash like their concatenation.
func hashString(d *xxhash.Digest, s string) {
	var size [8]byte
	_, _ = d.Write(binary.BigEndian.AppendUint64(size[:0], uint64(len(s))))
	_, _ = d.WriteString(s)
}

func hashTypes(d *xxhash.Digest, types []uint32) {
	for _, t := range types {
		var b [4]byte
		_, _ = d.Write(binary.BigEndian.AppendUint32(b[:0], t))
	}
}

// parseMessage is a Parse message in the frames of a request.
type parseMessage struct {
	name      string
	statement *statement
	// repeated is true when the session added the message and the guest must not see its answer.
	repeated bool
}

// add puts one message of the extended protocol into the request.
func (q *request) add(s *session, kind byte, body []byte) *pgError {
	q.sizeBytes += len(body)
	if q.sizeBytes > s.server.limits.messageBytes {
		return newPgError(codeTooLarge, "messages before Sync exceed %d bytes", s.server.limits.messageBytes)
	}
	switch kind {
	case 'P':
		return q.parse(s, body)
	case 'B':
		return q.bind(s, body)
	case 'D':
		return q.describe(s, body)
	case 'C':
		return q.close(body)
	case 'E':
		return q.execute(body)
	}
	return newFatalError(codeProtocol, "invalid message type %q", kind)
}

// lookup finds a statement by the guest's name; inRequest is true when this request prepared it.
func (q *request) lookup(s *session, name string) (st *statement, inRequest bool) {
	if st, ok := q.nameChanges[name]; ok {
		return st, true
	}
	return s.statements[name], false
}

func (q *request) setName(name string, st *statement) {
	if q.nameChanges == nil {
		q.nameChanges = map[string]*statement{}
	}
	q.nameChanges[name] = st
}

func (q *request) parse(s *session, body []byte) *pgError {
	var m pgproto3.Parse
	if err := m.Decode(body); err != nil {
		return newFatalError(codeProtocol, "invalid Parse message")
	}
	if st, _ := q.lookup(s, m.Name); m.Name != "" && st != nil {
		return newPgError(codeDuplicateStatement, "prepared statement %q already exists", m.Name)
	}
	if len(s.statements) >= s.server.limits.statements && m.Name != "" {
		return newPgError(codeTooLarge, "more than %d prepared statements", s.server.limits.statements)
	}
	c := classify(m.Query)
	if c.refusal != nil {
		return c.refusal
	}
	st := newStatement(c, m.ParameterOIDs)
	q.setName(m.Name, st)
	q.appendParse(m.Name, st, false)
	q.addSQL(&st.class, false)
	q.messages = append(q.messages, extendedMessage{kind: 'P', statement: st})
	return nil
}

// appendParse prepares st as the unnamed statement of the target's connection. It needs no name there,
// because later requests name it in Unit.Prepares.
func (q *request) appendParse(name string, st *statement, repeated bool) {
	m := pgproto3.Parse{Query: st.class.sql, ParameterOIDs: st.types}
	q.frames = encode(q.frames, &m)
	q.parses = append(q.parses, parseMessage{name: name, statement: st, repeated: repeated})
	q.unnamed = st
}

// targetName returns the statement and its name on the target, and makes sure that it exists there.
func (q *request) targetName(s *session, name string) (*statement, string, *pgError) {
	st, inRequest := q.lookup(s, name)
	if st == nil {
		return nil, "", newPgError(codeNoStatement, "prepared statement %q does not exist", name)
	}
	if inRequest {
		if q.unnamed != st {
			q.appendParse(name, st, true)
		}
		return st, "", nil
	}
	for _, p := range q.referenced {
		if p.name == st.name {
			if !p.equal(st) {
				return nil, "", newPgError(codeNoStatement, "prepared statement %q must be prepared again", name)
			}
			return st, st.name, nil
		}
	}
	q.referenced = append(q.referenced, st)
	return st, st.name, nil
}

func (q *request) bind(s *session, body []byte) *pgError {
	portal, rest, ok := cutString(body)
	name, rest, ok2 := cutString(rest)
	if !ok || !ok2 || (&pgproto3.Bind{}).Decode(body) != nil {
		return newFatalError(codeProtocol, "invalid Bind message")
	}
	st, target, pgErr := q.targetName(s, name)
	if pgErr != nil {
		return pgErr
	}
	q.frames = appendFrame(q.frames, 'B', cString(portal), cString(target), rest)
	q.addSQL(&st.class, true)
	q.hash(&st.class, st.types, rest)
	q.messages = append(q.messages, extendedMessage{kind: 'B', statement: st, portal: portal})
	q.executes = true
	return nil
}

func (q *request) describe(s *session, body []byte) *pgError {
	if len(body) < 2 {
		return newFatalError(codeProtocol, "invalid Describe message")
	}
	name, rest, ok := cutString(body[1:])
	if !ok || len(rest) > 0 || (body[0] != 'S' && body[0] != 'P') {
		return newFatalError(codeProtocol, "invalid Describe message")
	}
	if body[0] == 'P' {
		q.frames = appendFrame(q.frames, 'D', body)
		q.messages = append(q.messages, extendedMessage{kind: 'D', portal: name, ofPortal: true})
		q.executes = true
		return nil
	}
	st, target, pgErr := q.targetName(s, name)
	if pgErr != nil {
		return pgErr
	}
	q.frames = appendFrame(q.frames, 'D', body[:1], cString(target))
	q.addSQL(&st.class, false)
	q.messages = append(q.messages, extendedMessage{kind: 'D', statement: st})
	return nil
}

func (q *request) close(body []byte) *pgError {
	if len(body) < 2 {
		return newFatalError(codeProtocol, "invalid Close message")
	}
	name, rest, ok := cutString(body[1:])
	if !ok || len(rest) > 0 || (body[0] != 'S' && body[0] != 'P') {
		return newFatalError(codeProtocol, "invalid Close message")
	}
	q.messages = append(q.messages, extendedMessage{kind: 'C'})
	if body[0] == 'P' {
		q.frames = appendFrame(q.frames, 'C', body)
		return nil
	}
	q.setName(name, nil)
	q.closesStatements = true
	q.frames = appendFrame(q.frames, 'C', body[:1], cString(closePlaceholder))
	return nil
}

func (q *request) execute(body []byte) *pgError {
	portal, rest, ok := cutString(body)
	if !ok || len(rest) != 4 {
		return newFatalError(codeProtocol, "invalid Execute message")
	}
	q.frames = appendFrame(q.frames, 'E', body)
	q.hashBytes(body)
	q.messages = append(q.messages, extendedMessage{kind: 'E', portal: portal})
	q.executes = true
	return nil
}

// cString returns s with the zero byte that ends a string in a message.
func cString(s string) []byte { return append([]byte(s), 0) }

// updateStatements stores the statements whose Parse the target answered, and deletes the closed ones.
func (s *session) updateStatements(q *request, answered int) {
	for _, p := range q.parses[:min(answered, len(q.parses))] {
		if !p.repeated {
			s.setStatement(p.name, p.statement)
		}
	}
	if q.closesStatements {
		for name, st := range q.nameChanges {
			if st == nil {
				delete(s.statements, name)
			}
		}
	}
}

func (s *session) setStatement(name string, st *statement) {
	if s.statements == nil {
		s.statements = map[string]*statement{}
	}
	s.statements[name] = st
}
