// Package document parses and validates the document with which operators
// configure the proxy: one YAML section per team.
package document

import (
	"slices"
	"time"
)

// Access says what a role may do.
type Access string

// The kinds of access of a role.
const (
	AccessReadWrite Access = "read-write"
	// AccessReadOnly roles never write, so their reads need no mark from the primary.
	AccessReadOnly Access = "read-only"
)

// PrimaryMissingPolicy says what happens to a team's statements while a database has no primary.
type PrimaryMissingPolicy string

// The behaviours while a primary is missing.
const (
	// PrimaryMissingWait holds statements until their deadline.
	PrimaryMissingWait PrimaryMissingPolicy = "wait"
	// PrimaryMissingRefuse refuses writes at once with JT003.
	PrimaryMissingRefuse PrimaryMissingPolicy = "refuse"
	// PrimaryMissingServeReads serves reads from replicas up to the stale age and holds writes until their deadline.
	PrimaryMissingServeReads PrimaryMissingPolicy = "serve-reads"
)

// Role is what a guest logs in as. Role names are unique over all sections.
type Role struct {
	Name string
	// Verifier is a SCRAM-SHA-256 verifier: SCRAM-SHA-256$iterations:salt$stored-key:server-key.
	Verifier string
	Access   Access
	// Databases are the databases that the role may access, a subset of the team's.
	Databases []string
	// Line is the line of the section on which the role begins.
	Line int
}

// MayAccess reports whether the role may access the database.
func (r Role) MayAccess(database string) bool { return slices.Contains(r.Databases, database) }

// ReadClass is a named limit on the age of the replica data that a read returns.
type ReadClass struct {
	Name string
	// MaxAgeMicroseconds is the maximum age of data that the class accepts; 0 means no limit beyond the mark.
	MaxAgeMicroseconds int64
}

// Team is a parsed section.
type Team struct {
	Name string
	// Weight is the team's share of a target relative to other teams, 1 to 100.
	Weight    int
	Databases []string
	Roles     []Role
	Classes   []ReadClass
	// DefaultClass names the class of reads that specify none; empty means no age limit.
	DefaultClass string
	// QueueDeadlineMicroseconds is how long a statement may wait before it is sent to a target.
	QueueDeadlineMicroseconds int64
	// PrimaryMissing says what happens while there is no primary.
	PrimaryMissing PrimaryMissingPolicy
	// StaleAgeMicroseconds bounds the age of data that reads return under PrimaryMissingServeReads.
	StaleAgeMicroseconds int64
	// MaxGuests bounds the team's guest connections on one host; 0 means no limit.
	MaxGuests int
}

// QueueDeadline returns the time by which a statement that arrived at now must be sent to a target.
func (t Team) QueueDeadline(now time.Time) time.Time {
	return now.Add(time.Duration(t.QueueDeadlineMicroseconds) * time.Microsecond)
}
