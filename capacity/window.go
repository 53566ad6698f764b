package capacity

import "time"

// tally counts statements of one class. Both numbers decay, so they are not whole.
type tally struct {
	count, seconds float64
}

func (t tally) mean() float64 {
	if t.count == 0 {
		return 0
	}
	return t.seconds / t.count
}

// window is what was measured at one limit. All numbers may have decayed.
type window struct {
	// seconds is the length, limitedSeconds the part in which all places were in use, and inFlightSeconds the integral of the
	// number in flight.
	seconds, limitedSeconds, inFlightSeconds float64
	// classes holds the statements that did work; nil before the first. Only windows of trials have it.
	classes map[string]tally
	// count is the number of statements that did work.
	count float64
	// takenSeconds is how long statements took, also those that did no work, and referenceSeconds the sum of the references of
	// those that did.
	takenSeconds, referenceSeconds float64
}

// pass counts a time with a constant number in flight.
func (w *window) pass(seconds, inFlight float64, limited bool) {
	w.seconds += seconds
	w.inFlightSeconds += seconds * inFlight
	if limited {
		w.limitedSeconds += seconds
	}
}

// add counts a statement whose class has the reference.
func (w *window) add(s Sample, took time.Duration, reference float64) {
	if s.Outcome == OutcomeOther {
		return
	}
	w.takenSeconds += took.Seconds()
	if s.Outcome != OutcomeDone {
		return
	}
	w.count++
	w.referenceSeconds += reference
}

// addToClass counts a statement that did work in its class.
func (w *window) addToClass(s Sample, took time.Duration) {
	if w.classes == nil {
		w.classes = map[string]tally{}
	}
	t, known := w.classes[s.Class]
	if known || len(w.classes) < maxClasses {
		w.classes[s.Class] = tally{t.count + 1, t.seconds + took.Seconds()}
	}
}

// decay reduces the weight of all that was measured so far.
func (w *window) decay(factor float64) {
	w.seconds *= factor
	w.limitedSeconds *= factor
	w.inFlightSeconds *= factor
	w.count *= factor
	w.takenSeconds *= factor
	w.referenceSeconds *= factor
}

// meanInFlight returns the mean number in flight.
func (w *window) meanInFlight() float64 {
	if w.seconds == 0 {
		return 0
	}
	return w.inFlightSeconds / w.seconds
}

// limitedPercent returns the part of the time in which all places were in use.
func (w *window) limitedPercent() float64 {
	if w.seconds == 0 {
		return 0
	}
	return w.limitedSeconds / w.seconds * 100
}

// stretch returns the time that the work took, relative to the references of its classes. For a target that runs statements
// in order of arrival it does not depend on the mix: it is the number in flight for each one that runs.
func (w *window) stretch() float64 {
	if w.referenceSeconds == 0 {
		return 1
	}
	return w.takenSeconds / w.referenceSeconds
}

// settleTime returns how long statements are affected by those that were sent before them.
func (w *window) settleTime() time.Duration {
	if w.count == 0 {
		return minSettle
	}
	return max(minSettle, time.Duration(w.takenSeconds/w.count*float64(time.Second)))
}

// longestClass returns the class with the most time. Ties are broken by name, so that the result does not depend on the map
// order.
func (w *window) longestClass() (name string, longest tally) {
	for c, t := range w.classes {
		if t.seconds > longest.seconds || t.seconds == longest.seconds && c < name {
			name, longest = c, t
		}
	}
	return name, longest
}
