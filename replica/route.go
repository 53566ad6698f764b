// Package replica chooses the target that serves a read and gives the reason, and
// tracks what a host knows about the targets' positions: their progress, the age of
// their data, the guests' marks and the position that a majority of a group has stored.
package replica

import (
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/document"
)

// Reason is the reason of a routing decision.
type Reason string

// The reasons of routing decisions.
const (
	// ReasonCovered means that a replica is known to have reached the required position.
	ReasonCovered Reason = "replica-covers"
	// ReasonExpected means that a replica is expected to reach the position before Query.WaitUntil.
	ReasonExpected Reason = "replica-expected"
	// ReasonStale means that there is no primary and a replica serves within the team's staleness limit.
	ReasonStale Reason = "replica-stale"
	// ReasonWrite means that the statement needs the primary.
	ReasonWrite Reason = "primary-write"
	// ReasonRefused means that a replica refused the statement as a write.
	ReasonRefused Reason = "primary-read-only-refused"
	// ReasonBehind means that no replica covers the required position or is expected to.
	ReasonBehind Reason = "primary-replicas-behind"
	// ReasonNoReplica means that no replica is usable.
	ReasonNoReplica Reason = "primary-no-replica"
	// ReasonMark means that the guest's mark or a recent position of the primary is not known.
	ReasonMark Reason = "primary-mark-unknown"
	// ReasonWait means that no target can run the statement now and the statement waits.
	ReasonWait Reason = "wait-no-target"
	// ReasonRefuse means that there is no primary and the team's choice is to refuse writes then.
	ReasonRefuse Reason = "refuse-no-primary"
)

// Reasons lists every reason.
func Reasons() []Reason {
	return []Reason{
		ReasonCovered, ReasonExpected, ReasonStale, ReasonWrite, ReasonRefused, ReasonBehind,
		ReasonNoReplica, ReasonMark, ReasonWait, ReasonRefuse,
	}
}

// Action is how a statement is handled.
type Action string

// The actions of routing decisions.
const (
	ActionSend   Action = "send"   // send it to Decision.Target
	ActionWait   Action = "wait"   // route it again when the view changes, or after a short time
	ActionRefuse Action = "refuse" // answer "not run" at once
)

// Query is a statement to be routed.
type Query struct {
	Access jacinthtiller.Access
	// NeedsPrimary is true if the statement must go to the primary although it is a read;
	// PrimaryReason is the reason.
	NeedsPrimary  bool
	PrimaryReason Reason
	// PrimaryUnavailable is true if the primary did not run the request because it had no lease, or if it could not be
	// reached. The team's choice for a missing primary applies then, although the view still names one.
	PrimaryUnavailable bool
	// ReplicaOnly is true if the statement must not run on the primary, because its role
	// may not write and the statement is not known to be a plain read.
	ReplicaOnly bool
	// RequiredPosition is the position that a replica must cover: it covers the guest's mark and, for a
	// read class with an age limit, a position that the primary had within that age.
	RequiredPosition jacinthtiller.Position
	// Mark is the guest's mark alone, which a replica must cover under document.PrimaryMissingServeReads too.
	Mark jacinthtiller.Position
	// MarkUnknown is true if the guest may have writes that Mark does not include, so
	// that no replica may be used.
	MarkUnknown bool
	// AgeUnknown is true if the read class limits the age and no recent enough position of
	// the primary is known; a replica may then serve only under document.PrimaryMissingServeReads.
	AgeUnknown bool
	// WaitUntil is the time until which the statement may wait for a replica to reach RequiredPosition.
	WaitUntil time.Time
	// PrimaryMissing and OldestAllowed are the team's choice for a database without a primary;
	// data must be at least as new as OldestAllowed.
	PrimaryMissing document.PrimaryMissingPolicy
	OldestAllowed  time.Time
	// TieBreak is a random number that selects one of several equally near replicas.
	TieBreak uint64
}

// Candidate is a target that Route may choose.
type Candidate struct {
	Name    string
	Primary bool
	// Distance is the distance of the target's owner from this host.
	Distance Distance
	// Usable is false for a target that is leaving, lost, without a live owner or
	// already tried for this statement.
	Usable bool
	// Position is the newest known position of the target, which may have advanced since.
	Position jacinthtiller.Position
	// FreshAt is a time such that the target's data is at least as new as that time; zero if none is known.
	FreshAt time.Time
	// SlowUntil is the time before which the target is not expected to reach a position
	// beyond Position.
	SlowUntil time.Time
	// AvoidUntil is the time before which the target is not tried, because it could not be reached.
	AvoidUntil time.Time
}

// Distance is how far the owner of a target is from this host.
type Distance int

// The distances, nearest first.
const (
	SameHost Distance = iota
	SameDomain
	SameRegion
	OtherRegion
)

// Decision is the result of Route.
type Decision struct {
	Action Action
	// Target is set only when Action is ActionSend.
	Target string
	Reason Reason
	// RequiredPosition is the position that the target must cover, for Unit.Mark.
	RequiredPosition jacinthtiller.Position
}

// Route chooses the target for a statement. It is a pure function of its arguments.
func Route(q Query, candidates []Candidate, now time.Time) Decision {
	if q.Access == jacinthtiller.AccessWrite || q.NeedsPrimary {
		reason := ReasonWrite
		if q.PrimaryReason != "" {
			reason = q.PrimaryReason
		}
		return routeToPrimary(q, candidates, reason)
	}
	if q.MarkUnknown {
		return routeToPrimary(q, candidates, ReasonMark)
	}
	if !q.AgeUnknown {
		if t := nearestReplica(candidates, q.TieBreak, func(c Candidate) bool {
			return c.Position.Covers(q.RequiredPosition) && !c.AvoidUntil.After(now)
		}); t != "" {
			return Decision{Action: ActionSend, Target: t, Reason: ReasonCovered, RequiredPosition: q.RequiredPosition}
		}
		if t := expectedReplica(q, candidates, now); t != "" {
			return Decision{Action: ActionSend, Target: t, Reason: ReasonExpected, RequiredPosition: q.RequiredPosition}
		}
	}
	d := routeToPrimary(q, candidates, primaryReason(q, candidates))
	primaryPresent := d.Action == ActionSend || hasPrimary(candidates)
	if primaryPresent && !q.PrimaryUnavailable || q.PrimaryMissing != document.PrimaryMissingServeReads {
		return d
	}
	if t := nearestReplica(candidates, q.TieBreak, func(c Candidate) bool {
		return mayServeStale(q, c) && !c.AvoidUntil.After(now)
	}); t != "" {
		return Decision{Action: ActionSend, Target: t, Reason: ReasonStale, RequiredPosition: q.Mark}
	}
	return d
}

// mayServeStale reports whether c may serve a read while there is no primary.
func mayServeStale(q Query, c Candidate) bool {
	return c.Position.Covers(q.Mark) && !c.FreshAt.IsZero() && !c.FreshAt.Before(q.OldestAllowed)
}

func expectedReplica(q Query, candidates []Candidate, now time.Time) string {
	if !q.WaitUntil.After(now) {
		return ""
	}
	return nearestReplica(candidates, q.TieBreak, func(c Candidate) bool {
		return !c.SlowUntil.After(now) && !c.AvoidUntil.After(now)
	})
}

// nearestReplica returns the name of one of the nearest usable replicas that fit, or "" if there is none.
func nearestReplica(candidates []Candidate, tieBreak uint64, fits func(Candidate) bool) string {
	best, count := OtherRegion+1, uint64(0)
	for _, c := range candidates {
		switch {
		case c.Primary || !c.Usable || !fits(c):
		case c.Distance < best:
			best, count = c.Distance, 1
		case c.Distance == best:
			count++
		}
	}
	if count == 0 {
		return ""
	}
	skip := tieBreak % count
	for _, c := range candidates {
		if c.Primary || !c.Usable || c.Distance != best || !fits(c) {
			continue
		}
		if skip == 0 {
			return c.Name
		}
		skip--
	}
	return ""
}

func routeToPrimary(q Query, candidates []Candidate, reason Reason) Decision {
	if q.ReplicaOnly {
		return Decision{Action: ActionWait, Reason: ReasonWait}
	}
	for _, c := range candidates {
		if c.Primary && c.Usable {
			return Decision{Action: ActionSend, Target: c.Name, Reason: reason, RequiredPosition: q.RequiredPosition}
		}
	}
	if q.Access == jacinthtiller.AccessWrite && !hasPrimary(candidates) && q.PrimaryMissing == document.PrimaryMissingRefuse {
		return Decision{Action: ActionRefuse, Reason: ReasonRefuse}
	}
	return Decision{Action: ActionWait, Reason: ReasonWait}
}

func hasPrimary(candidates []Candidate) bool {
	for _, c := range candidates {
		if c.Primary {
			return true
		}
	}
	return false
}

func primaryReason(q Query, candidates []Candidate) Reason {
	if q.AgeUnknown {
		return ReasonMark
	}
	for _, c := range candidates {
		if !c.Primary && c.Usable {
			return ReasonBehind
		}
	}
	return ReasonNoReplica
}
