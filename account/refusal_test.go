package account

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// startRegions returns a simulation of hosts in three regions, without faults, whose shares have been filled.
func startRegions(seed uint64, hosts int, limit jacinthtiller.RateLimit) *simulation {
	s := newSimulation(seed, safeguards{}, limit)
	for i := range hosts {
		s.addHost(i % 3).start()
	}
	s.control.expire(s)
	s.run(15 * time.Second)
	return s
}

// setDemand spreads a demand over the hosts of a region, or of all if the region is negative.
func (s *simulation) setDemand(perSecond float64, region int) {
	n := 0
	for _, x := range s.hosts {
		if region < 0 || x.region == region {
			n++
		}
	}
	for _, x := range s.hosts {
		x.demand[simAccount] = 0
		if region < 0 || x.region == region {
			x.demand[simAccount] = perSecond / float64(n)
		}
	}
}

var refusalSeed = flag.Int("refusal-seed", 1, "seed of TestRefusals")

// TestRefusals guards against operations that are refused although their account is below its limit.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		limit jacinthtiller.RateLimit
		// load is the demand as a part of the rate.
		load float64
		// moves is true when the demand moves to another region every 2 s.
		moves bool
		// seconds is the length, and most the greatest part that may be refused.
		seconds int
		most    float64
	}{
		"large account from all hosts":       {jacinthtiller.RateLimit{PerSecond: 300, Burst: 60}, 0.9, false, 60, 0.005},
		"middle account from all hosts":      {jacinthtiller.RateLimit{PerSecond: 40, Burst: 10}, 0.9, false, 200, 0.005},
		"large account that moves":           {jacinthtiller.RateLimit{PerSecond: 300, Burst: 60}, 0.9, true, 60, 0.02},
		"very large account that moves":      {jacinthtiller.RateLimit{PerSecond: 3000, Burst: 300}, 0.9, true, 20, 0.02},
		"middle account that moves":          {jacinthtiller.RateLimit{PerSecond: 40, Burst: 10}, 0.9, true, 200, 0.02},
		"small account, bursts at 60 %":      {jacinthtiller.RateLimit{PerSecond: 2, Burst: 2}, 0.6, false, 1000, 0.001},
		"small account that moves, 60 %":     {jacinthtiller.RateLimit{PerSecond: 2, Burst: 2}, 0.6, true, 1000, 0.001},
		"account without burst, bursts 60 %": {jacinthtiller.RateLimit{PerSecond: 2}, 0.6, false, 1000, 0.005},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startRegions(uint64(*refusalSeed), 81, c.limit)
			s.operations, s.refused, s.requests = 0, 0, 0
			for i := range c.seconds / 2 {
				region := -1
				if c.moves {
					region = i % 3
				}
				s.setDemand(c.load*c.limit.PerSecond, region)
				s.run(2 * time.Second)
			}
			part := float64(s.refused) / float64(s.operations)
			t.Logf("%d of %d operations refused, %.3f%%; %.2f requests an operation", s.refused, s.operations, 100*part,
				float64(s.requests)/float64(s.operations))
			if part > c.most {
				t.Errorf("%.2f%% of the operations were refused, %.2f%% are allowed", 100*part, 100*c.most)
			}
			if greatest, allowed := s.exceeded(); float64(greatest) > allowed {
				t.Errorf("%d operations in a window, %.1f are allowed", greatest, allowed)
			}
		})
	}
}

// TestPressure guards against administrators that get ever more requests the more hosts press, and against a limit that is
// not used up under pressure.
func TestPressure(t *testing.T) {
	cases := map[string]struct {
		hosts int
		limit jacinthtiller.RateLimit
		// most is the greatest number of requests a second that an administrator may get for one account.
		most float64
	}{
		"81 hosts, large account":  {81, jacinthtiller.RateLimit{PerSecond: 300, Burst: 60}, 700},
		"81 hosts, small account":  {81, jacinthtiller.RateLimit{PerSecond: 2, Burst: 2}, 100},
		"580 hosts, large account": {580, jacinthtiller.RateLimit{PerSecond: 300, Burst: 60}, 700},
		"580 hosts, small account": {580, jacinthtiller.RateLimit{PerSecond: 2, Burst: 2}, 600},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startRegions(1, c.hosts, c.limit)
			s.setDemand(float64(c.hosts)*20, -1)
			s.run(3 * time.Second) // the first answers arrive
			s.uses = nil
			clear(s.served)
			const seconds = 10
			s.run(seconds * time.Second)
			greatest := 0
			for _, n := range s.served {
				greatest = max(greatest, n)
			}
			used := float64(len(s.uses)) / (c.limit.PerSecond * seconds)
			t.Logf("%.0f requests a second at one administrator, %.1f%% of the rate used", float64(greatest)/seconds, 100*used)
			if float64(greatest)/seconds > c.most {
				t.Errorf("%.0f requests a second at one administrator, at most %.0f are expected", float64(greatest)/seconds, c.most)
			}
			if used < 0.9 {
				t.Errorf("only %.1f%% of the rate was used under pressure", 100*used)
			}
		})
	}
}

// TestGoodput guards against a limit that is not used up while an account asks for a little more than it: a host that was
// told to come back later refuses operations although the share has tokens again.
func TestGoodput(t *testing.T) {
	for name, limit := range map[string]jacinthtiller.RateLimit{
		"small":  {PerSecond: 5, Burst: 5},
		"middle": {PerSecond: 41, Burst: 41},
		"large":  {PerSecond: 400, Burst: 400},
	} {
		for _, load := range []float64{1.25, 1.75, 3, 6} {
			t.Run(fmt.Sprintf("%s account at %.0f %%", name, 100*load), func(t *testing.T) {
				t.Parallel()
				s := startRegions(1, 81, limit)
				s.setDemand(load*limit.PerSecond, -1)
				s.run(5 * time.Second) // the burst is used up
				s.uses = nil
				const seconds = 40
				s.run(seconds * time.Second)
				used := float64(len(s.uses)) / (limit.PerSecond * seconds)
				t.Logf("%.1f%% of the rate used", 100*used)
				if used < 0.95 {
					t.Errorf("only %.1f%% of the rate was used", 100*used)
				}
			})
		}
	}
}
