package standin

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// The kinds of tokens.
const (
	kindSpace  = ' '
	kindWord   = 'w'
	kindQuoted = 'q'
	kindString = 's'
	kindNumber = 'n'
	kindParam  = 'p'
	kindSymbol = 'o'
)

type token struct {
	kind byte
	text string
}

// is reports whether the token is the unquoted word w, which is in upper case.
func (k token) is(w string) bool { return k.kind == kindWord && strings.EqualFold(k.text, w) }

// statement is one SQL statement, classified and rewritten for sqlite.
type statement struct {
	// verb is the word that decides the command tag, in upper case.
	verb string
	// tokens are the statement's tokens without spaces and comments.
	tokens []token
	// depths holds, for each token, the number of parentheses open before it.
	depths []int
	// all are the tokens from which sql is made.
	all []token
	// sql is the text for sqlite.
	sql string
	// write is true when the statement changes data or takes locks.
	write bool
	// rows is true when the statement returns rows.
	rows bool
	// params is the highest number of a parameter that the client must bind.
	params int
	// now is true when sql has one parameter more than params, which takes the current time.
	now bool
	// casts maps a parameter's number to the type that the text gives it.
	casts map[int]string
}

// scan splits SQL into tokens.
func scan(s string) ([]token, error) {
	var out []token
	for len(s) > 0 {
		k, n, err := next(s)
		if err != nil {
			return nil, err
		}
		out = append(out, k)
		s = s[n:]
	}
	return out, nil
}

// next reads the first token of s and returns how many bytes it takes.
func next(s string) (token, int, error) {
	switch c := s[0]; {
	case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f':
		return token{kindSpace, " "}, 1, nil
	case strings.HasPrefix(s, "--"):
		if n := strings.IndexByte(s, '\n'); n >= 0 {
			return token{kindSpace, " "}, n + 1, nil
		}
		return token{kindSpace, " "}, len(s), nil
	case strings.HasPrefix(s, "/*"):
		n := strings.Index(s, "*/")
		if n < 0 {
			return token{}, 0, pgErrorf("42601", "unterminated comment")
		}
		return token{kindSpace, " "}, n + 2, nil
	case c == '\'' || c == '"':
		return quoted(s, c)
	case (c == 'e' || c == 'E') && len(s) > 1 && s[1] == '\'':
		return escaped(s)
	case c == '$':
		return dollar(s)
	case c >= '0' && c <= '9':
		n := strings.IndexFunc(s, func(r rune) bool { return !isDigit(r) && r != '.' && r != 'e' && r != 'E' })
		if n < 0 {
			n = len(s)
		}
		return token{kindNumber, s[:n]}, n, nil
	case isWord(rune(c)):
		n := strings.IndexFunc(s, func(r rune) bool { return !isWord(r) && !isDigit(r) })
		if n < 0 {
			n = len(s)
		}
		return token{kindWord, s[:n]}, n, nil
	case strings.HasPrefix(s, "::"):
		return token{kindSymbol, "::"}, 2, nil
	default:
		return token{kindSymbol, s[:1]}, 1, nil
	}
}

func isDigit(r rune) bool { return r >= '0' && r <= '9' }

func isWord(r rune) bool {
	return r == '_' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= 0x80
}

// quoted reads a string literal or a quoted identifier, in which a doubled quote stands for one.
func quoted(s string, q byte) (token, int, error) {
	for i := 1; i < len(s); i++ {
		if s[i] != q {
			continue
		}
		if i+1 < len(s) && s[i+1] == q {
			i++
			continue
		}
		kind := byte(kindString)
		if q == '"' {
			kind = kindQuoted
		}
		return token{kind, s[:i+1]}, i + 1, nil
	}
	return token{}, 0, pgErrorf("42601", "unterminated quoted string")
}

// escaped reads a literal of the form E'...' and writes it without escapes.
func escaped(s string) (token, int, error) {
	var b strings.Builder
	for i := 2; i < len(s); i++ {
		switch {
		case s[i] == '\'' && i+1 < len(s) && s[i+1] == '\'':
			b.WriteByte('\'')
			i++
		case s[i] == '\'':
			return token{kindString, literal(b.String())}, i + 1, nil
		case s[i] == '\\' && i+1 < len(s):
			i++
			if n := strings.IndexByte("ntrbf", s[i]); n >= 0 {
				b.WriteByte("\n\t\r\b\f"[n])
			} else {
				b.WriteByte(s[i])
			}
		default:
			b.WriteByte(s[i])
		}
	}
	return token{}, 0, pgErrorf("42601", "unterminated quoted string")
}

// dollar reads a parameter such as $1 or a dollar-quoted string.
func dollar(s string) (token, int, error) {
	n := 1
	for n < len(s) && isDigit(rune(s[n])) {
		n++
	}
	if n > 1 {
		return token{kindParam, s[1:n]}, n, nil
	}
	end := strings.IndexByte(s[1:], '$')
	if end < 0 {
		return token{}, 0, pgErrorf("42601", "syntax error at or near \"$\"")
	}
	tag := s[:end+2]
	body := strings.Index(s[len(tag):], tag)
	if body < 0 {
		return token{}, 0, pgErrorf("42601", "unterminated dollar-quoted string")
	}
	return token{kindString, literal(s[len(tag) : len(tag)+body])}, 2*len(tag) + body, nil
}

func literal(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// unquote returns the value of a string literal or the name in a quoted identifier.
func (k token) unquote() string {
	switch k.kind {
	case kindString:
		return strings.ReplaceAll(k.text[1:len(k.text)-1], "''", "'")
	case kindQuoted:
		return strings.ReplaceAll(k.text[1:len(k.text)-1], `""`, `"`)
	}
	return k.text
}

// parse splits SQL into statements. Empty statements are dropped.
func parse(sql string) ([]*statement, error) {
	all, err := scan(sql)
	if err != nil {
		return nil, fmt.Errorf("scan statement: %w", err)
	}
	var out []*statement
	for len(all) > 0 {
		n := slices.Index(all, token{kindSymbol, ";"})
		part := all
		if n >= 0 {
			part, all = all[:n], all[n+1:]
		} else {
			all = nil
		}
		st, err := newStatement(part)
		if err != nil {
			return nil, fmt.Errorf("parse statement: %w", err)
		}
		if st != nil {
			out = append(out, st)
		}
	}
	return out, nil
}

func newStatement(all []token) (*statement, error) {
	st := &statement{casts: map[int]string{}}
	for _, k := range all {
		if k.kind != kindSpace {
			st.tokens = append(st.tokens, k)
		}
		if k.kind == kindParam {
			n, err := strconv.Atoi(k.text)
			if err != nil || n < 1 || n > 65535 {
				return nil, pgErrorf("42P02", "there is no parameter $%s", k.text)
			}
			st.params = max(st.params, n)
		}
	}
	if len(st.tokens) == 0 {
		return nil, nil
	}
	st.countDepths()
	if err := st.classify(); err != nil {
		return nil, err
	}
	st.all = st.lockClause(all)
	st.sql = st.rewrite(st.all)
	return st, nil
}

// replace changes token i.
func (st *statement) replace(i int, k token) {
	n := -1
	for j := range st.all {
		if st.all[j].kind != kindSpace {
			n++
		}
		if n == i {
			st.tokens[i], st.all[j] = k, k
			break
		}
	}
	st.sql = st.rewrite(st.all)
}

// dataVerbs maps each verb that sqlite runs to whether it writes.
var dataVerbs = map[string]bool{
	"SELECT": false, "VALUES": false, "TABLE": false, "EXPLAIN": false,
	"INSERT": true, "UPDATE": true, "DELETE": true, "CREATE": true, "DROP": true, "ALTER": true,
	"TRUNCATE": true, "LOCK": true,
}

// sessionVerbs are the statements that the session handles itself.
var sessionVerbs = []string{
	"BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SET", "SHOW", "RESET", "DISCARD", "DEALLOCATE",
}

func (st *statement) classify() error {
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
		st.write = w
		st.rows = !w || st.find("RETURNING") >= 0
	case slices.Contains(sessionVerbs, st.verb):
		st.rows = st.verb == "SHOW"
	case slices.Contains([]string{"COPY", "LISTEN", "NOTIFY", "UNLISTEN", "SAVEPOINT", "RELEASE", "PREPARE", "EXECUTE"}, st.verb):
		return pgErrorf("0A000", "%s is not supported", st.verb)
	default:
		return pgErrorf("42601", "syntax error at or near %q", first.text)
	}
	return nil
}

// mainVerb finds the verb that follows the common table expressions of WITH.
func (st *statement) mainVerb() string {
	for i := range st.tokens {
		if _, ok := dataVerbs[strings.ToUpper(st.tokens[i].text)]; ok && st.depths[i] == 0 {
			return strings.ToUpper(st.tokens[i].text)
		}
	}
	return "SELECT"
}

func (st *statement) countDepths() {
	d := 0
	for _, k := range st.tokens {
		if k == (token{kindSymbol, ")"}) {
			d--
		}
		st.depths = append(st.depths, d)
		if k == (token{kindSymbol, "("}) {
			d++
		}
	}
}

// find returns the place of the word outside parentheses, or -1.
func (st *statement) find(word string) int {
	for i, k := range st.tokens {
		if k.is(word) && st.depths[i] == 0 {
			return i
		}
	}
	return -1
}

// word returns token i in upper case, or nothing when there is none.
func (st *statement) word(i int) string {
	if i >= len(st.tokens) || st.tokens[i].kind != kindWord {
		return ""
	}
	return strings.ToUpper(st.tokens[i].text)
}

// has reports whether the statement begins with the words.
func (st *statement) has(words ...string) bool {
	for i, w := range words {
		if st.word(i) != w {
			return false
		}
	}
	return true
}

// lockClause cuts FOR UPDATE and its kind from a SELECT, which then takes the write lock.
func (st *statement) lockClause(all []token) []token {
	if st.verb != "SELECT" {
		return all
	}
	for i := len(all) - 1; i >= 0; i-- {
		if !all[i].is("FOR") {
			continue
		}
		for _, k := range all[i+1:] {
			if k.is("UPDATE") || k.is("SHARE") {
				st.write = true
				return all[:i]
			}
		}
	}
	return all
}

// rewrite returns the text for sqlite: parameters, casts, the current time, serial types and schema names differ.
func (st *statement) rewrite(all []token) string {
	var out []string
	last := -1 // the place in out of the newest piece that is not space
	for i := 0; i < len(all); i++ {
		k := all[i]
		piece := k.text
		switch {
		case k.kind == kindParam:
			piece = "?" + k.text
		case k.kind == kindSymbol && k.text == "::":
			name, n := typeName(all[i+1:])
			i += n
			if last >= 0 {
				out[last] = st.cast(out[last], name)
			}
			continue
		case k.kind == kindString && byteaText.MatchString(k.unquote()):
			piece = "X'" + k.unquote()[2:] + "'" // a bytea literal; sqlite would keep it as text
		case k.is("public") && i+1 < len(all) && all[i+1].text == ".":
			i++
			continue
		case k.is("now") && i+2 < len(all) && all[i+1].text == "(" && all[i+2].text == ")":
			i += 2
			piece = st.time()
		case k.is("CURRENT_TIMESTAMP"):
			piece = st.time()
		case k.is("ILIKE"):
			piece = "LIKE"
		case st.verb == "CREATE" && (k.is("SERIAL") || k.is("BIGSERIAL")):
			piece = "INTEGER"
		}
		out = append(out, piece)
		if k.kind != kindSpace {
			last = len(out) - 1
		}
	}
	sql := strings.TrimSpace(strings.Join(out, ""))
	switch st.verb {
	case "TRUNCATE":
		sql = strings.TrimSpace(sql[len("TRUNCATE"):])
		if st.word(1) == "TABLE" {
			sql = sql[len("TABLE"):]
		}
		return "DELETE FROM " + sql
	case "TABLE":
		return "SELECT * FROM " + sql[len("TABLE"):]
	}
	return sql
}

// time returns the expression for the current time. It is a bound value so that replicas apply the same one.
func (st *statement) time() string {
	if st.verb == "CREATE" || st.verb == "ALTER" {
		return "CURRENT_TIMESTAMP"
	}
	st.now = true
	return fmt.Sprintf("?%d", st.params+1)
}

// typeName reads the type after "::" and returns how many tokens it takes.
func typeName(rest []token) (string, int) {
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

// cast applies a type to the piece before "::". A cast of an expression in parentheses is dropped.
func (st *statement) cast(piece, name string) string {
	if p, ok := strings.CutPrefix(piece, "?"); ok {
		if n, err := strconv.Atoi(p); err == nil && n <= st.params {
			st.casts[n] = name
		}
	}
	if piece == ")" || piece == "" {
		return piece
	}
	switch oidOf(name) {
	case oidInt8:
		return "CAST(" + piece + " AS INTEGER)"
	case oidFloat8:
		return "CAST(" + piece + " AS REAL)"
	case oidText:
		return "CAST(" + piece + " AS TEXT)"
	}
	return piece
}

// call returns the name and the arguments of a statement of the form SELECT f(...), or no name.
func (st *statement) call() (string, []token) {
	n := len(st.tokens)
	if !st.has("SELECT") || n < 4 || st.tokens[1].kind != kindWord || st.tokens[2].text != "(" || st.tokens[n-1].text != ")" {
		return "", nil
	}
	var args []token
	for _, k := range st.tokens[3 : n-1] {
		if k.kind == kindParam || k.kind == kindNumber || k.kind == kindString {
			args = append(args, k)
		}
	}
	return strings.ToLower(st.tokens[1].text), args
}

// tag returns the command tag for a statement that touched n rows.
func (st *statement) tag(n int64) string {
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
