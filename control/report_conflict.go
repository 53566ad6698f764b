package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// challengeInterval is the least time between two reports of a target that contradict what is recorded, for the second
	// one to count. Delayed reports of an incarnation that has ended arrive together, after the partition that delayed them;
	// those of one that runs arrive one by one, at least 1 s apart on all known platforms.
	challengeInterval = 500 * time.Millisecond
	// challengeTTL is how long the first of the two reports counts; the longest known interval of reports is 4 s.
	challengeTTL = 15 * time.Second
	// maxChallenges bounds the challenges, because another writer may use any number of names.
	maxChallenges = 1024
)

// errOutdatedReport means that a report is older than what is recorded, or is of a target that has departed. It has changed
// nothing. A target that runs repeats it.
var errOutdatedReport = errors.New("the report is older than what is recorded of the target, or of its address")

// departure is an incarnation of a target that has left its group.
type departure struct {
	targetIncarnation
	// Displaced is true if another target has claimed its address. The target itself has not reported that it leaves, so that
	// its next report counts if it still runs there.
	Displaced bool `cbor:"displaced,omitempty"`
	// AskedToLeave is true if an operator had asked a displaced target to leave, which holds again once it is back.
	AskedToLeave bool `cbor:"asked-to-leave,omitempty"`
}

// confirmation is what a report contradicts, although the leader has found that its sender runs. The report counts only while
// the same is recorded, so that a departure meanwhile is not undone.
type confirmation struct {
	// Against holds the recorded incarnations with the name or the address of the report, in the order of state.conflicting.
	Against []targetIncarnation `cbor:"against,omitempty"`
	// Departed is true if the departure of the incarnation, or of a later one, is recorded.
	Departed bool `cbor:"departed,omitempty"`
}

// contradiction returns what a report contradicts.
func (s *state) contradiction(r jacinthtiller.TargetReport) confirmation {
	out := confirmation{Departed: s.hasDeparted(r)}
	for _, t := range s.conflicting(r) {
		out.Against = append(out.Against, incarnationOf(t))
	}
	return out
}

func (c confirmation) equal(o confirmation) bool {
	return c.Departed == o.Departed && slices.Equal(c.Against, o.Against)
}

// challenge is a report that contradicts what is recorded, of a target that may run all the same.
type challenge struct {
	targetIncarnation
	address  string
	sequence uint64
	// secondFrom and secondUntil are when a second report counts.
	secondFrom, secondUntil time.Time
}

// isSecondReport reports whether the sender of a report that contradicts what is recorded has sent another one before, and
// nothing recorded has been reported again in between. Otherwise it remembers the report.
func (x *directState) isSecondReport(r jacinthtiller.TargetReport, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	k := incarnationOf(targetFromReport(r))
	c, ok := x.challenges[r.Target]
	if ok && c.targetIncarnation == k && c.address == r.Address && now.Before(c.secondUntil) {
		if r.Sequence <= c.sequence || now.Before(c.secondFrom) {
			return false
		}
		delete(x.challenges, r.Target)
		return true
	}
	if !ok && len(x.challenges) >= maxChallenges {
		for n, c := range x.challenges {
			if !now.Before(c.secondUntil) {
				delete(x.challenges, n)
			}
		}
		if len(x.challenges) >= maxChallenges {
			return false
		}
	}
	x.challenges[r.Target] = challenge{
		targetIncarnation: k, address: r.Address, sequence: r.Sequence,
		secondFrom: now.Add(challengeInterval), secondUntil: now.Add(challengeTTL),
	}
	return false
}

// endChallenges forgets the reports that contradict a report which counts.
func (x *directState) endChallenges(r jacinthtiller.TargetReport) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for n, c := range x.challenges {
		if n == r.Target || c.address == r.Address {
			delete(x.challenges, n)
		}
	}
}

// presence is what the answer at an address says of a target.
type presence string

const (
	presenceUnknown presence = "unknown" // nobody answered, or nothing that tells who
	presenceRuns    presence = "runs"    // the target answered
	presenceOther   presence = "other"   // another target answered
)

// findPresence asks at the address of a target whether the target runs there.
func (s *Server) findPresence(ctx context.Context, t jacinthtiller.Target) presence {
	if s.inspector == nil {
		return presenceUnknown
	}
	_, err := s.inspect(ctx, t, inspectTimeout)
	var refused *jacinthtiller.TargetError
	switch {
	case err == nil:
		return presenceRuns
	case errors.As(err, &refused) && refused.Code == jacinthtiller.ErrorCodeWrongTarget:
		return presenceOther
	case refused != nil && refused.Code == jacinthtiller.ErrorCodeBusy: // it has accepted the name, and is too busy to return its state
		return presenceRuns
	}
	return presenceUnknown
}

// admitReport decides whether a report with news counts. A report proves nothing about other targets: where it contradicts what
// is recorded, the target at the address is asked who it is, and if that decides nothing, a target that goes on reporting
// prevails. It returns a confirmation for a report that counts although it is older than what is recorded.
func (s *Server) admitReport(ctx context.Context, st *state, r jacinthtiller.TargetReport) (*confirmation, error) {
	var rivals []jacinthtiller.Target // other targets at its address
	var recorded jacinthtiller.Target // the one of its name
	for _, t := range st.conflicting(r) {
		if t.Name == r.Target {
			recorded = t
		} else {
			rivals = append(rivals, t)
		}
	}
	if e := st.View.Edition; e != nil && recorded.Database != r.Database {
		if _, ok := e.Groups[r.Database]; !ok {
			return nil, &jacinthtiller.InvalidError{Err: fmt.Errorf("report: the configuration names no database %q", r.Database)}
		}
	}
	outdated := st.isOutdated(r, st.conflicting(r)) || s.direct.isOutOfOrder(r)
	d, departed := st.departureOf(r)
	if recorded.Name != "" && (recorded.Address != r.Address || recorded.Database != r.Database) &&
		s.findPresence(ctx, recorded) == presenceRuns {
		return nil, &jacinthtiller.InvalidError{Err: fmt.Errorf("report: %s still runs at the address that is recorded", r.Target)}
	}
	found := presenceUnknown
	if len(rivals) > 0 || departed {
		found = s.findPresence(ctx, targetFromReport(r))
	}
	if found == presenceOther {
		return nil, &jacinthtiller.InvalidError{Err: fmt.Errorf("report: another target than %s runs at the address", r.Target)}
	}
	if !outdated {
		return nil, nil //nolint:nilnil // it counts, and needs no confirmation
	}
	answers, left := found == presenceRuns, departed && !d.Displaced
	provenByAnswer := answers && !left
	if !provenByAnswer && (left && !answers || !s.direct.isSecondReport(r, time.Now())) {
		return nil, errOutdatedReport
	}
	c := st.contradiction(r)
	s.events.Emit(event.ControlReportConfirmed, event.Fields{
		"database": r.Database, "target": r.Target, "address": r.Address, "born": r.StartedMilliseconds, "sequence": r.Sequence,
		"against": c.Against, "departed": c.Departed, "presence": string(found),
	})
	return &c, nil
}

// RefuseReport records that a report under a target's name was refused, which changes nothing. The number of log lines is
// limited, because another writer may send any number of reports.
func (s *Server) RefuseReport(target string, cause error) {
	s.metrics.targetReports.Add(s.ctx, 1, outcomeRefused)
	if s.refusalLimiter.Allow() {
		s.events.Emit(event.ControlReportRefused, event.Fields{"target": fmt.Sprintf("%.64s", target), "error": cause.Error()})
	}
}

// departureOf returns the recorded departure of the report's incarnation, or of a later one, and false if there is none. A
// departure that the target has reported itself comes before one that another target's claim has caused.
func (s *state) departureOf(r jacinthtiller.TargetReport) (departure, bool) {
	var out departure
	found := false
	for _, d := range s.Departed {
		if d.Target == r.Target && r.StartedMilliseconds <= d.StartedMilliseconds && (!found || out.Displaced) {
			out, found = d, true
		}
	}
	return out, found
}

// readmit makes the incarnation that sent a report count again. It reports whether the proof of its group had it as departed, so
// that what claimed to be a later start of it had no log of its own.
func (e *editor) readmit(r jacinthtiller.TargetReport) bool {
	k := incarnationOf(targetFromReport(r))
	for _, d := range e.s.Departed {
		if d.targetIncarnation == k && d.AskedToLeave {
			e.setLeaving(targetKey(r.Database, r.Target), true)
		}
	}
	e.s.Departed = slices.DeleteFunc(slices.Clone(e.s.Departed), func(d departure) bool {
		return d.Target == k.Target && k.StartedMilliseconds <= d.StartedMilliseconds
	})
	isSelf := func(t logHolder) bool { return t.targetIncarnation == k && t.Address == r.Address }
	if !slices.ContainsFunc(e.s.CommitProofs[r.Database].Departed, isSelf) {
		return false
	}
	e.changeProof(r.Database, func(p *commitProof) { // a recorded target counts as a replica itself
		p.Departed = slices.DeleteFunc(p.Departed, isSelf)
	})
	return true
}

// recordDeparture records that the target's present incarnation is about to leave, or that another target has claimed its
// address.
func (e *editor) recordDeparture(t jacinthtiller.Target, displaced bool) {
	e.departFromProof(t)
	k := targetKey(t.Database, t.Name)
	askedToLeave := e.s.Leaving[k]
	if askedToLeave {
		e.setLeaving(k, false)
	}
	displaced = displaced && (t.State != jacinthtiller.StateLeaving || askedToLeave)
	d := departure{targetIncarnation: incarnationOf(t), Displaced: displaced, AskedToLeave: displaced && askedToLeave}
	list := append(slices.Clone(e.s.Departed), d)
	e.s.Departed = list[max(0, len(list)-maxDeparted):]
}
