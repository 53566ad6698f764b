package jacinthtiller

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Position identifies an entry in the log of one database by the term in which
// the entry was written and its index. The zero value is before every entry.
type Position struct {
	// Term is the term of the primary that wrote the entry; it never decreases along a log.
	Term uint64 `cbor:"term" json:"term"`
	// Index counts entries from 1; it grows by at least 1 with every committed write.
	Index uint64 `cbor:"index" json:"index"`
}

// Compare returns -1, 0 or +1 as p is before, at or after q. Terms are compared
// before indexes.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Index, q.Index))
}

// Covers reports whether data at p includes every entry up to the mark.
func (p Position) Covers(mark Position) bool { return p.Compare(mark) >= 0 }

// IsZero reports whether p is before every entry.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if p.Compare(q) < 0 {
		return q
	}
	return p
}

// String returns the form term/index, as targets report it.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Index) }

// ParsePosition reads the form term/index.
func ParsePosition(s string) (Position, error) {
	term, index, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, fmt.Errorf("position %q is not of the form term/index", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("term of position %q: %w", s, err)
	}
	i, err := strconv.ParseUint(index, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("index of position %q: %w", s, err)
	}
	return Position{Term: t, Index: i}, nil
}
