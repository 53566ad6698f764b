package control

import "time"

// attempts decides how long the next attempt at a call that is made again and again may take: longer after failures, and
// no less than twice what the last answer took. Attempts that a busy process cannot answer in time are work for nothing,
// and repeating them keeps it busy.
type attempts struct {
	// failures counts those in a row.
	failures int
	// began and answered are when the last attempt that was answered began and had its answer; both are zero before the first.
	began, answered time.Time
}

// timeout returns it for the next attempt, between the least and the longest.
func (a attempts) timeout(least, longest time.Duration) time.Duration {
	answer := 2 * a.answered.Sub(a.began)
	return min(longest, max(answer, least<<min(a.failures, 10)))
}

// after returns the attempts after one that failed or was answered now.
func (a attempts) after(failed bool, began, now time.Time) attempts {
	if failed {
		a.failures++
		return a
	}
	return attempts{began: began, answered: now}
}
