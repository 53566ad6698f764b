package session

import (
	"strings"
)

// tokenKind is the kind of a token of SQL.
type tokenKind byte

const (
	tokenEnd     tokenKind = iota
	tokenWord              // an unquoted word or a number
	tokenIdent             // a quoted identifier, text without the quotes
	tokenString            // a string constant with doubled quotes, text without the outer quotes
	tokenEscaped           // a string constant with backslash escapes, text without the quotes and still escaped
	tokenDollar            // a dollar-quoted string constant, text without the quotes
	tokenPunct             // one byte of punctuation
)

// token is one token; text is a part of the scanned SQL.
type token struct {
	kind tokenKind
	text string
	// end is the offset after the token.
	end int
}

// is reports whether t is the unquoted word, given in lower case.
func (t token) is(word string) bool {
	return t.kind == tokenWord && len(t.text) == len(word) && strings.EqualFold(t.text, word)
}

// isPunct reports whether t is the punctuation byte.
func (t token) isPunct(c byte) bool { return t.kind == tokenPunct && t.text[0] == c }

// lexer splits SQL into tokens as PostgreSQL does with standard_conforming_strings on. It never fails: text that ends
// within a constant is one token up to the end.
type lexer struct {
	sql    string
	offset int
	// comment is called for each skipped comment; nil ignores comments.
	comment func(start, end int)
}

// next returns the next token after comments and space.
func (l *lexer) next() token {
	l.skipSpace()
	if l.offset >= len(l.sql) {
		return token{kind: tokenEnd, end: len(l.sql)}
	}
	start := l.offset
	switch c := l.sql[start]; {
	case c == '\'':
		return l.quoted(start, false)
	case c == '"':
		t := l.delimited(start+1, '"', false)
		return token{kind: tokenIdent, text: t, end: l.offset}
	case c == '$':
		if t, ok := l.dollarQuoted(); ok {
			return t
		}
	case isWordStart(c):
		return l.word()
	}
	l.offset++
	return token{kind: tokenPunct, text: l.sql[start:l.offset], end: l.offset}
}

func (l *lexer) word() token {
	start := l.offset
	for l.offset < len(l.sql) && isWordPart(l.sql[l.offset]) {
		l.offset++
	}
	if l.offset < len(l.sql) && l.sql[l.offset] == '\'' && l.offset-start == 1 {
		switch l.sql[start] {
		case 'e', 'E':
			return l.quoted(l.offset, true)
		case 'b', 'B', 'x', 'X', 'n', 'N':
			return l.quoted(l.offset, false)
		}
	}
	return token{kind: tokenWord, text: l.sql[start:l.offset], end: l.offset}
}

// quoted reads a string whose quote is at the offset open.
func (l *lexer) quoted(open int, escapes bool) token {
	t := l.delimited(open+1, '\'', escapes)
	if escapes && strings.Contains(t, `\`) {
		return token{kind: tokenEscaped, text: t, end: l.offset}
	}
	return token{kind: tokenString, text: t, end: l.offset}
}

// delimited reads from the offset to the closing delimiter; a doubled one is part of the text.
func (l *lexer) delimited(from int, delimiter byte, escapes bool) string {
	l.offset = from
	for l.offset < len(l.sql) {
		c := l.sql[l.offset]
		l.offset++
		switch {
		case escapes && c == '\\':
			l.offset = min(l.offset+1, len(l.sql))
		case c == delimiter && l.offset < len(l.sql) && l.sql[l.offset] == delimiter:
			l.offset++
		case c == delimiter:
			return l.sql[from : l.offset-1]
		}
	}
	return l.sql[min(from, len(l.sql)):]
}

// dollarQuoted reads a dollar-quoted string, if one begins here.
func (l *lexer) dollarQuoted() (token, bool) {
	i := l.offset + 1
	for i < len(l.sql) && isWordPart(l.sql[i]) && l.sql[i] != '$' {
		i++
	}
	if i >= len(l.sql) || l.sql[i] != '$' || (l.offset+1 < i && isDigit(l.sql[l.offset+1])) {
		return token{}, false
	}
	tag := l.sql[l.offset : i+1]
	end := strings.Index(l.sql[i+1:], tag)
	if end < 0 {
		l.offset = len(l.sql)
		return token{kind: tokenDollar, text: l.sql[i+1:], end: l.offset}, true
	}
	l.offset = i + 1 + end + len(tag)
	return token{kind: tokenDollar, text: l.sql[i+1 : i+1+end], end: l.offset}, true
}

func (l *lexer) skipSpace() {
	for l.offset < len(l.sql) {
		start := l.offset
		switch c := l.sql[l.offset]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			l.offset++
			continue
		case strings.HasPrefix(l.sql[l.offset:], "--"):
			end := strings.IndexAny(l.sql[l.offset:], "\r\n")
			if end < 0 {
				end = len(l.sql) - l.offset
			}
			l.offset += end
		case strings.HasPrefix(l.sql[l.offset:], "/*"):
			l.skipBlockComment()
		default:
			return
		}
		if l.comment != nil {
			l.comment(start, l.offset)
		}
	}
}

// skipBlockComment skips a block comment, which may contain others.
func (l *lexer) skipBlockComment() {
	depth := 0
	for l.offset < len(l.sql) {
		switch {
		case strings.HasPrefix(l.sql[l.offset:], "/*"):
			depth++
			l.offset += 2
		case strings.HasPrefix(l.sql[l.offset:], "*/"):
			depth--
			l.offset += 2
			if depth == 0 {
				return
			}
		default:
			l.offset++
		}
	}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80 || isDigit(c)
}

func isWordPart(c byte) bool { return isWordStart(c) || c == '$' }
