package document

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// kind is the type of a field's value.
type kind string

const (
	kindInteger  kind = "integer"
	kindDuration kind = "duration"
	kindEnum     kind = "word"
	kindName     kind = "name"
	kindVerifier kind = "verifier"
	kindList     kind = "list"
)

// field is the schema of one field, which Parse and Reference share.
type field struct {
	kind kind
	// defaultValue is the value of an absent field, as a section would spell it.
	defaultValue string
	// required fields have no default.
	required bool
	// minimum and maximum bound integers, durations in microseconds, lengths of lists and iterations of verifiers.
	minimum, maximum int64
	// allowed holds the valid values of a kindEnum field.
	allowed     []string
	description string
}

const (
	hourMicroseconds = int64(time.Hour / time.Microsecond)
	// maxTextBytes bounds a section. A section with 1000 roles of 60 databases each is about 1 MB.
	maxTextBytes = 2 << 20
)

// fields maps the path of each field to its rules. A list's elements have "[]" in their path.
var fields = map[string]field{
	"weight": {
		kind: kindInteger, defaultValue: "1", minimum: 1, maximum: 100,
		description: "Share of a target's slots relative to other teams.",
	},
	"databases": {
		kind: kindList, maximum: 1000,
		description: "Databases that the team may reach.",
	},
	"databases[]": {kind: kindName, description: "Name of a database."},
	"roles": {
		kind: kindList, maximum: 1000,
		description: "Roles that the team's guests log in as. Names are unique over all sections.",
	},
	"roles[].name": {kind: kindName, required: true, description: "Name that the guest logs in with."},
	"roles[].verifier": {
		kind: kindVerifier, required: true, minimum: minIterations, maximum: maxIterations,
		description: "SCRAM-SHA-256 verifier, SCRAM-SHA-256$iterations:salt$stored-key:server-key. The bounds are those of the iterations.",
	},
	"roles[].access": {
		kind: kindEnum, defaultValue: string(AccessReadWrite), allowed: []string{string(AccessReadWrite), string(AccessReadOnly)},
		description: "What the role may do.",
	},
	"roles[].databases": {
		kind: kindList, maximum: 1000,
		description: "Databases that the role may reach, all of them databases of the team; absent means all of the team's.",
	},
	"roles[].databases[]": {kind: kindName, description: "Name of a database of the team."},
	"read-classes": {
		kind: kindList, maximum: 100,
		description: "Kinds of read, each with the greatest age of data that it accepts.",
	},
	"read-classes[].name": {kind: kindName, required: true, description: "Name by which a statement chooses the class."},
	"read-classes[].max-age": {
		kind: kindDuration, defaultValue: "0s", maximum: 24 * hourMicroseconds,
		description: "Greatest age of a replica's data; 0s means no limit beyond the session's mark.",
	},
	"default-class": {
		kind:        kindName,
		description: "Class of the reads that name none; absent means no limit on age.",
	},
	"queue-deadline": {
		kind: kindDuration, defaultValue: "10s", minimum: 1000, maximum: hourMicroseconds,
		description: "How long a statement may wait before it is sent to a target.",
	},
	"primary-missing": {
		kind: kindEnum, defaultValue: string(PrimaryMissingWait),
		allowed:     []string{string(PrimaryMissingWait), string(PrimaryMissingRefuse), string(PrimaryMissingServeReads)},
		description: "What happens to statements while a database has no primary.",
	},
	"stale-age": {
		kind: kindDuration, defaultValue: "30s", minimum: 1000, maximum: 24 * hourMicroseconds,
		description: "Greatest age of reads while the primary is missing, under serve-reads.",
	},
	"max-guests": {
		kind: kindInteger, defaultValue: "0", maximum: 1_000_000,
		description: "Greatest number of the team's guest connections on one host; 0 means no limit.",
	},
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.@-]{0,62}$`)

// rule describes the valid values of the field.
func (f field) rule() string {
	switch f.kind {
	case kindInteger:
		return fmt.Sprintf("must be a whole number from %d to %d", f.minimum, f.maximum)
	case kindDuration:
		return fmt.Sprintf("must be a duration such as 1500ms, from %s to %s", formatMicroseconds(f.minimum), formatMicroseconds(f.maximum))
	case kindEnum:
		return "must be one of " + strings.Join(f.allowed, ", ")
	case kindName:
		return "must be a name of 1 to 63 letters, digits and _.@- that starts with a letter, a digit or _"
	case kindVerifier:
		return fmt.Sprintf("must be a SCRAM-SHA-256 verifier with %d to %d iterations", f.minimum, f.maximum)
	default:
		return fmt.Sprintf("must be a list of at most %d entries", f.maximum)
	}
}

func formatMicroseconds(microseconds int64) string {
	return (time.Duration(microseconds) * time.Microsecond).String()
}

// parseNumber parses an integer or a duration in microseconds and reports whether it is within the field's bounds.
func (f field) parseNumber(value string) (int64, bool) {
	var n int64
	if f.kind == kindDuration {
		d, err := time.ParseDuration(value)
		if err != nil || d%time.Microsecond != 0 {
			return 0, false
		}
		n = d.Microseconds()
	} else {
		i, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0, false
		}
		n = i
	}
	return n, f.minimum <= n && n <= f.maximum
}

// validText reports whether the value is valid for an enum, verifier or name field.
func (f field) validText(value string) bool {
	switch f.kind {
	case kindEnum:
		return slices.Contains(f.allowed, value)
	case kindVerifier:
		_, err := ParseVerifier(value)
		return err == nil
	default:
		return namePattern.MatchString(value)
	}
}

// Reference returns the reference of all fields of a section in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("| field | value | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, p := range slices.Sorted(maps.Keys(fields)) {
		f := fields[p]
		defaultText := f.defaultValue
		switch {
		case f.required:
			defaultText = "required"
		case defaultText == "":
			defaultText = "absent"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", p, strings.TrimPrefix(f.rule(), "must be "), defaultText, f.description)
	}
	return b.String()
}
