package capacity

import (
	"math"
	"time"
)

const (
	// slotLength is the length of a trial. Trials begin on a grid by the wall clock, because the gateways of a target have to
	// try a limit at the same time: one alone would only move work to the others. A wrong clock makes trials weaker and does
	// no other harm.
	slotLength = 500 * time.Millisecond
	// trialInterval is the number of slots from one trial to the next, and lowInterval the number of trials from one of a limit
	// below the present one to the next. Those leave up to half of a healthy target idle, and urgent statements wait longer:
	// they have to take less than a hundredth of the time each.
	trialInterval = 8
	lowInterval   = 16
	// middleInterval is that of the limit next to the least one, for targets with the least one in force. The others try the
	// reported one, which shows that a target has recovered.
	middleInterval = 4
	// sweepRounds is how often all limits are tried in turn after a change of the latency, at most.
	sweepRounds = 2
	// maxDelayPercent is how late a trial may begin, relative to the slot.
	maxDelayPercent = 20
	// minTrialSamples is the least number of statements at each of two limits for a verdict.
	minTrialSamples = 8
	// loserSamples statements suffice for a limit with less than loserPercent of the present throughput.
	loserSamples, loserPercent = 4, 70
	minSettle                  = 20 * time.Millisecond
	// minLimitedPercent is the part of the time in which all places are in use from which on the limit determines the number
	// in flight.
	minLimitedPercent = 70
	// minDemandPercent is the part of the time in which all places must be in use for a gateway to take part in trials. It is
	// lower, because a trial shows nothing if some gateways with much work take no part.
	minDemandPercent = 30
	// gainPercent is the throughput, relative to the present one, from which on another limit comes into force. With the
	// samples of a slot, chance alone rarely gives as much.
	gainPercent = 115
	// alarmPercent is the change of the latency at the present limit from which on what is known of other limits is outdated,
	// and alarmSamples the least number of statements that show it.
	alarmPercent = 170
	alarmSamples = 10
	// maxDriftPercent bounds what one trial of the present limit changes, so that a trial in the middle of a change does not
	// hide it from the alarm.
	maxDriftPercent = 120
	// renewPercent is the change of the latency at a limit from which on a trial replaces the earlier ones.
	renewPercent = 150
	// earlierWeight is the weight of earlier trials of a limit relative to that of the last one.
	earlierWeight = 0.7
	// usualDecay is the time in which the weight of a sample falls to 37 percent.
	usualDecay    = 800 * time.Millisecond
	decayInterval = 50 * time.Millisecond
)

// rungPercents are the limits that are tried below the reported one, relative to the gateway's share of the slots. Above the
// slots only the queue at a healthy target grows; half as many more keep its slots busy. The first is the least limit.
var rungPercents = []float64{minSharePercent, 75}

// rung is what is known of one limit.
type rung struct {
	limit float64
	// stretch is the time that statements took in trials, relative to the references of their classes; valid if count, the
	// decayed number of these statements, is above 0.
	stretch, count float64
}

// throughput returns the work done in a second, by Little's law.
func (r rung) throughput() float64 { return r.limit / r.stretch }

// learn adds a trial, or replaces the earlier ones if the latency has changed.
func (r *rung) learn(stretch, count float64) {
	if r.count == 0 || changed(r.stretch, stretch, renewPercent) {
		r.stretch, r.count = stretch, count
		return
	}
	earlier := r.count * earlierWeight
	r.count = earlier + count
	r.stretch += (stretch - r.stretch) * count / r.count
}

// changed reports whether one number is at least the given percentage of the other.
func changed(a, b, percent float64) bool { return max(a, b)*100 >= min(a, b)*percent }

// Cause is why a limit changed.
type Cause string

// The causes of changes.
const (
	// CauseNoGain means that a lower limit gave the same throughput or more.
	CauseNoGain Cause = "no-gain"
	// CauseGain means that a higher limit gave more throughput.
	CauseGain Cause = "gain"
	// CauseNoSamples means that there have been no statements for seconds.
	CauseNoSamples Cause = "no-samples"
	// CauseShare means that the number of gateways or the reported slots changed.
	CauseShare Cause = "share"
)

// Change is a change of a limit and what decided it. The fields from Class on are set only for changes after a trial.
type Change struct {
	At            time.Time
	Before, After float64
	Cause         Cause
	// Class is the class with the most time in the last trial, LatencyMicroseconds its mean duration there, and
	// FloorMicroseconds the reference of the class, about its duration with few statements in flight.
	Class                                  string
	LatencyMicroseconds, FloorMicroseconds int64
	// InFlight is the mean number in flight in the trial.
	InFlight float64
	// ThroughputPercent is the throughput at the new limit relative to that at the former.
	ThroughputPercent int
	Samples           int
}

// trial measures one rung for one slot.
type trial struct {
	rung int
	// settleUntil is when the statements that were sent before the trial no longer affect new ones, and until is the end of
	// the trial; zero while it is in force.
	settleUntil, until time.Time
	// pending counts the statements that began in between and have not ended.
	pending int
	window  window
}

// covers reports whether a statement that began at the time belongs to the trial.
func (t *trial) covers(began time.Time) bool {
	return !began.Before(t.settleUntil) && (t.until.IsZero() || began.Before(t.until))
}

// rungsOf returns the limits to try, in ascending order. The last is the reported one.
func rungsOf(s Share) []rung {
	var out []rung
	for _, p := range rungPercents {
		out = append(out, rung{limit: max(s.least(), min(s.Reported, s.Slots*p/100))})
	}
	return append(out, rung{limit: s.Reported})
}

// slotAt returns the number of the slot of the target's grid.
func (l *Limit) slotAt(now time.Time) int64 { return l.gridTime(now) / int64(slotLength) }

// gridTime returns the time on the target's grid in nanoseconds.
func (l *Limit) gridTime(now time.Time) int64 {
	return now.UnixNano() + int64(l.share.Salt%1000)*int64(trialInterval*slotLength)/1000
}

// decide begins or ends a trial when it is time.
func (l *Limit) decide(now time.Time) {
	if elapsed := now.Sub(l.decayedAt); elapsed >= decayInterval {
		l.decayedAt = now
		l.usual.decay(math.Exp(-elapsed.Seconds() / usualDecay.Seconds()))
	}
	slot := l.slotAt(now)
	if slot == l.slot {
		return
	}
	l.slot = slot
	if l.closing != nil {
		l.conclude(now)
	}
	if l.trial != nil {
		l.close(now)
	}
	late := l.gridTime(now)%int64(slotLength)*100 > int64(slotLength)*maxDelayPercent
	if late || l.usual.limitedPercent() < minDemandPercent {
		return
	}
	present := l.rungs[l.present]
	if l.sweep == 0 && present.count > 0 && l.usual.count >= alarmSamples && l.usual.limitedPercent() >= minLimitedPercent &&
		changed(present.stretch, l.usual.stretch(), alarmPercent) {
		l.forget(l.usual.stretch() < present.stretch)
	}
	if l.sweep > 0 {
		l.sweep--
		if rung := int(slot % int64(len(l.rungs))); rung >= l.sweepFrom {
			l.beginTrial(rung, now)
		}
		return
	}
	if slot%trialInterval != 0 {
		return
	}
	// All gateways try the same rung at the same time, whatever limits they have in force.
	rung, n := len(l.rungs)-1, slot/trialInterval
	switch {
	case n%lowInterval == 0:
		rung = int(n / lowInterval % int64(len(l.rungs)-1))
	case n%middleInterval == 0:
		rung = 1
	}
	if rung >= l.present || n%lowInterval == 0 {
		l.beginTrial(rung, now)
	}
}

// forget discards what is known of the rungs and begins to try all in turn, or only those from the present one on if the target
// has become faster.
func (l *Limit) forget(faster bool) {
	for i := range l.rungs {
		l.rungs[i].count = 0
	}
	l.sweep, l.sweepFrom = sweepRounds*len(l.rungs), 0
	if faster {
		l.sweepFrom = l.present
	}
}

// swept reports whether the sweep has shown enough.
func (l *Limit) swept() bool {
	for _, r := range l.rungs[l.sweepFrom:] {
		if r.count < minTrialSamples && !r.clearlyLosesTo(l.rungs[l.present]) {
			return false
		}
	}
	return true
}

func (l *Limit) beginTrial(rung int, now time.Time) {
	settleUntil := now
	if rung != l.present || l.closing != nil {
		settleUntil = now.Add(l.usual.settleTime())
	}
	l.trial = &trial{rung: rung, settleUntil: settleUntil}
	l.debt = 0
}

// checkTrial ends a trial that clearly loses, and concludes one whose statements have all ended.
func (l *Limit) checkTrial(t *trial, now time.Time) {
	present := l.rungs[l.present]
	r := rung{limit: l.rungs[t.rung].limit, stretch: t.window.stretch(), count: t.window.count}
	switch {
	case t == l.closing && t.pending == 0:
		l.conclude(now)
	case t == l.trial && t.rung < l.present && r.clearlyLosesTo(present):
		l.close(now)
	}
}

// clearlyLosesTo reports whether few statements suffice to see that the other limit gives more throughput.
func (r rung) clearlyLosesTo(o rung) bool {
	return r.count >= loserSamples && o.count > 0 && r.throughput()*100 < o.throughput()*loserPercent
}

// close puts the present limit in force again. The verdict waits for the statements of the trial.
func (l *Limit) close(now time.Time) {
	t := l.trial
	t.until = now
	l.trial, l.closing, l.debt = nil, t, 0
	l.usualFrom = now
	if t.rung != l.present {
		l.usualFrom = now.Add(max(t.window.settleTime(), l.usual.settleTime()))
	}
	if t.pending <= 0 {
		l.conclude(now)
	}
}

// conclude adds a closed trial to what is known and puts the best limit in force.
func (l *Limit) conclude(now time.Time) {
	t := l.closing
	l.closing = nil
	w := &t.window
	if w.count < 1 || w.limitedPercent() < minLimitedPercent {
		return
	}
	stretch := w.stretch()
	if r := l.rungs[t.rung]; t.rung == l.present && l.sweep == 0 && r.count > 0 {
		if w.count >= minTrialSamples && changed(r.stretch, stretch, alarmPercent) {
			l.forget(stretch < r.stretch)
		} else {
			stretch = min(max(stretch, r.stretch*100/maxDriftPercent), r.stretch*maxDriftPercent/100)
		}
	}
	l.rungs[t.rung].learn(stretch, w.count)
	if t.rung == 0 {
		l.learnReferences(w)
	}
	switch {
	case l.sweep > 0 && l.swept():
		l.sweep = 0
	case l.sweep > 0:
		return
	}
	best := l.best()
	if best == l.present {
		return
	}
	class, tally := w.longestClass()
	c := Change{
		At: now, Before: l.value, Cause: CauseNoGain, Class: class, LatencyMicroseconds: int64(tally.mean() * 1e6),
		FloorMicroseconds: int64(l.references[class].mean() * 1e6), InFlight: w.meanInFlight(), Samples: int(w.count),
		ThroughputPercent: int(l.rungs[best].throughput() / l.rungs[l.present].throughput() * 100),
	}
	if best > l.present {
		c.Cause = CauseGain
	}
	l.present, l.value = best, l.rungs[best].limit
	l.usual, l.usualFrom = window{}, now
	l.record(c)
}

// best returns the rung with the greatest known throughput, or the present one if none is clearly better.
func (l *Limit) best() int {
	best := l.present
	present := l.rungs[best]
	if present.count < minTrialSamples {
		return best
	}
	for i, r := range l.rungs {
		if r.count >= minTrialSamples && r.throughput()*100 >= present.throughput()*gainPercent && r.throughput() > l.rungs[best].throughput() {
			best = i
		}
	}
	return best
}

// learnReferences corrects the ratios between the references of the classes by a trial with few statements in flight, in which
// statements wait little for those of other classes. Their level stays, as that of all rungs depends on it.
func (l *Limit) learnReferences(w *window) {
	stretch := w.stretch()
	for c, t := range w.classes {
		if r, known := l.references[c]; known {
			r.seconds, r.count = r.mean()*referenceSamples+t.seconds/stretch, referenceSamples+t.count
			l.references[c] = r
		}
	}
}

// referenceSamples is the number of statements that determine a reference; as many more renew half of it.
const referenceSamples = 20
