// Package account enforces the limits of client accounts over all hosts. The limit of an account has shares; one host
// administers each share with a token bucket (administrator), and all hosts ask it for tokens, which live shortly (holder).
// The decisions are apart from the messages and read no clock.
package account

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// maxLifetime bounds the time from the request for a token to its use.
	maxLifetime = 500 * time.Millisecond
	// lifetimePercent is the part of the overage, in percent, that the lifetime of tokens uses. The rest allows for clocks
	// that differ in their rates by 2%.
	lifetimePercent = 60
	// clockRateBound is by how much the rates of the clocks of two hosts may differ; see control.ClockRateBound.
	clockRateBound = 0.02
	// burstPercent is the part of the slack, in percent, by which the buckets of an account together exceed its burst.
	burstPercent = 50
	// minCapacity lets an account without a burst get single tokens where the slack is very small.
	minCapacity = 1
)

// Allowance is by how much the operations of an account may exceed its limit: in each window of WindowSeconds, at most
// (rate x window + burst) x (1 + Overage) + Slack operations run.
type Allowance struct {
	WindowSeconds, Overage, Slack float64
}

// DefaultAllowance is the allowance of the platform's contract.
func DefaultAllowance() Allowance { return Allowance{WindowSeconds: 5, Overage: 0.1, Slack: 20} }

// Validate returns an error if the limits cannot be enforced within the allowance: a line for each fault, which begins with
// the name of the value in kebab case.
func (a Allowance) Validate() error {
	var errs []error
	for name, v := range map[string][3]float64{
		// Tokens must live longer than a request between regions takes, 25 ms; the product is checked below.
		"window-seconds": {a.WindowSeconds, 0.5, 3600},
		"overage":        {a.Overage, 0.001, 10},
		// Each share holds at least one token.
		"slack": {a.Slack, jacinthtiller.LimitShares, 1e6},
	} {
		if math.IsNaN(v[0]) || v[0] < v[1] || v[0] > v[2] {
			errs = append(errs, fmt.Errorf("%s=%v is not between %v and %v", name, v[0], v[1], v[2]))
		}
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	if a.lifetime() < minLifetime {
		errs = append(errs, fmt.Errorf("overage=%v with window-seconds=%v leaves tokens %v, and they need at least %v",
			a.Overage, a.WindowSeconds, a.lifetime(), minLifetime))
	}
	clocks := seconds((a.WindowSeconds + a.lifetime().Seconds()) * clockRateBound)
	if a.lifetime()+clocks > seconds(a.WindowSeconds*a.Overage) {
		errs = append(errs, fmt.Errorf("overage=%v with window-seconds=%v leaves no room for clocks that differ by 2%%", a.Overage, a.WindowSeconds))
	}
	return errors.Join(errs...)
}

// minLifetime is two round trips between regions.
const minLifetime = 50 * time.Millisecond

// lifetime returns how long after the request for a token it may be used.
func (a Allowance) lifetime() time.Duration {
	return min(maxLifetime, time.Duration(a.WindowSeconds*a.Overage*lifetimePercent/100*float64(time.Second)))
}

// shareRate returns the tokens a second that each share of a limit gets.
func shareRate(l jacinthtiller.RateLimit) float64 { return l.PerSecond / jacinthtiller.LimitShares }

// shareCapacity returns the most tokens that a share of a limit holds.
func (a Allowance) shareCapacity(l jacinthtiller.RateLimit) float64 {
	return max(minCapacity, (l.Burst+a.Slack*burstPercent/100)/jacinthtiller.LimitShares)
}
