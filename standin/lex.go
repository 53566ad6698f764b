package standin

import (
	"strings"
)

// Kinds of tokens.
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

// isKeyword reports whether the token is the unquoted word w, ignoring case.
func (k token) isKeyword(w string) bool { return k.kind == kindWord && strings.EqualFold(k.text, w) }

// tokenize splits SQL into tokens.
func tokenize(s string) ([]token, error) {
	var out []token
	for len(s) > 0 {
		k, n, err := nextToken(s)
		if err != nil {
			return nil, err
		}
		out = append(out, k)
		s = s[n:]
	}
	return out, nil
}

// nextToken returns the first token of s and its length in bytes.
func nextToken(s string) (token, int, error) {
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
		return scanQuoted(s, c)
	case (c == 'e' || c == 'E') && len(s) > 1 && s[1] == '\'':
		return scanEscapeString(s)
	case c == '$':
		return scanDollar(s)
	case c >= '0' && c <= '9':
		n := strings.IndexFunc(s, func(r rune) bool { return !isDigit(r) && r != '.' && r != 'e' && r != 'E' })
		if n < 0 {
			n = len(s)
		}
		return token{kindNumber, s[:n]}, n, nil
	case isWordStart(rune(c)):
		n := strings.IndexFunc(s, func(r rune) bool { return !isWordStart(r) && !isDigit(r) })
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

func isWordStart(r rune) bool {
	return r == '_' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= 0x80
}

// scanQuoted reads a string literal or a quoted identifier, in which a doubled quote stands for one.
func scanQuoted(s string, q byte) (token, int, error) {
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

// scanEscapeString reads a literal of the form E'...' and returns it as a literal without escapes.
func scanEscapeString(s string) (token, int, error) {
	var b strings.Builder
	for i := 2; i < len(s); i++ {
		switch {
		case s[i] == '\'' && i+1 < len(s) && s[i+1] == '\'':
			b.WriteByte('\'')
			i++
		case s[i] == '\'':
			return token{kindString, quoteLiteral(b.String())}, i + 1, nil
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

// scanDollar reads a parameter such as $1 or a dollar-quoted string.
func scanDollar(s string) (token, int, error) {
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
	return token{kindString, quoteLiteral(s[len(tag) : len(tag)+body])}, 2*len(tag) + body, nil
}

func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

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
