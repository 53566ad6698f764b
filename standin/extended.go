package standin

import (
	"context"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement.
type prepared struct {
	// st is nil for an empty statement.
	st *statement
	// oids are the parameters' types; 0 where unknown.
	oids []uint32
	// columns are the result's columns once described; portals keep to them.
	columns []column
}

// portal is a prepared statement with bound values.
type portal struct {
	p       *prepared
	args    []any
	formats []int16
	// result is nil until the portal has run.
	result *result
	sent   int64
}

func (s *session) parse(m *pgproto3.Parse) error {
	if _, ok := s.statements[m.Name]; ok && m.Name != "" {
		return pgErrorf("42P05", "prepared statement %q already exists", m.Name)
	}
	sts, err := parse(m.Query)
	if err != nil {
		return err
	}
	if len(sts) > 1 {
		return pgErrorf("42601", "cannot insert multiple commands into a prepared statement")
	}
	p := &prepared{}
	if len(sts) == 1 {
		p.st = sts[0]
		p.oids = make([]uint32, max(p.st.params, len(m.ParameterOIDs)))
		copy(p.oids, m.ParameterOIDs)
		s.fixBooleans(p.st)
		s.inferTypes(p)
		if s.tx != nil && s.tx.failed && !endsTransaction(p.st) {
			return errFailed
		}
	}
	s.statements[m.Name] = p
	s.b.Send(&pgproto3.ParseComplete{})
	return nil
}

// inferTypes sets the types of parameters that the client left open, from casts and from the columns that they are
// compared with, assigned or inserted to.
func (s *session) inferTypes(p *prepared) {
	for i := range p.oids {
		if p.oids[i] != 0 {
			continue
		}
		at := p.st.param(i + 1)
		if name := p.st.casts[i+1]; name != "" {
			p.oids[i] = oidOf(name)
		} else if p.st.limits(at) != "" {
			p.oids[i] = oidInt8
		} else if c := p.st.columnOf(at); c != "" {
			p.oids[i] = s.columnType(p.st, c)
		}
	}
}

// param returns the place of the parameter's first use, or -1.
func (st *statement) param(n int) int {
	return slices.Index(st.tokens, token{kindParam, strconv.Itoa(n)})
}

// limits returns LIMIT or OFFSET when the token at i is the number of such a clause.
func (st *statement) limits(i int) string {
	if i > 0 && (st.tokens[i-1].is("LIMIT") || st.tokens[i-1].is("OFFSET")) {
		return st.word(i - 1)
	}
	return ""
}

// sample returns values with which a statement can be run to see the columns of its result: NULL, but for the clauses
// in which sqlite refuses NULL.
func (st *statement) sample() []any {
	out := make([]any, st.params)
	for i := range out {
		switch st.limits(st.param(i + 1)) {
		case "LIMIT":
			out[i] = int64(1)
		case "OFFSET":
			out[i] = int64(0)
		}
	}
	if st.now {
		out = append(out, nil)
	}
	return out
}

// comparisons are the symbols of which comparisons are made.
var comparisons = []token{{kindSymbol, "="}, {kindSymbol, "<"}, {kindSymbol, ">"}, {kindSymbol, "!"}}

// columnOf returns the column that the value at token i is compared with, assigned or inserted to, or nothing.
func (st *statement) columnOf(i int) string {
	if i < 0 {
		return ""
	}
	j := i - 1
	for j >= 0 && slices.Contains(comparisons, st.tokens[j]) {
		j--
	}
	if j >= 0 && j < i-1 && (st.tokens[j].kind == kindWord || st.tokens[j].kind == kindQuoted) {
		return st.tokens[j].unquote()
	}
	if st.verb == "INSERT" {
		return st.insertColumn(i)
	}
	return ""
}

// booleans maps the texts of PostgreSQL's booleans to sqlite's.
var booleans = map[string]string{"'t'": "1", "'true'": "1", "'f'": "0", "'false'": "0"}

// fixBooleans turns string literals for boolean columns into the numbers that sqlite tests.
func (s *session) fixBooleans(st *statement) {
	for i, k := range st.tokens {
		n, ok := booleans[strings.ToLower(k.text)]
		if !ok {
			continue
		}
		if c := st.columnOf(i); c != "" && s.columnType(st, c) == oidBool {
			st.replace(i, token{kindNumber, n})
		}
	}
}

// insertColumn returns the column for the value at token i of an INSERT with a list of columns.
func (st *statement) insertColumn(i int) string {
	values := st.find("VALUES")
	if values < 0 || i < values || st.depths[i] != 1 {
		return ""
	}
	n := 0
	for j := i - 1; st.depths[j] > 0; j-- {
		if st.tokens[j].text == "," && st.depths[j] == 1 {
			n++
		}
	}
	for j := range st.tokens[:values] {
		if st.depths[j] != 1 || st.tokens[j].kind == kindSymbol {
			continue
		}
		if n--; n < 0 {
			return st.tokens[j].unquote()
		}
	}
	return ""
}

// columnType returns the type of a column of the tables that the statement names; 0 when it is not clear.
func (s *session) columnType(st *statement, column string) uint32 {
	tables := s.t.tables()
	var out uint32
	for _, k := range st.tokens {
		if k.kind != kindWord && k.kind != kindQuoted {
			continue
		}
		oid, ok := tables[strings.ToLower(k.unquote())][strings.ToLower(column)]
		if ok && out != 0 && oid != out {
			return 0
		}
		if ok {
			out = oid
		}
	}
	return out
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, ok := s.statements[m.PreparedStatement]
	if !ok {
		return pgErrorf("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.oids) {
		return pgErrorf("08P01", "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(p.oids))
	}
	if s.tx != nil && s.tx.failed && p.st != nil && !endsTransaction(p.st) {
		return errFailed
	}
	o := &portal{p: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, src := range m.Parameters {
		v, err := decode(s.types, p.oids[i], formatOf(m.ParameterFormatCodes, i), src)
		if err != nil {
			return err
		}
		o.args = append(o.args, v)
	}
	s.portals[m.DestinationPortal] = o
	s.b.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		return s.describeStatement(m.Name)
	}
	o, ok := s.portals[m.Name]
	if !ok {
		return pgErrorf("34000", "portal %q does not exist", m.Name)
	}
	if o.p.st == nil || !o.p.st.rows {
		s.b.Send(&pgproto3.NoData{})
		return nil
	}
	if o.p.columns == nil {
		if err := s.runPortal(o); err != nil {
			return err
		}
		o.p.columns = o.result.columns
	}
	s.b.Send(rowDescription(o.p.columns, o.formats))
	return nil
}

func (s *session) describeStatement(name string) error {
	p, ok := s.statements[name]
	if !ok {
		return pgErrorf("26000", "prepared statement %q does not exist", name)
	}
	if p.st != nil && p.st.rows && p.columns == nil {
		cs, err := s.columns(p.st)
		if err != nil {
			return err
		}
		p.columns = cs
	}
	oids := append([]uint32(nil), p.oids...)
	s.b.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	if p.st == nil || !p.st.rows {
		s.b.Send(&pgproto3.NoData{})
		return nil
	}
	s.b.Send(rowDescription(p.columns, nil))
	return nil
}

// textCall matches the functions that the target answers itself, all of which return one value.
var textCall = regexp.MustCompile(`^(group_fence|group_promote|group_follow|pg_sleep|pg_backend_pid|pg_is_in_recovery|current_setting)$`)

// callType returns the type of such a function's value.
func callType(name string) uint32 {
	switch name {
	case "pg_backend_pid":
		return oidInt8
	case "pg_is_in_recovery":
		return oidBool
	}
	return oidText
}

// columns finds the columns of a statement's result without running it for its effects. A read runs with NULL for
// each parameter; the columns of RETURNING are read by a query on the table.
func (s *session) columns(st *statement) ([]column, error) {
	if st.verb == "SHOW" {
		return []column{{name: strings.ToLower(st.showName()), oid: oidText}}, nil
	}
	if name, _ := st.call(); textCall.MatchString(name) {
		return []column{{name: name, oid: callType(name)}}, nil
	}
	query := st.sql
	if i := st.find("RETURNING"); i >= 0 {
		query = "SELECT " + join(st.tokens[i+1:]) + " FROM " + st.tableName() + " LIMIT 0"
	}
	if s.tx != nil && s.tx.failed {
		return nil, errFailed
	}
	x, err := s.begun()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(s.t.ctx)
	defer cancel()
	rows, err := x.conn.QueryContext(ctx, query, st.sample()...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	r, err := readRows(rows, 1)
	if err != nil {
		return nil, err
	}
	return r.columns, nil
}

// tableName returns the table that the statement writes.
func (st *statement) tableName() string {
	word := map[string]string{"INSERT": "INTO", "DELETE": "FROM", "UPDATE": "UPDATE"}[st.verb]
	if i := st.find(word); i >= 0 && i+1 < len(st.tokens) {
		return st.tokens[i+1].text
	}
	return ""
}

// join writes tokens as text again. Casts are dropped.
func join(ks []token) string {
	var out []string
	for i := 0; i < len(ks); i++ {
		if ks[i].text == "::" {
			_, n := typeName(ks[i+1:])
			i += n
			continue
		}
		out = append(out, ks[i].text)
	}
	return strings.Join(out, " ")
}

// runPortal runs the portal's statement once.
func (s *session) runPortal(o *portal) error {
	if o.result != nil {
		return nil
	}
	r, err := s.run(o.p.st, o.args)
	if err != nil {
		return err
	}
	if o.p.columns != nil && len(o.p.columns) == len(r.columns) {
		r.columns = o.p.columns
	}
	o.result = r
	return nil
}

func (s *session) execute(m *pgproto3.Execute) error {
	o, ok := s.portals[m.Portal]
	if !ok {
		return pgErrorf("34000", "portal %q does not exist", m.Portal)
	}
	if o.p.st == nil {
		s.b.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if err := s.runPortal(o); err != nil {
		return err
	}
	n := len(o.result.rows)
	if m.MaxRows > 0 {
		n = min(n, int(m.MaxRows))
	}
	more := m.MaxRows > 0 && n == int(m.MaxRows) && len(o.result.rows) > n
	if err := s.sendRows(o.result, o.formats, n); err != nil {
		return err
	}
	o.sent += int64(n)
	switch {
	case more:
		s.b.Send(&pgproto3.PortalSuspended{})
	case o.p.st.rows && !o.p.st.write:
		s.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(o.p.st.tag(o.sent))})
	default:
		s.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(o.result.tag)})
	}
	return nil
}

// sync ends the implicit transaction of the messages since the last Sync.
func (s *session) sync() error {
	s.skip = false
	if err := s.endImplicit(); err != nil {
		s.fail(err)
	}
	if s.tx == nil {
		clear(s.portals)
	}
	return s.ready()
}

var errFailed = pgErrorf("25P02", "current transaction is aborted, commands ignored until end of transaction block")

// endsTransaction reports whether a failed transaction accepts the statement.
func endsTransaction(st *statement) bool {
	switch st.verb {
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return true
	}
	return false
}
