package session

import (
	"strings"
	"unicode/utf8"

	"github.com/jacinthtiller/jacinthtiller"
)

// verb is the kind of a statement, as far as the session treats kinds differently.
type verb byte

const (
	verbOther verb = iota
	verbEmpty
	verbRead // SELECT, WITH, TABLE, VALUES, SHOW
	verbBegin
	verbCommit
	verbRollback
	verbLocal // answered by the session, see classification.command
)

// classification is what the session needs to know about one SQL text.
type classification struct {
	verb verb
	// access is AccessRead when a replica may be tried.
	access jacinthtiller.Access
	// repeatable is true for a read that calls only well-known functions, so that running it twice
	// changes nothing even on the primary.
	repeatable bool
	// statements is the number of statements.
	statements int
	// commits is true when any statement ends a transaction with COMMIT, END or PREPARE TRANSACTION.
	commits bool
	// begins is true when any statement begins a transaction.
	begins bool
	// refusal is set when a statement cannot run through pooled connections.
	refusal *pgError
	command *command
	// readClass and idempotencyKey come from leading comments.
	readClass, idempotencyKey string
	// sql is the text with the comments that are meant for the session replaced by spaces, which keeps
	// character positions.
	sql string
}

// classify scans an SQL text. It does not parse: a statement that it does not recognize counts as a write.
func classify(sql string) classification {
	c := &classifier{classification: classification{sql: sql, access: jacinthtiller.AccessRead, repeatable: true}}
	c.lexer = lexer{sql: sql, comment: c.directive}
	for {
		t := c.lexer.next()
		if t.kind == tokenEnd {
			break
		}
		if t.isPunct(';') || (t.isPunct('(') && !c.inStatement) {
			continue
		}
		c.readStatement(t)
	}
	return c.finish()
}

// classifier is the state of one call of classify.
type classifier struct {
	classification
	lexer lexer
	// inStatement is true from the first token of a statement that is not an opening parenthesis.
	inStatement bool
	// firstVerb is the verb of the first statement.
	firstVerb verb
}

func (c *classifier) finish() classification {
	if c.statements == 0 {
		c.verb, c.repeatable = verbEmpty, false
		return c.classification
	}
	c.verb = c.firstVerb
	if c.statements > 1 {
		c.access, c.repeatable = jacinthtiller.AccessWrite, false
		if c.command != nil && c.refusal == nil {
			c.refusal = newUnsupportedError("statements that the proxy answers cannot be combined with others in one message",
				"Send the statement alone.")
		}
	}
	return c.classification
}

// readStatement reads one statement that begins with t, up to its semicolon.
func (c *classifier) readStatement(t token) {
	c.statements++
	c.inStatement = true
	words := &statementWords{}
	first := t
	for ; t.kind != tokenEnd && !t.isPunct(';'); t = c.lexer.next() {
		words.add(t)
	}
	c.inStatement = false
	v := c.statementVerb(first, words)
	if c.statements == 1 {
		c.firstVerb = v
	}
	if v != verbRead || words.modifies {
		c.access = jacinthtiller.AccessWrite
	}
	if v == verbBegin && words.readOnly {
		c.access = jacinthtiller.AccessRead
	}
	c.repeatable = c.repeatable && c.access == jacinthtiller.AccessRead && !words.callsUnknown
	if pgErr := words.refusal(); pgErr != nil && c.refusal == nil {
		c.refusal = pgErr
	}
}

// statementVerb returns the verb of a statement and records whether it begins or commits a transaction.
func (c *classifier) statementVerb(first token, w *statementWords) verb {
	if first.kind != tokenWord {
		return verbOther
	}
	if w.readCommand(c) {
		return verbLocal
	}
	switch strings.ToLower(first.text) {
	case "select", "with", "table", "values", "show":
		return verbRead
	case "begin":
		c.begins = true
		return verbBegin
	case "start":
		if w.second.is("transaction") {
			c.begins = true
			return verbBegin
		}
	case "commit", "end":
		c.commits = true
		if w.second.is("prepared") {
			return verbOther
		}
		return verbCommit
	case "prepare":
		c.commits = c.commits || w.second.is("transaction")
	case "rollback", "abort":
		if w.hasTo || w.second.is("prepared") {
			return verbOther
		}
		return verbRollback
	}
	return verbOther
}

// directive handles a comment. Comments before the first token may hold settings for the session.
func (c *classifier) directive(start, end int) {
	if c.statements > 0 || c.inStatement {
		return
	}
	text := c.lexer.sql[start:end]
	if !strings.HasPrefix(text, "/*") || !strings.HasSuffix(text, "*/") || len(text) < 4 {
		return
	}
	name, value, ok := strings.Cut(text[2:len(text)-2], ":")
	if !ok {
		return
	}
	value = strings.TrimSpace(value)
	switch settingName(strings.TrimSpace(name)) {
	case "read-class":
		c.readClass = value
	case "idempotency-key":
		c.idempotencyKey = value
	default:
		return
	}
	// One space per character keeps the character positions in the target's errors right.
	blank := strings.Repeat(" ", utf8.RuneCountInString(text))
	c.sql = c.sql[:start+len(c.sql)-len(c.lexer.sql)] + blank + c.sql[end+len(c.sql)-len(c.lexer.sql):]
}

// safeCallWords are words before an opening parenthesis that call nothing, or only a function that changes nothing.
var safeCallWords = func() map[string]bool {
	out := map[string]bool{}
	for w := range strings.FieldsSeq(`select from where and or not in as on using over partition by values exists any all some
		case when then else union except intersect distinct filter within group order limit offset join lateral with
		materialized recursive like ilike between is having cast
		abs array_agg avg bool_and bool_or ceil char_length coalesce concat count date_part date_trunc exp extract floor
		greatest json_agg jsonb_agg json_build_object jsonb_build_object least left length lower ltrim max min mod
		now nullif position power rank replace right round row row_number rtrim sqrt string_agg substr substring sum
		to_char to_date to_timestamp trim trunc upper varchar char numeric decimal timestamp interval`) {
		out[w] = true
	}
	return out
}()
