// Package replica chooses the target that serves a read and says why, and keeps
// what a host knows of the targets' positions: their progress, the age of their
// data, the guests' marks and the settled position of a primary.
package replica

import (
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/document"
)

// Reason says why a statement was routed as it was.
type Reason string

// The reasons of a decision.
const (
	// ReasonCovered means that a replica is known to be at the position needed.
	ReasonCovered Reason = "replica-covers"
	// ReasonExpected means that a replica is expected to reach the position within the wait.
	ReasonExpected Reason = "replica-expected"
	// ReasonStale means that there is no primary and a replica serves under the team's stale age.
	ReasonStale Reason = "replica-stale"
	// ReasonWrite means that the statement needs the primary.
	ReasonWrite Reason = "primary-write"
	// ReasonRefused means that a replica refused the statement as a write.
	ReasonRefused Reason = "primary-read-only-refused"
	// ReasonBehind means that no replica covers the position needed or is expected to.
	ReasonBehind Reason = "primary-replicas-behind"
	// ReasonNoReplica means that no replica can be used at all.
	ReasonNoReplica Reason = "primary-no-replica"
	// ReasonMark means that the guest's mark or a recent position of the primary is not known.
	ReasonMark Reason = "primary-mark-unknown"
	// ReasonWait means that nothing can run the statement now and the team waits.
	ReasonWait Reason = "wait-no-target"
	// ReasonRefuse means that there is no primary and the team refuses writes then.
	ReasonRefuse Reason = "refuse-no-primary"
)

// Reasons lists every reason.
func Reasons() []Reason {
	return []Reason{
		ReasonCovered, ReasonExpected, ReasonStale, ReasonWrite, ReasonRefused, ReasonBehind,
		ReasonNoReplica, ReasonMark, ReasonWait, ReasonRefuse,
	}
}

// Action is what to do with a statement.
type Action string

// The actions of a decision.
const (
	ActionSend   Action = "send"   // send it to Decision.Target
	ActionWait   Action = "wait"   // ask again when the view changes, or a little later
	ActionRefuse Action = "refuse" // answer "not run" at once
)

// Query is a statement to be routed.
type Query struct {
	Access jacinthtiller.Access
	// Primary is true when the statement must go to the primary although it reads,
	// and PrimaryReason says why.
	Primary       bool
	PrimaryReason Reason
	// PrimaryAway is true when the primary did not run the request for want of a lease or could not be reached. The
	// team's choice for a missing primary then holds, although the view still names one.
	PrimaryAway bool
	// NoPrimary is true when the statement must not run on the primary: it comes from a
	// role that may not write and is not known to be a plain read.
	NoPrimary bool
	// Need is the position that a replica must cover: the guest's mark and, for a class
	// with a greatest age, a position that the primary had within that age.
	Need jacinthtiller.Position
	// Mark is the guest's mark alone, which holds under MissingServeReads too.
	Mark jacinthtiller.Position
	// MarkUnknown is true when the guest may have writes that Mark does not include, so
	// that no replica may be used.
	MarkUnknown bool
	// AgeUnknown is true when the class limits the age and no position of the primary is
	// known that is recent enough; a replica may then only serve under MissingServeReads.
	AgeUnknown bool
	// WaitUntil is the time until which a replica may wait to reach Need.
	WaitUntil time.Time
	// Missing and StaleSince are the team's choice for a database without a primary;
	// data must be at least as new as StaleSince.
	Missing    document.Missing
	StaleSince time.Time
	// Spread is a random number that chooses between equally near replicas.
	Spread uint64
}

// Candidate is a target as the router sees it.
type Candidate struct {
	Name    string
	Primary bool
	// Distance is the target's distance from this host.
	Distance Distance
	// Usable is false for a target that is leaving, lost, without a live owner, or
	// already tried for this statement.
	Usable bool
	// Position is the newest position at which the target is known; it may be further by now.
	Position jacinthtiller.Position
	// FreshAt is the instant than which the target's data is known not to be older; zero when nothing is known.
	FreshAt time.Time
	// SlowUntil is the time before which the target is not expected to reach any
	// position beyond Position.
	SlowUntil time.Time
	// AvoidUntil is the time before which a replica is not tried, because it could not be reached.
	AvoidUntil time.Time
}

// Distance orders targets by their owner's nearness.
type Distance int

// The distances, nearest first.
const (
	SameHost Distance = iota
	SameDomain
	SameRegion
	OtherRegion
)

// Decision says where a statement goes.
type Decision struct {
	Action Action
	// Target is set only when Action is ActionSend.
	Target string
	Reason Reason
	// Need is the position that the target must cover, for Unit.Mark.
	Need jacinthtiller.Position
}

// Route chooses the target for a statement. It depends on its arguments alone.
func Route(q Query, candidates []Candidate, now time.Time) Decision {
	if q.Access == jacinthtiller.AccessWrite || q.Primary {
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
		if t := nearestReplica(candidates, q.Spread, func(c Candidate) bool {
			return c.Position.Covers(q.Need) && !c.AvoidUntil.After(now)
		}); t != "" {
			return Decision{Action: ActionSend, Target: t, Reason: ReasonCovered, Need: q.Need}
		}
		if t := expectedReplica(q, candidates, now); t != "" {
			return Decision{Action: ActionSend, Target: t, Reason: ReasonExpected, Need: q.Need}
		}
	}
	d := routeToPrimary(q, candidates, primaryReason(q, candidates))
	primaryPresent := d.Action == ActionSend || hasPrimary(candidates)
	if primaryPresent && !q.PrimaryAway || q.Missing != document.MissingServeReads {
		return d
	}
	if t := nearestReplica(candidates, q.Spread, func(c Candidate) bool {
		return mayServeStale(q, c) && !c.AvoidUntil.After(now)
	}); t != "" {
		return Decision{Action: ActionSend, Target: t, Reason: ReasonStale, Need: q.Mark}
	}
	return d
}

// mayServeStale reports whether c may serve a read while there is no primary.
func mayServeStale(q Query, c Candidate) bool {
	return c.Position.Covers(q.Mark) && !c.FreshAt.IsZero() && !c.FreshAt.Before(q.StaleSince)
}

func expectedReplica(q Query, candidates []Candidate, now time.Time) string {
	if !q.WaitUntil.After(now) {
		return ""
	}
	return nearestReplica(candidates, q.Spread, func(c Candidate) bool {
		return !c.SlowUntil.After(now) && !c.AvoidUntil.After(now)
	})
}

// nearestReplica returns the name of one of the nearestReplica usable replicas that fit.
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
	if q.NoPrimary {
		return Decision{Action: ActionWait, Reason: ReasonWait}
	}
	for _, c := range candidates {
		if c.Primary && c.Usable {
			return Decision{Action: ActionSend, Target: c.Name, Reason: reason, Need: q.Need}
		}
	}
	if q.Access == jacinthtiller.AccessWrite && !hasPrimary(candidates) && q.Missing == document.MissingRefuse {
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
