package account

import (
	"slices"
	"testing"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestHandover guards against a share that stays without service after its administrator has stopped or crashed, and against
// refusals of an account that the other share could serve meanwhile.
func TestHandover(t *testing.T) {
	cases := map[string]struct {
		planned bool
		// load is the demand as a part of the rate.
		load float64
		// during and after bound the part refused in the first 4 s, and in the 6 s after them.
		during, after float64
	}{
		"planned stop, 0.4 of the limit": {true, 0.4, 0.005, 0.005},
		"planned stop, 0.9 of the limit": {true, 0.9, 0.1, 0.005},
		"crash, 0.4 of the limit":        {false, 0.4, 0.005, 0.005},
		"crash, 0.9 of the limit":        {false, 0.9, 0.3, 0.005},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limit := jacinthtiller.RateLimit{PerSecond: 300, Burst: 60}
			s := startRegions(uint64(*refusalSeed), 81, limit)
			s.setDemand(c.load*limit.PerSecond, -1)
			s.run(5 * time.Second)
			admin := s.control.view().LimitPlacement().LimitAdministrators(simAccount)[0].Host
			x := s.hosts[slices.IndexFunc(s.hosts, func(y *simHost) bool { return y.name == admin })]
			x.stop(c.planned)
			part := func(length time.Duration) float64 {
				s.operations, s.refused = 0, 0
				s.run(length)
				return float64(s.refused) / float64(s.operations)
			}
			during, after := part(4*time.Second), part(6*time.Second)
			t.Logf("refused: %.2f%% in the first 4 s, %.2f%% in the next 6 s", 100*during, 100*after)
			if during > c.during || after > c.after {
				t.Errorf("at most %.2f%% and %.2f%% are allowed", 100*c.during, 100*c.after)
			}
		})
	}
}
