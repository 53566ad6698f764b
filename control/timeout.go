package control

import "time"

// adaptiveTimeout computes the timeout of the next attempt at a repeated call: it grows with failures and is at least
// twice the latency of the last answer. An attempt that a busy process cannot answer in time wastes its work, and
// repeating it keeps the process busy.
type adaptiveTimeout struct {
	consecutiveFailures int
	// startedAt and answeredAt are the start and the answer of the last answered attempt; both are zero before the first
	// answer.
	startedAt, answeredAt time.Time
}

// next returns the timeout of the next attempt, within the bounds.
func (a adaptiveTimeout) next(lower, upper time.Duration) time.Duration {
	answer := 2 * a.answeredAt.Sub(a.startedAt)
	return min(upper, max(answer, lower<<min(a.consecutiveFailures, 10)))
}

// recorded returns the state after an attempt that failed or was answered at now.
func (a adaptiveTimeout) recorded(failed bool, began, now time.Time) adaptiveTimeout {
	if failed {
		a.consecutiveFailures++
		return a
	}
	return adaptiveTimeout{startedAt: began, answeredAt: now}
}
