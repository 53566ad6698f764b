// Package capacity learns how many statements a gateway should keep in flight at a target. It compares the throughput at
// the limit in force with that of short trials at other limits. All decisions are in virtual time: the time is an argument.
package capacity

import (
	"math"
	"time"
)

const (
	// minSharePercent is the least limit, relative to the gateway's share of the target's slots.
	minSharePercent = 50
	// minLimit is the least limit of a gateway, for targets with many gateways.
	minLimit = 0.1
	// maxPause bounds the pause between statements at a limit below 1, so that an open transaction, which holds locks, does
	// not wait longer for its next statement.
	maxPause = 200 * time.Millisecond
	// maxSampleAge is the time without statements after which the limit begins to move back to the reported one.
	maxSampleAge = 3 * time.Second
	// recoveryTime is the time in which the distance to the reported limit falls to 37 percent while there are no statements.
	recoveryTime = 2 * time.Second
	// maxClasses bounds the classes of one target. Statements of further ones count as if they took the usual time.
	maxClasses = 64
)

// Outcome is how a statement ended.
type Outcome int

// The outcomes of statements. OutcomeDone counts as work; OutcomeRefused and OutcomeTimedOut as time that did no work.
const (
	OutcomeDone Outcome = iota
	OutcomeRefused
	OutcomeTimedOut
	OutcomeOther // says nothing about the target's capacity
)

// Sample is a statement that has ended.
type Sample struct {
	// Class groups statements of similar duration; durations are compared only within a class.
	Class string
	// BeganAt is when the statement was sent.
	BeganAt time.Time
	Outcome Outcome
}

// Share is the part of a target that one gateway may use.
type Share struct {
	// Reported is the limit that follows from the slots that the target reports; it is the first and the greatest limit.
	Reported float64
	// Slots is the gateway's share of the reported slots.
	Slots float64
	// Salt shifts the times of trials, so that not all targets have theirs at the same time. It is the same at all gateways
	// of a target.
	Salt uint64
}

// Limit is the learned limit of one gateway at one incarnation of a target. It is not safe for concurrent use.
type Limit struct {
	share Share
	// value is the limit between trials, between the least limit and share.Reported.
	value float64
	// inFlight counts the statements that have begun and not ended.
	inFlight int
	// debt is the time in seconds by which more statements were in flight than the limit allows. It is at least 0.
	debt float64
	// advancedAt is the time up to which debt and the windows have been brought.
	advancedAt time.Time
	// sampledAt is when the last statement ended.
	sampledAt time.Time
	// rungs are the limits to try in ascending order, the last one the reported limit, and present is the index of value's.
	rungs   []rung
	present int
	// references holds about the durations in seconds that the classes of statements have with few in flight.
	references map[string]tally
	// usual holds what was measured at value, with old samples decaying.
	usual window
	// usualFrom is from when on statements count in usual; those that began before it were still affected by a trial.
	usualFrom time.Time
	decayedAt time.Time
	// trial is nil when none is in force, and closing is the one before, until its statements have ended; likewise.
	trial, closing *trial
	// sweep is the number of slots left in which the rungs from sweepFrom on are tried in turn, before the next verdict.
	sweep, sweepFrom int
	// slot is the number of the last slot of the time grid that was seen.
	slot   int64
	change Change
}

// New returns the reported limit.
func New(s Share, now time.Time) *Limit {
	l := &Limit{advancedAt: now, sampledAt: now, decayedAt: now, references: map[string]tally{}}
	l.reset(s, now)
	l.value = s.Reported
	return l
}

// reset discards what is known of the limits.
func (l *Limit) reset(s Share, now time.Time) {
	l.share, l.rungs, l.trial, l.closing = s, rungsOf(s), nil, nil
	l.present, l.sweep = len(l.rungs)-1, 0
	l.usual, l.usualFrom, l.slot = window{}, now, l.slotAt(now)
}

// SetShare adapts the limit to another number of gateways or slots.
func (l *Limit) SetShare(s Share, now time.Time) {
	if s == l.share {
		return
	}
	l.advance(now)
	before, present := l.value, l.present
	l.reset(s, now)
	l.present = present
	l.value = l.rungs[present].limit
	l.record(Change{At: now, Before: before, Cause: CauseShare})
}

// Value returns the limit, apart from trials.
func (l *Limit) Value() float64 { return l.value }

// Change returns the last change of the limit; the zero Change when there was none.
func (l *Limit) Change() Change { return l.change }

// Begin counts a statement that is sent.
func (l *Limit) Begin(now time.Time) {
	l.advance(now)
	l.inFlight++
	if t := l.trial; t != nil && t.covers(now) {
		t.pending++
	}
}

// End counts a statement that has ended.
func (l *Limit) End(s Sample, now time.Time) {
	l.advance(now)
	l.inFlight = max(0, l.inFlight-1)
	l.sampledAt = now
	took := now.Sub(s.BeganAt)
	for _, t := range []*trial{l.closing, l.trial} {
		if t != nil && t.covers(s.BeganAt) {
			t.pending--
			t.window.add(s, took, l.reference(s, took, &t.window))
			if s.Outcome == OutcomeDone {
				t.window.addToClass(s, took)
			}
			l.checkTrial(t, now)
			return
		}
	}
	if !s.BeganAt.Before(l.usualFrom) {
		l.usual.add(s, took, l.reference(s, took, &l.usual))
	}
}

// reference returns the reference of the sample's class. The first statements of a class determine it, so that the class has
// the stretch of the window.
func (l *Limit) reference(s Sample, took time.Duration, w *window) float64 {
	r, known := l.references[s.Class]
	if r.count < referenceSamples && s.Outcome == OutcomeDone {
		r = tally{r.count + 1, r.seconds + took.Seconds()/w.stretch()}
		if known || len(l.references) < maxClasses {
			l.references[s.Class] = r
		}
	}
	return r.mean()
}

// Places returns how many statements may be in flight now, and when the number may next grow without a statement that
// begins or ends; the zero time when it cannot.
func (l *Limit) Places(now time.Time) (places int, growsAt time.Time) {
	l.advance(now)
	l.decide(now)
	limit := l.inForce()
	places = l.places()
	if l.debt > 0 && float64(l.inFlight) < limit {
		growsAt = now.Add(time.Duration(l.debt / (limit - float64(l.inFlight)) * float64(time.Second)))
		growsAt = growsAt.Add(time.Microsecond) // the division may round down
	}
	return places, growsAt
}

// inForce returns the limit, that of the trial during one.
func (l *Limit) inForce() float64 {
	if l.trial != nil {
		return l.rungs[l.trial.rung].limit
	}
	return l.value
}

// places returns the whole number of places for which the mean in flight does not exceed the limit.
func (l *Limit) places() int {
	limit := l.inForce()
	if l.debt > 0 {
		return int(math.Floor(limit + roundingError))
	}
	return int(math.Ceil(limit - roundingError))
}

// roundingError is far below a difference of limits that matters.
const roundingError = 1e-6

// advance brings the debt and the windows up to now.
func (l *Limit) advance(now time.Time) {
	elapsed := now.Sub(l.advancedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	inFlight := float64(l.inFlight)
	limited := l.inFlight >= l.places()
	switch {
	case l.trial == nil && !l.advancedAt.Before(l.usualFrom):
		l.usual.pass(elapsed, inFlight, limited)
	case l.trial != nil && !l.advancedAt.Before(l.trial.settleUntil):
		l.trial.window.pass(elapsed, inFlight, limited)
	}
	limit := l.inForce()
	l.debt = min(max(0, l.debt+(inFlight-limit)*elapsed), limit*maxPause.Seconds())
	l.recover(now)
	l.advancedAt = now
}

// recover moves the limit towards the reported one when there have been no samples for a while.
func (l *Limit) recover(now time.Time) {
	from := l.sampledAt.Add(maxSampleAge)
	if now.After(from) && l.inFlight == 0 {
		l.reset(l.share, now)
	}
	limit := l.rungs[l.present].limit
	if l.value >= limit {
		return
	}
	if l.advancedAt.After(from) {
		from = l.advancedAt
	}
	before := l.value
	l.value += (limit - l.value) * (1 - math.Exp(-now.Sub(from).Seconds()/recoveryTime.Seconds()))
	if limit-l.value < limit/100 {
		l.value = limit
	}
	l.record(Change{At: now, Before: before, Cause: CauseNoSamples})
}

// least returns the least limit.
func (s Share) least() float64 {
	return min(s.Reported, max(minLimit, s.Slots*minSharePercent/100))
}

// record stores the change as the last one.
func (l *Limit) record(c Change) {
	c.After = l.value
	l.change = c
}
