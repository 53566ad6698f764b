package control

import (
	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/quorum"
)

// Operator names who asks for a change and proves it.
type Operator struct {
	Name string `cbor:"name" json:"name"`
	// Token is compared by its SHA-256 with the operators file.
	Token string `cbor:"token" json:"token"`
}

// PlaceResponse says where a control process is.
type PlaceResponse struct {
	Domain string `cbor:"domain" json:"domain"`
	Region string `cbor:"region" json:"region"`
}

// WatchRequest asks for the views after From; 0 asks for a full view first.
type WatchRequest struct {
	From uint64 `cbor:"from" json:"from"`
	// AcceptsCompressed is true when the caller understands messages that are compressed once for all watches.
	AcceptsCompressed bool `cbor:"unpacks,omitempty" json:"unpacks,omitempty"`
}

// StepRequest carries messages of the log between control processes.
type StepRequest struct {
	Messages []quorum.Message `cbor:"messages"`
}

// SectionGetRequest asks for a team's section, which holds the verifiers of its roles' passwords.
type SectionGetRequest struct {
	Operator Operator `cbor:"operator" json:"operator"`
	Team     string   `cbor:"team" json:"team"`
}

// SectionGetResponse gives a section; its revision is 0 when the team has none yet.
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

// SectionOutcome says what became of an edit.
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
	// InForce and Waiting split the hosts that are not gone by whether they have Index in force.
	InForce []string `cbor:"in-force" json:"in-force"`
	Waiting []string `cbor:"waiting" json:"waiting"`
}

// SectionHistoryRequest asks for the kept revisions of a section.
type SectionHistoryRequest struct {
	Operator Operator `cbor:"operator" json:"operator"`
	Team     string   `cbor:"team" json:"team"`
}

// SectionHistoryResponse gives the last revisions, oldest first.
type SectionHistoryResponse struct {
	Revisions []jacinthtiller.Section `cbor:"revisions" json:"revisions"`
}

// LeaseState says what the leader knows of a host's lease.
type LeaseState string

// The states of a host's lease.
const (
	LeaseHeld    LeaseState = "held"
	LeaseUnknown LeaseState = "unknown" // the host may hold a lease of a former leader, or has just registered
	LeaseEnded   LeaseState = "ended"
)

// HostStatus is a host as the leader sees it.
type HostStatus struct {
	Host  jacinthtiller.Host `cbor:"host" json:"host"`
	Lease LeaseState         `cbor:"lease" json:"lease"`
	// InForce is the index of the view that the host last said it has in force.
	InForce uint64 `cbor:"in-force" json:"in-force"`
	// Targets is how many targets the host owns.
	Targets int `cbor:"targets" json:"targets"`
}

// StatusResponse is the group's state as the leader sees it.
type StatusResponse struct {
	Leader string `cbor:"leader" json:"leader"`
	Term   uint64 `cbor:"term" json:"term"`
	Index  uint64 `cbor:"index" json:"index"`
	// Document is the log index of the newest accepted edit of the document.
	Document  uint64                   `cbor:"document" json:"document"`
	Hosts     []HostStatus             `cbor:"hosts" json:"hosts"`
	Databases []jacinthtiller.Database `cbor:"databases" json:"databases"`
	Sections  map[string]uint64        `cbor:"sections" json:"sections"`
	Log       quorum.Status            `cbor:"log" json:"log"`
}

// MembersResponse gives the members of the control group as one process knows them.
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

// MovePrimaryResponse gives the database when the call ended.
type MovePrimaryResponse struct {
	Database jacinthtiller.Database `cbor:"database" json:"database"`
}

// TargetLeaveRequest asks that a target gets no new work and, if it is the primary, that another takes over.
type TargetLeaveRequest struct {
	Operator Operator `cbor:"operator" json:"operator"`
	Database string   `cbor:"database" json:"database"`
	Target   string   `cbor:"target" json:"target"`
}
