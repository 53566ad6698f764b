package standin

import (
	"database/sql"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
	"modernc.org/sqlite"
)

// Type OIDs of result columns.
const (
	oidBool   = pgtype.BoolOID
	oidBytea  = pgtype.ByteaOID
	oidInt8   = pgtype.Int8OID
	oidText   = pgtype.TextOID
	oidFloat8 = pgtype.Float8OID
)

// pgError is an error with the SQLSTATE that the client receives.
type pgError struct {
	code    string
	message string
}

func (e *pgError) Error() string { return fmt.Sprintf("%s (%s)", e.message, e.code) }

func pgErrorf(code, format string, args ...any) *pgError {
	return &pgError{code: code, message: fmt.Sprintf(format, args...)}
}

// sqlstatesByCode maps SQLite's extended result codes to SQLSTATEs.
var sqlstatesByCode = map[int]string{
	5: "40001", 517: "40001", 261: "40001", 6: "40001",
	8: "25006", 9: "57014", 13: "53100",
	275: "23514", 787: "23503", 1299: "23502", 1555: "23505", 2067: "23505", 2579: "23505",
	20: "42804",
}

// sqlstatesByMessage maps parts of SQLite's messages to SQLSTATEs, for the result code that these errors share.
var sqlstatesByMessage = []struct{ part, code string }{
	{"no such table", "42P01"},
	{"no such column", "42703"},
	{"has no column named", "42703"},
	{"already exists", "42P07"},
	{"no such function", "42883"},
	{"no such index", "42704"},
	{"syntax error", "42601"},
	{"incomplete input", "42601"},
	{"unrecognized token", "42601"},
	{"ambiguous column", "42702"},
	{"values for", "42601"},
	{"interrupted", "57014"},
	{"ON CONFLICT clause does not match", "42P10"},
	{"cannot start a transaction", "25001"},
}

// asPgError returns the error with its SQLSTATE, or with XX000 when that is unknown.
func asPgError(err error) *pgError {
	var p *pgError
	if errors.As(err, &p) {
		return p
	}
	var s *sqlite.Error
	if errors.As(err, &s) {
		if code, ok := sqlstatesByCode[s.Code()]; ok {
			return &pgError{code, s.Error()}
		}
		for _, m := range sqlstatesByMessage {
			if strings.Contains(s.Error(), m.part) {
				return &pgError{m.code, s.Error()}
			}
		}
	}
	return &pgError{"XX000", err.Error()}
}

// oidForTypeName returns the OID for a declared type name, by SQLite's affinity rules and a few more names; 0 when
// unknown.
func oidForTypeName(name string) uint32 {
	name = strings.ToLower(name)
	for _, c := range []struct {
		part string
		oid  uint32
	}{
		{"bool", oidBool},
		{"int", oidInt8},
		{"serial", oidInt8},
		{"char", oidText},
		{"text", oidText},
		{"clob", oidText},
		{"bytea", oidBytea},
		{"blob", oidBytea},
		{"real", oidFloat8},
		{"floa", oidFloat8},
		{"double", oidFloat8},
		{"numeric", oidFloat8},
		{"decimal", oidFloat8},
		{"time", oidText},
		{"date", oidText},
		{"json", oidText},
		{"uuid", oidText},
	} {
		if strings.Contains(name, c.part) {
			return c.oid
		}
	}
	return 0
}

// oidForValue returns the OID for a value read from SQLite; 0 for NULL.
func oidForValue(v any) uint32 {
	switch v.(type) {
	case int64:
		return oidInt8
	case float64:
		return oidFloat8
	case bool:
		return oidBool
	case []byte:
		return oidBytea
	case nil:
		return 0
	}
	return oidText
}

// column describes a column of a result.
type column struct {
	name string
	// expr is SQLite's name for the column: the expression or the column name.
	expr string
	// oid is 0 while the column has neither a declared type nor a value other than NULL.
	oid uint32
}

// typedFunctionPattern matches expressions whose type is known without a value.
var typedFunctionPattern = regexp.MustCompile(`(?i)^(count|length|sum|max|min|total|avg)\s*\(`)

// declaredColumns returns the columns of rows with their declared types.
func declaredColumns(rows *sql.Rows) ([]column, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, fmt.Errorf("read column types: %w", err)
	}
	out := make([]column, len(types))
	for i, c := range types {
		out[i] = column{name: c.Name(), expr: c.Name(), oid: oidForTypeName(c.DatabaseTypeName())}
		if m := typedFunctionPattern.FindStringSubmatch(c.Name()); m != nil {
			out[i].name = strings.ToLower(m[1])
		}
	}
	return out, nil
}

// inferColumnTypes sets the types that were not declared, from the first value other than NULL or from the expression.
func inferColumnTypes(cs []column, rows [][]any) {
	for i := range cs {
		for j := 0; cs[i].oid == 0 && j < len(rows); j++ {
			cs[i].oid = oidForValue(rows[j][i])
		}
		if cs[i].oid != 0 {
			continue
		}
		cs[i].oid = oidText
		if m := typedFunctionPattern.FindStringSubmatch(cs[i].expr); m != nil {
			cs[i].oid = oidInt8
			if w := strings.ToLower(m[1]); w == "avg" || w == "total" {
				cs[i].oid = oidFloat8
			}
		}
	}
}

// encodeValue encodes a value as the column's type in the given format. A nil result is NULL.
func encodeValue(types *pgtype.Map, oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	v = convertToType(oid, v)
	if format == pgtype.TextFormatCode {
		switch x := v.(type) {
		case string:
			return []byte(x), nil
		case int64:
			return strconv.AppendInt(nil, x, 10), nil
		}
		if oid != oidForValue(v) {
			return fmt.Append(nil, v), nil
		}
	}
	b, err := types.Encode(oid, format, v, []byte{})
	if err != nil {
		return nil, pgErrorf("42804", "value %v does not have the type of its column: %v", v, err)
	}
	return b, nil
}

// convertToType converts a value that SQLite stored with another type than the column's, where the conversion loses
// nothing.
func convertToType(oid uint32, v any) any {
	switch x := v.(type) {
	case time.Time:
		return x.Format("2006-01-02 15:04:05.999999Z07:00")
	case int64:
		switch oid {
		case oidBool:
			return x != 0
		case oidFloat8:
			return float64(x)
		case oidText:
			return strconv.FormatInt(x, 10)
		}
	case float64:
		if oid == oidInt8 && x == float64(int64(x)) {
			return int64(x)
		}
		if oid == oidText {
			return strconv.FormatFloat(x, 'g', -1, 64)
		}
	case string:
		if oid == oidBytea {
			return []byte(x)
		}
		if b, err := strconv.ParseBool(x); oid == oidBool && err == nil {
			return b
		}
	case []byte:
		if oid == oidText {
			return string(x)
		}
	case bool:
		if oid == oidInt8 && x {
			return int64(1)
		}
		if oid == oidInt8 {
			return int64(0)
		}
	}
	return v
}

// Patterns of untyped parameters that are read as integers and as bytes.
var (
	integerPattern = regexp.MustCompile(`^(0|-?[1-9][0-9]{0,17})$`)
	byteaPattern   = regexp.MustCompile(`^\\x([0-9a-fA-F]{2})*$`)
)

// decodeParam decodes a bound parameter. A parameter without a type is read as an integer or as bytes if it matches the
// pattern: SQLite compares by the stored type and applies a column's affinity, but never converts text to a number by
// itself.
func decodeParam(types *pgtype.Map, oid uint32, format int16, src []byte) (any, error) {
	if src == nil {
		return nil, nil
	}
	if oid == 0 || oid == pgtype.UnknownOID {
		return decodeUntyped(string(src)), nil
	}
	ty, ok := types.TypeForOID(oid)
	if !ok {
		return string(src), nil
	}
	v, err := ty.Codec.DecodeValue(types, oid, format, src)
	if err != nil {
		return nil, pgErrorf("22P02", "invalid value for a parameter of type %s: %v", ty.Name, err)
	}
	switch x := v.(type) {
	case int16:
		return int64(x), nil
	case int32:
		return int64(x), nil
	case uint32:
		return int64(x), nil
	case float32:
		return float64(x), nil
	case int64, float64, string, []byte:
		return x, nil
	case bool:
		if x {
			return int64(1), nil
		}
		return int64(0), nil
	case time.Time:
		return formatTimestamp(x), nil
	}
	return encodeText(types, oid, v)
}

func formatTimestamp(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05.000000-07") }

func decodeUntyped(s string) any {
	if integerPattern.MatchString(s) {
		if n, err := strconv.ParseInt(s, 10, 64); err == nil {
			return n
		}
	}
	if byteaPattern.MatchString(s) {
		if b, err := hex.DecodeString(s[2:]); err == nil {
			return b
		}
	}
	return s
}

// encodeText returns a value of any other type as its text.
func encodeText(types *pgtype.Map, oid uint32, v any) (any, error) {
	b, err := types.Encode(oid, pgtype.TextFormatCode, v, nil)
	if err != nil {
		return nil, pgErrorf("22P02", "parameter of type %d has no text form: %v", oid, err)
	}
	return string(b), nil
}
