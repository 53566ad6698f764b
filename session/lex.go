package session

import (
	"strings"
)

// tokenKind is the kind of a token of SQL.
type tokenKind byte

const (
	tokenEnd    tokenKind = iota
	tokenWord             // an unquoted word or a number
	tokenIdent            // a quoted identifier, text without the quotes
	tokenString           // a string constant, text without the quotes and still escaped
	tokenPunct            // one byte of punctuation
)

// token is one token; text is part of the SQL that was read.
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

// punct reports whether t is the punctuation byte.
func (t token) punct(c byte) bool { return t.kind == tokenPunct && t.text[0] == c }

// lexer splits SQL into tokens as PostgreSQL does with
// standard_conforming_strings on. It never fails: text that ends within a
// constant is one token up to the end.
type lexer struct {
	sql string
	at  int
	// comment takes the comments that are skipped; nil ignores them.
	comment func(start, end int)
}

// next returns the next token, comments and space skipped.
func (l *lexer) next() token {
	l.skip()
	if l.at >= len(l.sql) {
		return token{kind: tokenEnd, end: len(l.sql)}
	}
	start := l.at
	switch c := l.sql[start]; {
	case c == '\'':
		return l.quoted(start, false)
	case c == '"':
		t := l.delimited(start+1, '"', false)
		return token{kind: tokenIdent, text: t, end: l.at}
	case c == '$':
		if t, ok := l.dollar(); ok {
			return t
		}
	case wordStart(c):
		return l.word()
	}
	l.at++
	return token{kind: tokenPunct, text: l.sql[start:l.at], end: l.at}
}

func (l *lexer) word() token {
	start := l.at
	for l.at < len(l.sql) && wordPart(l.sql[l.at]) {
		l.at++
	}
	if l.at < len(l.sql) && l.sql[l.at] == '\'' && l.at-start == 1 {
		switch l.sql[start] {
		case 'e', 'E':
			return l.quoted(l.at, true)
		case 'b', 'B', 'x', 'X', 'n', 'N':
			return l.quoted(l.at, false)
		}
	}
	return token{kind: tokenWord, text: l.sql[start:l.at], end: l.at}
}

// quoted reads a string whose quote is at the offset open.
func (l *lexer) quoted(open int, escapes bool) token {
	t := l.delimited(open+1, '\'', escapes)
	return token{kind: tokenString, text: t, end: l.at}
}

// delimited reads from the offset to the closing delimiter; a doubled one is part of the text.
func (l *lexer) delimited(from int, delimiter byte, escapes bool) string {
	l.at = from
	for l.at < len(l.sql) {
		c := l.sql[l.at]
		l.at++
		switch {
		case escapes && c == '\\':
			l.at = min(l.at+1, len(l.sql))
		case c == delimiter && l.at < len(l.sql) && l.sql[l.at] == delimiter:
			l.at++
		case c == delimiter:
			return l.sql[from : l.at-1]
		}
	}
	return l.sql[min(from, len(l.sql)):]
}

// dollar reads a dollar-quoted string, if one begins here.
func (l *lexer) dollar() (token, bool) {
	i := l.at + 1
	for i < len(l.sql) && wordPart(l.sql[i]) && l.sql[i] != '$' {
		i++
	}
	if i >= len(l.sql) || l.sql[i] != '$' || (l.at+1 < i && digit(l.sql[l.at+1])) {
		return token{}, false
	}
	tag := l.sql[l.at : i+1]
	end := strings.Index(l.sql[i+1:], tag)
	if end < 0 {
		l.at = len(l.sql)
		return token{kind: tokenString, text: l.sql[i+1:], end: l.at}, true
	}
	l.at = i + 1 + end + len(tag)
	return token{kind: tokenString, text: l.sql[i+1 : i+1+end], end: l.at}, true
}

func (l *lexer) skip() {
	for l.at < len(l.sql) {
		start := l.at
		switch c := l.sql[l.at]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			l.at++
			continue
		case strings.HasPrefix(l.sql[l.at:], "--"):
			end := strings.IndexAny(l.sql[l.at:], "\r\n")
			if end < 0 {
				end = len(l.sql) - l.at
			}
			l.at += end
		case strings.HasPrefix(l.sql[l.at:], "/*"):
			l.block()
		default:
			return
		}
		if l.comment != nil {
			l.comment(start, l.at)
		}
	}
}

// block skips a comment in slashes, which may contain others.
func (l *lexer) block() {
	depth := 0
	for l.at < len(l.sql) {
		switch {
		case strings.HasPrefix(l.sql[l.at:], "/*"):
			depth++
			l.at += 2
		case strings.HasPrefix(l.sql[l.at:], "*/"):
			depth--
			l.at += 2
			if depth == 0 {
				return
			}
		default:
			l.at++
		}
	}
}

func digit(c byte) bool { return c >= '0' && c <= '9' }

func wordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80 || digit(c)
}

func wordPart(c byte) bool { return wordStart(c) || c == '$' }
