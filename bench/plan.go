// Package bench puts load on an installation with guests that change between
// entry hosts, and checks that no acknowledged write is lost, duplicated or
// missing from the guest's later reads.
package bench

import (
	"fmt"
	"math"
	"slices"
)

// Login is a team's role at every entry host.
type Login struct {
	Team string
	// URLs hold one connection string for each entry host and database: URLs[database][host].
	URLs map[string][]string
	// ReadOnly is true when the login's guests only read.
	ReadOnly bool
	// Guests is how many guests log in with the role, at least 1.
	Guests int
}

// Plan describes a run. Check reports values that are out of bounds.
type Plan struct {
	Logins []Login
	// Milliseconds is how long the load lasts, 1 to 3600000.
	Milliseconds int64
	// WarmupMilliseconds is the time at the start of the load, less than Milliseconds, that Result.Steady leaves out
	// because guests still log in.
	WarmupMilliseconds int64
	// Rate is the number of operations a second of all guests together; 0 runs a closed
	// loop, in which each guest starts its next operation when the last one ends.
	Rate float64
	// ReadShare is the share of operations that read, 0 to 1.
	ReadShare float64
	// KeyedShare is the share of writes that carry an idempotency key, 0 to 1.
	KeyedShare float64
	// HostChangeShare is the share of operations before which a guest changes its entry host, 0 to 1.
	HostChangeShare float64
	// Seed makes the guests' choices repeatable.
	Seed uint64
	// Faults are injected during the run, in the order of their times.
	Faults []Fault
}

// Fault is a fault that is injected into the installation during a run.
type Fault struct {
	Name string
	// AtMilliseconds counts from the start of the load.
	AtMilliseconds int64
	// Do injects the fault; it may block until the fault is in effect.
	Do func() error
}

// PlanError lists all invalid values of a plan.
type PlanError struct {
	// Faults has at least one entry.
	Faults []string
}

// Error returns all faults.
func (e *PlanError) Error() string { return fmt.Sprintf("load plan: %v", e.Faults) }

// Check returns a *PlanError when a value is out of bounds.
func (p Plan) Check() error {
	var faults []string
	for name, v := range map[string]float64{"read share": p.ReadShare, "keyed share": p.KeyedShare, "roam": p.HostChangeShare} {
		if !(v >= 0 && v <= 1) {
			faults = append(faults, fmt.Sprintf("%s %v is not between 0 and 1", name, v))
		}
	}
	if p.Milliseconds < 1 || p.Milliseconds > 3_600_000 {
		faults = append(faults, fmt.Sprintf("duration of %d ms is not between 1 and 3600000", p.Milliseconds))
	}
	if p.WarmupMilliseconds < 0 || p.WarmupMilliseconds > 0 && p.WarmupMilliseconds >= p.Milliseconds {
		faults = append(faults, fmt.Sprintf("warm-up of %d ms is not between 0 and the duration", p.WarmupMilliseconds))
	}
	if p.Rate < 0 || math.IsNaN(p.Rate) || p.Rate > 1e6 {
		faults = append(faults, fmt.Sprintf("rate %v is not between 0 and 1000000", p.Rate))
	}
	if len(p.Logins) == 0 {
		faults = append(faults, "no logins")
	}
	for _, l := range p.Logins {
		if l.Guests < 1 || len(l.URLs) == 0 {
			faults = append(faults, fmt.Sprintf("login of team %s has no guests or no addresses", l.Team))
		}
	}
	if len(faults) > 0 {
		slices.Sort(faults)
		return &PlanError{Faults: faults}
	}
	return nil
}
