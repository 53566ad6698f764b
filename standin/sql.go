package standin

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// parsedStatement is one SQL statement, classified and rewritten for SQLite.
type parsedStatement struct {
	// verb is the word that determines the command tag, in upper case.
	verb string
	// tokens are the statement's tokens without spaces and comments.
	tokens []token
	// parenDepths holds, for each token, the number of parentheses open before it.
	parenDepths []int
	// sourceTokens are the tokens, with spaces, from which sql is generated.
	sourceTokens []token
	// sql is the text for SQLite.
	sql string
	// isWrite is true when the statement changes data or takes locks.
	isWrite     bool
	returnsRows bool
	// paramCount is the highest number of a parameter that the client must bind.
	paramCount int
	// usesCurrentTime is true when sql has one parameter more than paramCount, bound to the current time.
	usesCurrentTime bool
	// paramCasts maps a parameter's number to the type that it is cast to.
	paramCasts map[int]string
}

// parseStatements splits SQL into statements. Empty statements are dropped.
func parseStatements(sql string) ([]*parsedStatement, error) {
	all, err := tokenize(sql)
	if err != nil {
		return nil, fmt.Errorf("scan statement: %w", err)
	}
	var out []*parsedStatement
	for len(all) > 0 {
		n := slices.Index(all, token{kindSymbol, ";"})
		part := all
		if n >= 0 {
			part, all = all[:n], all[n+1:]
		} else {
			all = nil
		}
		st, err := parseStatement(part)
		if err != nil {
			return nil, fmt.Errorf("parse statement: %w", err)
		}
		if st != nil {
			out = append(out, st)
		}
	}
	return out, nil
}

func parseStatement(all []token) (*parsedStatement, error) {
	st := &parsedStatement{paramCasts: map[int]string{}}
	for _, k := range all {
		if k.kind != kindSpace {
			st.tokens = append(st.tokens, k)
		}
		if k.kind == kindParam {
			n, err := strconv.Atoi(k.text)
			if err != nil || n < 1 || n > 65535 {
				return nil, pgErrorf("42P02", "there is no parameter $%s", k.text)
			}
			st.paramCount = max(st.paramCount, n)
		}
	}
	if len(st.tokens) == 0 {
		return nil, nil
	}
	st.countParenDepths()
	if err := st.classify(); err != nil {
		return nil, err
	}
	st.sourceTokens = st.cutLockClause(all)
	st.sql = st.sqliteText(st.sourceTokens)
	return st, nil
}

// replaceToken replaces token i and regenerates sql.
func (st *parsedStatement) replaceToken(i int, k token) {
	n := -1
	for j := range st.sourceTokens {
		if st.sourceTokens[j].kind != kindSpace {
			n++
		}
		if n == i {
			st.tokens[i], st.sourceTokens[j] = k, k
			break
		}
	}
	st.sql = st.sqliteText(st.sourceTokens)
}

// dataVerbs maps each verb that SQLite runs to whether it writes.
var dataVerbs = map[string]bool{
	"SELECT": false, "VALUES": false, "TABLE": false, "EXPLAIN": false,
	"INSERT": true, "UPDATE": true, "DELETE": true, "CREATE": true, "DROP": true, "ALTER": true,
	"TRUNCATE": true, "LOCK": true,
}

// sessionVerbs are the verbs of the statements that the session handles itself.
var sessionVerbs = []string{
	"BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SET", "SHOW", "RESET", "DISCARD", "DEALLOCATE",
}

func (st *parsedStatement) classify() error {
	first := st.tokens[0]
	if first.kind == kindSymbol && first.text == "(" {
		first = token{kindWord, "SELECT"}
	}
	st.verb = strings.ToUpper(first.text)
	if st.verb == "WITH" {
		st.verb = st.mainVerb()
	}
	w, data := dataVerbs[st.verb]
	switch {
	case data:
		st.isWrite = w
		st.returnsRows = !w || st.keywordIndex("RETURNING") >= 0
	case slices.Contains(sessionVerbs, st.verb):
		st.returnsRows = st.verb == "SHOW"
	case slices.Contains([]string{"COPY", "LISTEN", "NOTIFY", "UNLISTEN", "SAVEPOINT", "RELEASE", "PREPARE", "EXECUTE"}, st.verb):
		return pgErrorf("0A000", "%s is not supported", st.verb)
	default:
		return pgErrorf("42601", "syntax error at or near %q", first.text)
	}
	return nil
}

// mainVerb returns the verb that follows the common table expressions of WITH.
func (st *parsedStatement) mainVerb() string {
	for i := range st.tokens {
		if _, ok := dataVerbs[strings.ToUpper(st.tokens[i].text)]; ok && st.parenDepths[i] == 0 {
			return strings.ToUpper(st.tokens[i].text)
		}
	}
	return "SELECT"
}

func (st *parsedStatement) countParenDepths() {
	d := 0
	for _, k := range st.tokens {
		if k == (token{kindSymbol, ")"}) {
			d--
		}
		st.parenDepths = append(st.parenDepths, d)
		if k == (token{kindSymbol, "("}) {
			d++
		}
	}
}

// keywordIndex returns the index of the word outside parentheses, or -1.
func (st *parsedStatement) keywordIndex(word string) int {
	for i, k := range st.tokens {
		if k.isKeyword(word) && st.parenDepths[i] == 0 {
			return i
		}
	}
	return -1
}

// keyword returns token i in upper case, or "" when it is not an unquoted word.
func (st *parsedStatement) keyword(i int) string {
	if i >= len(st.tokens) || st.tokens[i].kind != kindWord {
		return ""
	}
	return strings.ToUpper(st.tokens[i].text)
}

// hasPrefix reports whether the statement begins with the words.
func (st *parsedStatement) hasPrefix(words ...string) bool {
	for i, w := range words {
		if st.keyword(i) != w {
			return false
		}
	}
	return true
}

// cutLockClause removes FOR UPDATE and similar clauses from a SELECT, which then acquires the write lock.
func (st *parsedStatement) cutLockClause(all []token) []token {
	if st.verb != "SELECT" {
		return all
	}
	for i := len(all) - 1; i >= 0; i-- {
		if !all[i].isKeyword("FOR") {
			continue
		}
		for _, k := range all[i+1:] {
			if k.isKeyword("UPDATE") || k.isKeyword("SHARE") {
				st.isWrite = true
				return all[:i]
			}
		}
	}
	return all
}

// sqliteText returns the text for SQLite: parameters, casts, the current time, serial types and schema names differ.
func (st *parsedStatement) sqliteText(all []token) string {
	var out []string
	lastPiece := -1 // the index in out of the last piece that is not space
	for i := 0; i < len(all); i++ {
		k := all[i]
		piece := k.text
		switch {
		case k.kind == kindParam:
			piece = "?" + k.text
		case k.kind == kindSymbol && k.text == "::":
			name, n := parseTypeName(all[i+1:])
			i += n
			if lastPiece >= 0 {
				out[lastPiece] = st.castExpr(out[lastPiece], name)
			}
			continue
		case k.kind == kindString && byteaPattern.MatchString(k.unquote()):
			piece = "X'" + k.unquote()[2:] + "'" // a bytea literal; SQLite would keep it as text
		case k.isKeyword("public") && i+1 < len(all) && all[i+1].text == ".":
			i++
			continue
		case k.isKeyword("now") && i+2 < len(all) && all[i+1].text == "(" && all[i+2].text == ")":
			i += 2
			piece = st.currentTimeExpr()
		case k.isKeyword("CURRENT_TIMESTAMP"):
			piece = st.currentTimeExpr()
		case k.isKeyword("ILIKE"):
			piece = "LIKE"
		case st.verb == "CREATE" && (k.isKeyword("SERIAL") || k.isKeyword("BIGSERIAL")):
			piece = "INTEGER"
		}
		out = append(out, piece)
		if k.kind != kindSpace {
			lastPiece = len(out) - 1
		}
	}
	sql := strings.TrimSpace(strings.Join(out, ""))
	switch st.verb {
	case "TRUNCATE":
		sql = strings.TrimSpace(sql[len("TRUNCATE"):])
		if st.keyword(1) == "TABLE" {
			sql = sql[len("TABLE"):]
		}
		return "DELETE FROM " + sql
	case "TABLE":
		return "SELECT * FROM " + sql[len("TABLE"):]
	}
	return sql
}

// currentTimeExpr returns the expression for the current time. The time is a bound value, so that replicas apply the
// same one.
func (st *parsedStatement) currentTimeExpr() string {
	if st.verb == "CREATE" || st.verb == "ALTER" {
		return "CURRENT_TIMESTAMP"
	}
	st.usesCurrentTime = true
	return fmt.Sprintf("?%d", st.paramCount+1)
}

// parseTypeName returns the name of the type after "::" and the number of its tokens.
func parseTypeName(rest []token) (string, int) {
	n := 0
	for n < len(rest) && rest[n].kind == kindSpace {
		n++
	}
	if n == len(rest) {
		return "", n
	}
	name := strings.ToLower(rest[n].unquote())
	n++
	if name == "double" || name == "character" {
		n += min(2, len(rest)-n)
	}
	if n < len(rest) && rest[n].text == "(" {
		if end := slices.Index(rest[n:], token{kindSymbol, ")"}); end >= 0 {
			n += end + 1
		}
	}
	return name, n
}

// castExpr returns the piece before "::" cast to a type, and records the type of a parameter. A cast of an expression
// in parentheses is dropped.
func (st *parsedStatement) castExpr(piece, name string) string {
	if p, ok := strings.CutPrefix(piece, "?"); ok {
		if n, err := strconv.Atoi(p); err == nil && n <= st.paramCount {
			st.paramCasts[n] = name
		}
	}
	if piece == ")" || piece == "" {
		return piece
	}
	switch oidForTypeName(name) {
	case oidInt8:
		return "CAST(" + piece + " AS INTEGER)"
	case oidFloat8:
		return "CAST(" + piece + " AS REAL)"
	case oidText:
		return "CAST(" + piece + " AS TEXT)"
	}
	return piece
}

// functionCall returns the name and the arguments of a statement of the form SELECT f(...), or "" for any other.
func (st *parsedStatement) functionCall() (string, []token) {
	n := len(st.tokens)
	if !st.hasPrefix("SELECT") || n < 4 || st.tokens[1].kind != kindWord || st.tokens[2].text != "(" || st.tokens[n-1].text != ")" {
		return "", nil
	}
	var arguments []token
	for _, k := range st.tokens[3 : n-1] {
		if k.kind == kindParam || k.kind == kindNumber || k.kind == kindString {
			arguments = append(arguments, k)
		}
	}
	return strings.ToLower(st.tokens[1].text), arguments
}

// commandTag returns the command tag for a statement that returned or changed n rows.
func (st *parsedStatement) commandTag(n int64) string {
	switch st.verb {
	case "SELECT", "VALUES", "TABLE":
		return fmt.Sprintf("SELECT %d", n)
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", n)
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", st.verb, n)
	case "TRUNCATE", "LOCK":
		return st.verb + " TABLE"
	case "CREATE", "DROP", "ALTER":
		for _, k := range st.tokens[1:] {
			if w := strings.ToUpper(k.text); w == "TABLE" || w == "INDEX" || w == "VIEW" || w == "TRIGGER" {
				return st.verb + " " + w
			}
		}
	}
	return st.verb
}
