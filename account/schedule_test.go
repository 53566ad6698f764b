package account

import (
	"flag"
	"testing"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

var schedules = flag.Int("schedules", 120, "schedules of TestBound; fewer without a safeguard, once one exceeds the limit")

// runFaults runs a random schedule of faults and demand, and returns the simulation at its end.
func runFaults(seed uint64, off safeguards) *simulation {
	s := newSimulation(seed, off, jacinthtiller.RateLimit{})
	limits := []jacinthtiller.RateLimit{{PerSecond: 100, Burst: 100}, {PerSecond: 200, Burst: 20}, {PerSecond: 20, Burst: 200}, {PerSecond: 2, Burst: 2}}
	limit := limits[s.rand.IntN(len(limits))]
	*s.accounts[simAccount].Limit = limit
	s.network = simNetwork{lost: 0.02 * s.rand.Float64(), late: 0.05 * s.rand.Float64(), twice: 0.05 * s.rand.Float64()}
	for i := range 4 + s.rand.IntN(4) {
		s.addHost(i % 3).start()
	}
	s.control.expire(s)
	const end = 25 * time.Second
	for range s.rand.IntN([]int{3, 20}[s.rand.IntN(2)]) {
		s.after(time.Duration(s.rand.Int64N(int64(end))), nil, s.fault)
	}
	for range 5 + s.rand.IntN(15) {
		s.after(time.Duration(s.rand.Int64N(int64(end))), nil, func() { s.shiftDemand(limit.PerSecond + limit.Burst) })
	}
	s.shiftDemand(limit.PerSecond + limit.Burst)
	s.run(end)
	return s
}

// shiftDemand makes each host demand the scale, or its own part or multiple of it, or all hosts together half of it, or one
// host alone.
func (s *simulation) shiftDemand(scale float64) {
	kind, only := s.rand.IntN(5), s.rand.IntN(len(s.hosts))
	for i, x := range s.hosts {
		switch {
		case kind == 0:
			x.demand[simAccount] = scale
		case kind == 1:
			x.demand[simAccount] = scale * []float64{0, 0, 0.1, 0.5, 2}[s.rand.IntN(5)]
		case kind == 2:
			x.demand[simAccount] = scale / 2 / float64(len(s.hosts))
		case i == only:
			x.demand[simAccount] = scale / 2
		default:
			x.demand[simAccount] = 0
		}
	}
}

// fault lets one fault happen.
func (s *simulation) fault() {
	x := s.hosts[s.rand.IntN(len(s.hosts))]
	until := s.clock.Add(time.Duration(s.rand.IntN(4000)) * time.Millisecond)
	switch s.rand.IntN(9) {
	case 0:
		x.frozenUntil = until
	case 1:
		x.controlCutUntil = until
	case 2:
		x.hostsCutUntil = until
	case 3:
		for _, y := range s.hosts {
			if s.rand.IntN(2) == 0 {
				y.slowViewsUntil = until
			}
		}
	case 4: // a part of the hosts loses control and the rest
		until = until.Add(4 * time.Second)
		for _, y := range s.hosts {
			if s.rand.IntN(2) == 0 {
				y.side, y.controlCutUntil = 1, until
			}
		}
		s.after(until.Sub(s.clock), nil, func() {
			for _, y := range s.hosts {
				y.side = 0
			}
		})
	case 5, 6:
		if x.running {
			x.stop(s.rand.IntN(2) == 0)
			s.after(time.Duration(s.rand.IntN(1500))*time.Millisecond, nil, func() {
				if !x.running {
					x.start()
				}
			})
		}
	case 7: // a host joins while some of the others get views late
		for _, y := range s.hosts {
			if s.rand.IntN(2) == 0 {
				y.slowViewsUntil = until
			}
		}
		if len(s.hosts) < 12 {
			y := s.addHost(s.rand.IntN(3))
			y.demand[simAccount] = x.demand[simAccount]
			y.start()
		}
	case 8: // all hosts but those that are cut off keep their views
		for _, y := range s.hosts {
			y.slowViewsUntil = until
		}
	}
}

// TestBound guards against more operations of an account than its limit allows, whatever fails. It also guards against
// itself: without any one of the safeguards, some schedule has to exceed the limit.
func TestBound(t *testing.T) {
	cases := map[string]safeguards{
		"all safeguards":        {},
		"without leases":        {noLease: true},
		"without empty starts":  {fullStart: true},
		"without lifetimes":     {longLife: true},
		"without settled index": {notSettled: true},
	}
	for name, off := range cases {
		t.Run(name, func(t *testing.T) {
			run, exceeded, uses, highest := 0, 0, 0, 0.0
			for seed := range uint64(*schedules) {
				if exceeded > 0 && off != (safeguards{}) {
					break
				}
				run++
				s := runFaults(seed, off)
				greatest, allowed := s.exceeded()
				uses += len(s.uses)
				highest = max(highest, float64(greatest)/allowed)
				if float64(greatest) > allowed {
					exceeded++
					if off == (safeguards{}) {
						t.Errorf("seed %d: %d operations in a window, %.1f are allowed", seed, greatest, allowed)
					}
				}
			}
			t.Logf("%d of %d schedules exceed the limit, the highest window is %.3f of it, %d operations", exceeded, run, highest, uses)
			if off != (safeguards{}) && exceeded == 0 {
				t.Error("no schedule shows that the safeguard is needed")
			}
		})
	}
}
