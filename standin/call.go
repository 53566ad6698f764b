package standin

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// pgSleep runs SELECT pg_sleep(seconds) in a slot.
func (s *session) pgSleep(ctx context.Context, arguments []token, boundValues []any) (*result, error) {
	v, err := argumentTexts(arguments, boundValues, 1)
	if err != nil {
		return nil, err
	}
	seconds, err := strconv.ParseFloat(v[0], 64)
	if err != nil {
		return nil, pgErrorf("22P02", "invalid number of seconds %q", v[0])
	}
	sleep(ctx, time.Duration(seconds*float64(time.Second)))
	if ctx.Err() != nil {
		return nil, errCanceled
	}
	return scalarResult("pg_sleep", ""), nil
}

// argumentTexts returns the n arguments of a function call as text.
func argumentTexts(arguments []token, boundValues []any, n int) ([]string, error) {
	if len(arguments) != n {
		return nil, pgErrorf("42883", "function takes %d arguments, not %d", n, len(arguments))
	}
	out := make([]string, n)
	for i, k := range arguments {
		out[i] = k.unquote()
		if k.kind == kindParam {
			j, err := strconv.Atoi(k.text)
			if err != nil || j > len(boundValues) {
				return nil, pgErrorf("42P02", "there is no parameter $%s", k.text)
			}
			out[i] = fmt.Sprint(boundValues[j-1])
		}
	}
	return out, nil
}

// scalarResult returns a result of one row with one column.
func scalarResult(name string, v any) *result {
	return &result{columns: []column{{name: name, oid: builtinResultOID(name)}}, pendingRows: [][]any{{v}}, tag: "SELECT 1"}
}

// callFunction evaluates the functions of the target contract and a few of PostgreSQL's.
func (s *session) callFunction(name string, arguments []token, boundValues []any) (*result, error) {
	switch name {
	case "pg_backend_pid":
		return scalarResult(name, int64(s.pid)), nil
	case "pg_is_in_recovery":
		return scalarResult(name, s.target.Role() == jacinthtiller.RoleReplica), nil
	case "group_follow":
		v, err := argumentTexts(arguments, boundValues, 2)
		if err != nil {
			return nil, err
		}
		term, err := parseTerm(v[0])
		if err != nil {
			return nil, err
		}
		p, err := s.target.followTerm(term, v[1])
		return scalarResult(name, p), err
	}
	v, err := argumentTexts(arguments, boundValues, 1)
	if err != nil {
		return nil, err
	}
	if name == "current_setting" {
		value, err := s.show(v[0])
		return scalarResult(name, value), err
	}
	term, err := parseTerm(v[0])
	if err != nil {
		return nil, err
	}
	if name == "group_fence" {
		return scalarResult(name, s.target.fence(term)), nil
	}
	p, err := s.target.promote(term)
	return scalarResult(name, p), err
}

func parseTerm(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 63)
	if err != nil || n == 0 {
		return 0, pgErrorf("22023", "term %q is not a positive integer", s)
	}
	return n, nil
}
