package jacinthtiller

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"time"
)

const (
	// maxNameBytes bounds the names and addresses in an announcement.
	maxNameBytes = 255
	// maxGroupSize bounds the number of targets in a group.
	maxGroupSize = 99
)

// Role is a target's role in its group.
type Role string

// The roles of a target.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// TargetState tells whether a target accepts new work.
type TargetState string

// The states of a target.
const (
	StateServing TargetState = "serving"
	StateLeaving TargetState = "leaving"
)

// Announcement is the state that a target reports every 500 ms.
type Announcement struct {
	Database string `json:"database" cbor:"database"`
	Target   string `json:"target" cbor:"target"`
	// Address is the target's PostgreSQL address, host:port.
	Address string `json:"address" cbor:"address"`
	Domain  string `json:"failure-domain" cbor:"failure-domain"`
	// GroupSize is the number of targets in the database's group; a quorum is a majority of them.
	GroupSize int `json:"group-size" cbor:"group-size"`
	// Position is the position of the last applied entry in the form term/index.
	Position string `json:"position" cbor:"position"`
	// Term is the term that the target follows or leads; it is not below the position's term.
	Term  uint64      `json:"term" cbor:"term"`
	Role  Role        `json:"role" cbor:"role"`
	State TargetState `json:"state" cbor:"state"`
	// Forwarded is set by an entry host that forwards the announcement to the target's owner.
	Forwarded bool `json:"forwarded,omitempty" cbor:"forwarded,omitempty"`
}

// Validate returns an error for the first invalid field of an announcement.
func (a Announcement) Validate() error {
	for name, value := range map[string]string{
		"database": a.Database, "target": a.Target, "address": a.Address, "failure-domain": a.Domain,
	} {
		if value == "" {
			return fmt.Errorf("announcement: %s is empty", name)
		}
		if len(value) > maxNameBytes {
			return fmt.Errorf("announcement: %s is longer than %d bytes", name, maxNameBytes)
		}
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return fmt.Errorf("announcement: address: %w", err)
	}
	p, err := ParsePosition(a.Position)
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	switch {
	case a.GroupSize < 1 || a.GroupSize > maxGroupSize:
		return fmt.Errorf("announcement: group-size %d is not between 1 and %d", a.GroupSize, maxGroupSize)
	case a.Role != RolePrimary && a.Role != RoleReplica:
		return fmt.Errorf("announcement: role %q is neither %s nor %s", a.Role, RolePrimary, RoleReplica)
	case a.State != StateServing && a.State != StateLeaving:
		return fmt.Errorf("announcement: state %q is neither %s nor %s", a.State, StateServing, StateLeaving)
	case a.Term < p.Term:
		return fmt.Errorf("announcement: term %d is below the position's term %d", a.Term, p.Term)
	}
	return nil
}

// Target is a target in a view.
type Target struct {
	Name     string `cbor:"name" json:"name"`
	Database string `cbor:"database" json:"database"`
	Address  string `cbor:"address" json:"address"`
	Domain   string `cbor:"domain" json:"domain"`
	// Owner is the host that holds the target's connections; empty when none could be assigned.
	Owner string `cbor:"owner" json:"owner"`
	// Epoch grows with every change of Owner.
	Epoch uint64      `cbor:"epoch" json:"epoch"`
	State TargetState `cbor:"state" json:"state"`
	// Lost is true after the owner reported that it cannot reach the target, until the target announces itself again.
	Lost bool `cbor:"lost,omitempty" json:"lost,omitempty"`

	// The fields below are set only for targets of direct groups.

	// Role is the role that the target last reported.
	Role Role `cbor:"role,omitempty" json:"role,omitempty"`
	// Slots is the number of statements that the target runs concurrently; 0 when it did not report one.
	Slots int `cbor:"slots,omitempty" json:"slots,omitempty"`
	// StartedMilliseconds distinguishes the incarnations of the name.
	StartedMilliseconds int64 `cbor:"born-milliseconds,omitempty" json:"born-milliseconds,omitempty"`
	// Sequence is that of the recorded report; reports of the same incarnation with a lower one are outdated.
	Sequence uint64 `cbor:"sequence,omitempty" json:"sequence,omitempty"`
	// WarmupMilliseconds is the remaining warm-up time of the target when the report was recorded.
	WarmupMilliseconds int64 `cbor:"cold-milliseconds,omitempty" json:"cold-milliseconds,omitempty"`
}

// Database is one replicated group of targets.
type Database struct {
	Name string `cbor:"name" json:"name"`
	// Term is the newest term that the control group has begun; it never decreases.
	Term uint64 `cbor:"term" json:"term"`
	// Primary is the target that leads Term; empty during a promotion and before the first one.
	Primary string `cbor:"primary" json:"primary"`
	// Successor names the next primary during a planned move: the owner of Primary stops admitting
	// work, and ends its ownership once Primary is drained. Empty when no move runs.
	Successor string `cbor:"moving,omitempty" json:"moving,omitempty"`
	// GroupSize is the largest number of targets announced for the group.
	GroupSize int `cbor:"group-size" json:"group-size"`
	// Targets maps names to targets.
	Targets map[string]Target `cbor:"targets" json:"targets"`

	// Direct is true for a direct group, to whose targets every host connects itself; the fields below are set only then.
	Direct bool `cbor:"direct,omitempty" json:"direct,omitempty"`
	// FormerPrimary is the primary that is being replaced while Primary is empty.
	FormerPrimary string `cbor:"former,omitempty" json:"former,omitempty"`
	// Candidate is the target that was chosen to become the primary; empty when no choice is pending.
	Candidate string `cbor:"candidate,omitempty" json:"candidate,omitempty"`
	// MarkFloor is a position in Term that the primary's log held when MarkFloor was recorded. It replaces marks of earlier
	// terms.
	MarkFloor Position `cbor:"floor,omitempty" json:"floor,omitempty"`
	// PrimaryChangedIndex is the log index at which Primary last changed.
	PrimaryChangedIndex uint64 `cbor:"changed,omitempty" json:"changed,omitempty"`
}

// Quorum returns how many targets make a majority of the group.
func (d Database) Quorum() int { return max(d.GroupSize, len(d.Targets))/2 + 1 }

// WithTarget returns a copy of d in which t is set under its name.
func (d Database) WithTarget(t Target) Database {
	d.Targets = maps.Clone(d.Targets)
	if d.Targets == nil {
		d.Targets = map[string]Target{}
	}
	d.Targets[t.Name] = t
	return d
}

// WithoutTarget returns a copy of d that lacks the target.
func (d Database) WithoutTarget(name string) Database {
	d.Targets = maps.Clone(d.Targets)
	delete(d.Targets, name)
	return d
}

// WithPrimary returns a copy of d with the term and primary.
func (d Database) WithPrimary(term uint64, primary string) Database {
	d.Term, d.Primary = term, primary
	return d
}

// TargetNames returns the names of the targets in order.
func (d Database) TargetNames() []string { return slices.Sorted(maps.Keys(d.Targets)) }

// Host is an entry host in a view.
type Host struct {
	Name   string `cbor:"name" json:"name"`
	Domain string `cbor:"domain" json:"domain"`
	Region string `cbor:"region" json:"region"`
	// RPC is the URL of the host's service, http://ip:port.
	RPC string `cbor:"rpc" json:"rpc"`
	// Link is the address, ip:port, of the listener for units from other hosts.
	Link string `cbor:"link" json:"link"`
	// Guests is the address, ip:port, of the listener for guests.
	Guests string `cbor:"guests" json:"guests"`
	// Incarnation is a random value that is new at every start of the process.
	Incarnation string `cbor:"incarnation" json:"incarnation"`
	// Exclusive is true when the platform never runs two processes under the name at the same time: a new incarnation then
	// need not wait for the end of the former one's lease.
	Exclusive bool `cbor:"exclusive,omitempty" json:"exclusive,omitempty"`
	// RelayCompression is true when the host understands compressed frames on relay connections.
	RelayCompression bool `cbor:"relay-compression,omitempty" json:"relay-compression,omitempty"`
	// ServesAccounts is true when the host understands the jobs of accounts and the queries of limits of other hosts.
	ServesAccounts bool `cbor:"serves-accounts,omitempty" json:"serves-accounts,omitempty"`
	// LeaseEnded is true from the end of the host's lease until the host registers again.
	LeaseEnded bool `cbor:"gone,omitempty" json:"gone,omitempty"`
	// ChangedIndex is the log index at which control last changed this record; 0 when the control process that sent the view
	// does not record it. Hosts that have skipped views learn from it whether the host left and came back meanwhile.
	ChangedIndex uint64 `cbor:"changed,omitempty" json:"changed,omitempty"`
}

// Section is one team's part of the document.
type Section struct {
	Team string `cbor:"team" json:"team"`
	// Revision counts the accepted edits of the section from 1.
	Revision uint64 `cbor:"revision" json:"revision"`
	// Text is the accepted YAML text.
	Text string `cbor:"text" json:"text"`
	// Author is the operator who made the last accepted edit.
	Author string `cbor:"author" json:"author"`
}

// View is the state of the control group at one index of its log, in the form that
// entry hosts use. A view is never modified; a new one replaces it.
type View struct {
	// Index is the log index of the newest entry included; a host never replaces its view by one with a lower index.
	Index uint64 `cbor:"index" json:"index"`
	// Document is the log index of the newest accepted edit of the document.
	Document  uint64              `cbor:"document" json:"document"`
	Hosts     map[string]Host     `cbor:"hosts" json:"hosts"`
	Databases map[string]Database `cbor:"databases" json:"databases"`
	Sections  map[string]Section  `cbor:"sections" json:"sections"`
	// Edition is the newest accepted edition; nil when the document has none. It is never modified.
	Edition *Edition `cbor:"edition,omitempty" json:"edition,omitempty"`
}

// WithoutTexts returns a copy without the texts of the sections, which hold password verifiers.
func (v View) WithoutTexts() View {
	sections := make(map[string]Section, len(v.Sections))
	for name, s := range v.Sections {
		s.Text = ""
		sections[name] = s
	}
	v.Sections = sections
	return v
}

// Target returns a target of a database.
func (v View) Target(database, target string) (Target, bool) {
	t, ok := v.Databases[database].Targets[target]
	return t, ok
}

// Owner returns the host that owns a target.
func (v View) Owner(database, target string) (Host, bool) {
	t, ok := v.Target(database, target)
	if !ok || t.Owner == "" {
		return Host{}, false
	}
	h, ok := v.Hosts[t.Owner]
	return h, ok
}

// Delta is the difference between two views. Applied to the view at From it gives the one at Index.
type Delta struct {
	// From is the index of the view that the delta applies to; 0 means any, and the delta is a full view.
	From  uint64 `cbor:"from"`
	Index uint64 `cbor:"index"`
	// Document is View.Document of the new view.
	Document uint64 `cbor:"document"`
	// Hosts, Databases and Sections hold the entries that are new or changed.
	Hosts     map[string]Host     `cbor:"hosts,omitempty"`
	Databases map[string]Database `cbor:"databases,omitempty"`
	Sections  map[string]Section  `cbor:"sections,omitempty"`
	// Edition is nil when it has not changed or EditionDelta is set.
	Edition *Edition `cbor:"edition,omitempty"`
	// EditionDelta is the difference between the editions of the two views; it is used only for watchers that accept it.
	EditionDelta *EditionDelta `cbor:"edition-delta,omitempty" json:"edition-delta,omitempty"`
	// RemovedHosts, RemovedDatabases and RemovedSections name the removed entries.
	RemovedHosts     []string `cbor:"removed-hosts,omitempty"`
	RemovedDatabases []string `cbor:"removed-databases,omitempty"`
	RemovedSections  []string `cbor:"removed-sections,omitempty"`
	// Compressed holds the encoded and compressed delta in place of all other fields; it is used only between a control
	// process and its watcher. JSON keeps the former name.
	Compressed []byte `cbor:"packed,omitempty" json:"Packed"`
}

// With returns the view after d. A delta for another index, an older one or another edition
// returns v unchanged and false.
func (v View) With(d Delta) (View, bool) {
	switch {
	case d.Index < v.Index:
		return v, false
	case d.From == 0:
		return View{
			Index: d.Index, Document: d.Document,
			Hosts: d.Hosts, Databases: d.Databases, Sections: d.Sections, Edition: d.Edition,
		}, true
	case d.From != v.Index:
		return v, false
	}
	out := View{
		Index: d.Index, Document: d.Document,
		Hosts: maps.Clone(v.Hosts), Databases: maps.Clone(v.Databases), Sections: maps.Clone(v.Sections),
		Edition: v.Edition,
	}
	switch {
	case d.Edition != nil:
		out.Edition = d.Edition
	case d.EditionDelta != nil:
		if v.Edition == nil {
			return v, false
		}
		e, ok := v.Edition.With(*d.EditionDelta)
		if !ok {
			return v, false
		}
		out.Edition = &e
	}
	if out.Hosts == nil {
		out.Hosts = map[string]Host{}
	}
	if out.Databases == nil {
		out.Databases = map[string]Database{}
	}
	if out.Sections == nil {
		out.Sections = map[string]Section{}
	}
	maps.Copy(out.Hosts, d.Hosts)
	maps.Copy(out.Databases, d.Databases)
	maps.Copy(out.Sections, d.Sections)
	for _, n := range d.RemovedHosts {
		delete(out.Hosts, n)
	}
	for _, n := range d.RemovedDatabases {
		delete(out.Databases, n)
	}
	for _, n := range d.RemovedSections {
		delete(out.Sections, n)
	}
	return out, true
}

// Lease is a host's right to run and acknowledge work on the primaries it owns.
type Lease struct {
	Host        string
	Incarnation string
	// Deadline is the end of the lease on the host's own clock, counted from before the host requested it.
	Deadline time.Time
	// SettledIndex is the index of a view such that, when the lease was granted, no host held a lease under an earlier view;
	// 0 when unknown. It never decreases while the host holds a lease.
	SettledIndex uint64
}

// Valid reports whether the lease holds at now.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.Deadline) }
