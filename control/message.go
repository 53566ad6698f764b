package control

import (
	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/quorum"
)

// Operator names an operator and carries the token that authenticates the request.
type Operator struct {
	Name string `cbor:"name" json:"name"`
	// Token is hashed with SHA-256 and compared with the operators file.
	Token string `cbor:"token" json:"token"`
}

// LocationResponse is the location of a control process.
type LocationResponse struct {
	Domain string `cbor:"domain" json:"domain"`
	Region string `cbor:"region" json:"region"`
}

// WatchRequest asks for the deltas after From; 0 asks for a full view first.
type WatchRequest struct {
	From uint64 `cbor:"from" json:"from"`
	// AcceptsCompressed is true when the caller accepts deltas that are compressed once for all watches.
	AcceptsCompressed bool `cbor:"unpacks,omitempty" json:"unpacks,omitempty"`
	// AcceptsEditionDeltas is true when the caller understands jacinthtiller.EditionDelta; others get whole editions.
	AcceptsEditionDeltas bool `cbor:"edition-deltas,omitempty" json:"edition-deltas,omitempty"`
}

// StepRequest carries messages of the log between control processes.
type StepRequest struct {
	Messages []quorum.Message `cbor:"messages"`
}

// SectionGetRequest asks for a team's section, which holds the password verifiers of its roles.
type SectionGetRequest struct {
	Operator Operator `cbor:"operator" json:"operator"`
	Team     string   `cbor:"team" json:"team"`
}

// SectionGetResponse holds a section; its revision is 0 when the team has none yet.
type SectionGetResponse struct {
	Section jacinthtiller.Section `cbor:"section" json:"section"`
	// Index is the log index of the newest accepted edit of the document.
	Index uint64 `cbor:"index" json:"index"`
}

// SectionApplyRequest replaces a section.
type SectionApplyRequest struct {
	Operator Operator `cbor:"operator" json:"operator"`
	Team     string   `cbor:"team" json:"team"`
	Text     string   `cbor:"text" json:"text"`
	// Replaces is the revision that the edit was made from.
	Replaces uint64 `cbor:"replaces" json:"replaces"`
	// Request identifies the edit, so that a resend gets the first answer.
	Request string `cbor:"request" json:"request"`
	// WaitMicroseconds is how long to wait for all live hosts to have the edit in force; at most 30 s.
	WaitMicroseconds int64 `cbor:"wait-microseconds,omitempty" json:"wait-microseconds,omitempty"`
}

// SectionOutcome is the outcome of an edit.
type SectionOutcome string

// The outcomes of an edit.
const (
	SectionAccepted SectionOutcome = "accepted"
	SectionConflict SectionOutcome = "conflict" // the section has another revision
	SectionInvalid  SectionOutcome = "invalid"  // the text has faults, or roles of another team
	SectionReused   SectionOutcome = "reused"   // the request id was used with other content
)

// SectionApplyResponse answers an edit.
type SectionApplyResponse struct {
	Outcome SectionOutcome `cbor:"outcome" json:"outcome"`
	// Revision and Index are set for an accepted edit.
	Revision uint64 `cbor:"revision" json:"revision"`
	Index    uint64 `cbor:"index" json:"index"`
	// Current is the section after a conflict.
	Current jacinthtiller.Section `cbor:"current" json:"current"`
	// Faults are set for an invalid edit.
	Faults []document.Fault `cbor:"faults,omitempty" json:"faults,omitempty"`
	// InForce and Waiting split the hosts whose leases have not ended by whether they have Index in force.
	InForce []string `cbor:"in-force" json:"in-force"`
	Waiting []string `cbor:"waiting" json:"waiting"`
}

// SectionHistoryRequest asks for the retained revisions of a section.
type SectionHistoryRequest struct {
	Operator Operator `cbor:"operator" json:"operator"`
	Team     string   `cbor:"team" json:"team"`
}

// SectionHistoryResponse holds the retained revisions, oldest first.
type SectionHistoryResponse struct {
	Revisions []jacinthtiller.Section `cbor:"revisions" json:"revisions"`
}

// LeaseState is the leader's knowledge of a host's lease.
type LeaseState string

// The states of a host's lease.
const (
	LeaseHeld    LeaseState = "held"
	LeaseUnknown LeaseState = "unknown" // the host has just registered or may hold a lease of a former leader
	LeaseEnded   LeaseState = "ended"
)

// HostStatus is the leader's status of a host.
type HostStatus struct {
	Host  jacinthtiller.Host `cbor:"host" json:"host"`
	Lease LeaseState         `cbor:"lease" json:"lease"`
	// InForce is the index of the view that the host last reported as in force.
	InForce uint64 `cbor:"in-force" json:"in-force"`
	// Targets is the number of targets that the host owns.
	Targets int `cbor:"targets" json:"targets"`
}

// AccountStatus describes a client account without anything derived from its keys.
type AccountStatus struct {
	Name     string `cbor:"name" json:"name"`
	Priority int    `cbor:"priority" json:"priority"`
	// Keys is the number of the account's keys.
	Keys int `cbor:"keys" json:"keys"`
	// Limit is nil when the account has no limit.
	Limit *jacinthtiller.RateLimit `cbor:"limit,omitempty" json:"limit,omitempty"`
}

// StatusResponse is the leader's status of the group.
type StatusResponse struct {
	Leader string `cbor:"leader" json:"leader"`
	Term   uint64 `cbor:"term" json:"term"`
	Index  uint64 `cbor:"index" json:"index"`
	// Document is the log index of the newest accepted edit of the document.
	Document  uint64                   `cbor:"document" json:"document"`
	Hosts     []HostStatus             `cbor:"hosts" json:"hosts"`
	Databases []jacinthtiller.Database `cbor:"databases" json:"databases"`
	Sections  map[string]uint64        `cbor:"sections" json:"sections"`
	// Accounts lists the accounts of the edition in force, by name.
	Accounts []AccountStatus `cbor:"accounts,omitempty" json:"accounts,omitempty"`
	Log      quorum.Status   `cbor:"log" json:"log"`
}

// MembersResponse holds the members of the control group as known to one process.
type MembersResponse struct {
	Log quorum.Status `cbor:"log" json:"log"`
	// URLs maps the members in the process's settings to their URLs.
	URLs map[string]string `cbor:"urls" json:"urls"`
}

// MemberAction is a kind of membership change.
type MemberAction string

// The membership changes. A member joins as a learner and is promoted once it has caught up.
const (
	MemberAdd     MemberAction = "add"
	MemberPromote MemberAction = "promote"
	MemberRemove  MemberAction = "remove"
)

// MemberChangeRequest changes the members of the control group.
type MemberChangeRequest struct {
	Operator Operator     `cbor:"operator" json:"operator"`
	Action   MemberAction `cbor:"action" json:"action"`
	Name     string       `cbor:"name" json:"name"`
}

// MovePrimaryRequest asks for a planned change of a database's primary.
type MovePrimaryRequest struct {
	Operator Operator `cbor:"operator" json:"operator"`
	Database string   `cbor:"database" json:"database"`
	Target   string   `cbor:"target" json:"target"`
	// WaitMicroseconds is how long to wait for the move to end; at most 30 s.
	WaitMicroseconds int64 `cbor:"wait-microseconds,omitempty" json:"wait-microseconds,omitempty"`
}

// MovePrimaryResponse holds the database at the end of the call.
type MovePrimaryResponse struct {
	Database jacinthtiller.Database `cbor:"database" json:"database"`
}

// TargetLeaveRequest asks that a target gets no new work and, if it is the primary, that another target takes over.
type TargetLeaveRequest struct {
	Operator Operator `cbor:"operator" json:"operator"`
	Database string   `cbor:"database" json:"database"`
	Target   string   `cbor:"target" json:"target"`
}
