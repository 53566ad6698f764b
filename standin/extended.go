package standin

import (
	"context"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

type preparedStatement struct {
	// statement is nil for an empty statement.
	statement *parsedStatement
	// paramOIDs are the types of the parameters; 0 for an unknown type.
	paramOIDs []uint32
	// columns are the columns of the result once described; results of portals use the same columns.
	columns []column
}

// portal is a prepared statement with bound values.
type portal struct {
	prepared    *preparedStatement
	boundValues []any
	formats     []int16
	// result is nil until the portal has run.
	result   *result
	sentRows int64
}

func (s *session) parse(m *pgproto3.Parse) error {
	if _, ok := s.preparedStatements[m.Name]; ok && m.Name != "" {
		return pgErrorf("42P05", "prepared statement %q already exists", m.Name)
	}
	sts, err := parseStatements(m.Query)
	if err != nil {
		return err
	}
	if len(sts) > 1 {
		return pgErrorf("42601", "cannot insert multiple commands into a prepared statement")
	}
	p := &preparedStatement{}
	if len(sts) == 1 {
		p.statement = sts[0]
		p.paramOIDs = make([]uint32, max(p.statement.paramCount, len(m.ParameterOIDs)))
		copy(p.paramOIDs, m.ParameterOIDs)
		s.rewriteBooleanLiterals(p.statement)
		s.inferTypes(p)
		if s.tx != nil && s.tx.failed && !endsTransaction(p.statement) {
			return errTransactionFailed
		}
	}
	s.preparedStatements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// inferTypes sets the parameter types that the client did not specify, from casts, from LIMIT and OFFSET, and from the
// columns that the parameters are compared with, assigned to or inserted into.
func (s *session) inferTypes(p *preparedStatement) {
	for i := range p.paramOIDs {
		if p.paramOIDs[i] != 0 {
			continue
		}
		at := p.statement.paramIndex(i + 1)
		if name := p.statement.paramCasts[i+1]; name != "" {
			p.paramOIDs[i] = oidForTypeName(name)
		} else if p.statement.limitKeyword(at) != "" {
			p.paramOIDs[i] = oidInt8
		} else if c := p.statement.columnForValue(at); c != "" {
			p.paramOIDs[i] = s.columnType(p.statement, c)
		}
	}
}

// paramIndex returns the index of the first token that uses parameter n, or -1.
func (st *parsedStatement) paramIndex(n int) int {
	return slices.Index(st.tokens, token{kindParam, strconv.Itoa(n)})
}

// limitKeyword returns LIMIT or OFFSET when the token at i is the argument of such a clause.
func (st *parsedStatement) limitKeyword(i int) string {
	if i > 0 && (st.tokens[i-1].isKeyword("LIMIT") || st.tokens[i-1].isKeyword("OFFSET")) {
		return st.keyword(i - 1)
	}
	return ""
}

// describeValues returns parameter values for a run that only determines the columns of the result: NULL, except in the
// clauses in which SQLite refuses NULL.
func (st *parsedStatement) describeValues() []any {
	out := make([]any, st.paramCount)
	for i := range out {
		switch st.limitKeyword(st.paramIndex(i + 1)) {
		case "LIMIT":
			out[i] = int64(1)
		case "OFFSET":
			out[i] = int64(0)
		}
	}
	if st.usesCurrentTime {
		out = append(out, nil)
	}
	return out
}

// comparisonSymbols are the symbols that comparison operators consist of.
var comparisonSymbols = []token{{kindSymbol, "="}, {kindSymbol, "<"}, {kindSymbol, ">"}, {kindSymbol, "!"}}

// columnForValue returns the column that the value at token i is compared with, assigned to or inserted into, or ""
// when there is none.
func (st *parsedStatement) columnForValue(i int) string {
	if i < 0 {
		return ""
	}
	j := i - 1
	for j >= 0 && slices.Contains(comparisonSymbols, st.tokens[j]) {
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

// booleanLiterals maps PostgreSQL's boolean literals to SQLite's integers.
var booleanLiterals = map[string]string{"'t'": "1", "'true'": "1", "'f'": "0", "'false'": "0"}

// rewriteBooleanLiterals replaces string literals for boolean columns by the integers that SQLite evaluates as
// booleans.
func (s *session) rewriteBooleanLiterals(st *parsedStatement) {
	for i, k := range st.tokens {
		n, ok := booleanLiterals[strings.ToLower(k.text)]
		if !ok {
			continue
		}
		if c := st.columnForValue(i); c != "" && s.columnType(st, c) == oidBool {
			st.replaceToken(i, token{kindNumber, n})
		}
	}
}

// insertColumn returns the column for the value at token i of an INSERT with a column list.
func (st *parsedStatement) insertColumn(i int) string {
	valuesIndex := st.keywordIndex("VALUES")
	if valuesIndex < 0 || i < valuesIndex || st.parenDepths[i] != 1 {
		return ""
	}
	n := 0
	for j := i - 1; st.parenDepths[j] > 0; j-- {
		if st.tokens[j].text == "," && st.parenDepths[j] == 1 {
			n++
		}
	}
	for j := range st.tokens[:valuesIndex] {
		if st.parenDepths[j] != 1 || st.tokens[j].kind == kindSymbol {
			continue
		}
		if n--; n < 0 {
			return st.tokens[j].unquote()
		}
	}
	return ""
}

// columnType returns the type of a column of the tables that the statement names; 0 when it is unknown or ambiguous.
func (s *session) columnType(st *parsedStatement, column string) uint32 {
	types := s.target.columnTypes()
	var out uint32
	for _, k := range st.tokens {
		if k.kind != kindWord && k.kind != kindQuoted {
			continue
		}
		oid, ok := types[strings.ToLower(k.unquote())][strings.ToLower(column)]
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
	p, ok := s.preparedStatements[m.PreparedStatement]
	if !ok {
		return pgErrorf("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.paramOIDs) {
		return pgErrorf("08P01", "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(p.paramOIDs))
	}
	if s.tx != nil && s.tx.failed && p.statement != nil && !endsTransaction(p.statement) {
		return errTransactionFailed
	}
	bound := &portal{prepared: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, src := range m.Parameters {
		v, err := decodeParam(s.typeMap, p.paramOIDs[i], formatCode(m.ParameterFormatCodes, i), src)
		if err != nil {
			return err
		}
		bound.boundValues = append(bound.boundValues, v)
	}
	s.portals[m.DestinationPortal] = bound
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		return s.describeStatement(m.Name)
	}
	bound, ok := s.portals[m.Name]
	if !ok {
		return pgErrorf("34000", "portal %q does not exist", m.Name)
	}
	if bound.prepared.statement == nil || !bound.prepared.statement.returnsRows {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	if bound.prepared.columns == nil {
		if err := s.runPortal(bound); err != nil {
			return err
		}
		bound.prepared.columns = bound.result.columns
	}
	s.backend.Send(rowDescription(bound.prepared.columns, bound.formats))
	return nil
}

func (s *session) describeStatement(name string) error {
	p, ok := s.preparedStatements[name]
	if !ok {
		return pgErrorf("26000", "prepared statement %q does not exist", name)
	}
	if p.statement != nil && p.statement.returnsRows && p.columns == nil {
		cs, err := s.describeColumns(p.statement)
		if err != nil {
			return err
		}
		p.columns = cs
	}
	oids := append([]uint32(nil), p.paramOIDs...)
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	if p.statement == nil || !p.statement.returnsRows {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(p.columns, nil))
	return nil
}

// builtinFunctionPattern matches the functions that the target evaluates itself, each of which returns one value.
var builtinFunctionPattern = regexp.MustCompile(`^(group_fence|group_promote|group_follow|pg_sleep|pg_backend_pid|pg_is_in_recovery|current_setting)$`)

// builtinResultOID returns the result type of such a function.
func builtinResultOID(name string) uint32 {
	switch name {
	case "pg_backend_pid":
		return oidInt8
	case "pg_is_in_recovery":
		return oidBool
	}
	return oidText
}

// describeColumns determines the columns of a statement's result without applying its effects. A read runs with the
// values of describeValues; the columns of RETURNING are determined by a query on the table.
func (s *session) describeColumns(st *parsedStatement) ([]column, error) {
	if st.verb == "SHOW" {
		return []column{{name: strings.ToLower(st.shownSetting()), oid: oidText}}, nil
	}
	if name, _ := st.functionCall(); builtinFunctionPattern.MatchString(name) {
		return []column{{name: name, oid: builtinResultOID(name)}}, nil
	}
	query := st.sql
	if i := st.keywordIndex("RETURNING"); i >= 0 {
		query = "SELECT " + joinTokens(st.tokens[i+1:]) + " FROM " + st.writtenTable() + " LIMIT 0"
	}
	if s.tx != nil && s.tx.failed {
		return nil, errTransactionFailed
	}
	x, err := s.connectTransaction()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(s.target.ctx)
	defer cancel()
	rows, err := x.conn.QueryContext(ctx, query, st.describeValues()...)
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

// writtenTable returns the table that the statement writes.
func (st *parsedStatement) writtenTable() string {
	word := map[string]string{"INSERT": "INTO", "DELETE": "FROM", "UPDATE": "UPDATE"}[st.verb]
	if i := st.keywordIndex(word); i >= 0 && i+1 < len(st.tokens) {
		return st.tokens[i+1].text
	}
	return ""
}

// joinTokens returns the tokens as SQL text, without casts.
func joinTokens(ks []token) string {
	var out []string
	for i := 0; i < len(ks); i++ {
		if ks[i].text == "::" {
			_, n := parseTypeName(ks[i+1:])
			i += n
			continue
		}
		out = append(out, ks[i].text)
	}
	return strings.Join(out, " ")
}

// runPortal runs the portal's statement unless it has already run.
func (s *session) runPortal(bound *portal) error {
	if bound.result != nil {
		return nil
	}
	r, err := s.runStatement(bound.prepared.statement, bound.boundValues)
	if err != nil {
		return err
	}
	if bound.prepared.columns != nil && len(bound.prepared.columns) == len(r.columns) {
		r.columns = bound.prepared.columns
	}
	bound.result = r
	return nil
}

func (s *session) execute(m *pgproto3.Execute) error {
	bound, ok := s.portals[m.Portal]
	if !ok {
		return pgErrorf("34000", "portal %q does not exist", m.Portal)
	}
	if bound.prepared.statement == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if err := s.runPortal(bound); err != nil {
		return err
	}
	n := len(bound.result.pendingRows)
	if m.MaxRows > 0 {
		n = min(n, int(m.MaxRows))
	}
	more := m.MaxRows > 0 && n == int(m.MaxRows) && len(bound.result.pendingRows) > n
	if err := s.sendRows(bound.result, bound.formats, n); err != nil {
		return err
	}
	bound.sentRows += int64(n)
	switch {
	case more:
		s.backend.Send(&pgproto3.PortalSuspended{})
	case bound.prepared.statement.returnsRows && !bound.prepared.statement.isWrite:
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(bound.prepared.statement.commandTag(bound.sentRows))})
	default:
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(bound.result.tag)})
	}
	return nil
}

// sync ends the implicit transaction of the messages since the last Sync.
func (s *session) sync() error {
	s.skipUntilSync = false
	if err := s.commitImplicit(); err != nil {
		s.reportError(err)
	}
	if s.tx == nil {
		clear(s.portals)
	}
	return s.sendReady()
}

var errTransactionFailed = pgErrorf("25P02", "current transaction is aborted, commands ignored until end of transaction block")

// endsTransaction reports whether a failed transaction accepts the statement.
func endsTransaction(st *parsedStatement) bool {
	switch st.verb {
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return true
	}
	return false
}
