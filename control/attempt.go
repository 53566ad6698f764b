package control

import "time"

// adaptiveTimeout decides how long the next attempt at a call that is made again and again may take: longer after failures, and
// no less than twice what the last answer took. Attempts that a busy process cannot answer in time are work for nothing,
// and repeating them keeps it busy.
type adaptiveTimeout struct {
	// consecutiveFailures counts those in a row.
	consecutiveFailures int
	// startedAt and answeredAt are when the last attempt that was answeredAt startedAt and had its answer; both are zero before the first.
	startedAt, answeredAt time.Time
}

// next returns it for the next attempt, between the least and the longest.
func (a adaptiveTimeout) next(lower, upper time.Duration) time.Duration {
	answer := 2 * a.answeredAt.Sub(a.startedAt)
	return min(upper, max(answer, lower<<min(a.consecutiveFailures, 10)))
}

// recorded returns the attempts recorded one that failed or was answered now.
func (a adaptiveTimeout) recorded(failed bool, began, now time.Time) adaptiveTimeout {
	if failed {
		a.consecutiveFailures++
		return a
	}
	return adaptiveTimeout{startedAt: began, answeredAt: now}
}
