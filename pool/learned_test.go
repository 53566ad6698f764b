package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestLearnedCapacity plays the pattern "a target that works best with half of its slots, and more work than it can do". It
// guards against a learned limit that does not reach the gate, and against one that is in force without the option.
func TestLearnedCapacity(t *testing.T) {
	const (
		slots          = 8
		playedSeconds  = 290
		measuredFrom   = 260 // seconds, when the first trial of each limit is over
		workMicros     = 20_000
		guests         = 40
		learnedAtMost  = slots // the mean, with the trials of the reported limit; half of the slots between them
		reportedPlaces = inFlightFactor * slots
	)
	cases := map[string]struct {
		options []Option
		least   float64
		most    float64
	}{
		"with the option": {[]Option{WithLearnedCapacity()}, 1, learnedAtMost},
		// A sample between the end of one statement and the begin of the next counts one less.
		"without the option": {nil, reportedPlaces - 1, reportedPlaces},
	}
	for name, c := range cases {
		mean := 0.0
		synctest.Test(t, func(*testing.T) {
			f := newFakeTargets()
			running, waiting := 0, make(chan struct{}, slots)
			inFlight := 0
			f.reply = func(string, jacinthtiller.TargetRequest) (jacinthtiller.Reply, error) {
				f.mu.Lock()
				inFlight++
				f.mu.Unlock()
				waiting <- struct{}{}
				f.mu.Lock()
				running++
				// Each statement above half of the slots slows down the one that begins.
				work := time.Duration(workMicros*(1+max(0, running-slots/2))) * time.Microsecond
				f.mu.Unlock()
				time.Sleep(work)
				<-waiting
				f.mu.Lock()
				running--
				inFlight--
				f.mu.Unlock()
				return jacinthtiller.Reply{State: jacinthtiller.StateIdle}, nil
			}
			p := New(f, fakeDialect{}, append(c.options, WithHost("h0"))...)
			defer p.Close()
			v := view(1, 1000)
			spec := v.Databases["db"].Targets["a"]
			spec.Slots = slots
			v.Databases["db"] = v.Databases["db"].WithTarget(spec)
			p.Apply(v)
			x := p.Find(spec)
			end := time.Now().Add(playedSeconds * time.Second)
			var wg conc.WaitGroup
			for range guests {
				wg.Go(func() {
					for time.Now().Before(end) {
						_, _ = run(x, newJob("q")) // refused when it waits too long
					}
				})
			}
			samples, sum := 0, 0
			time.Sleep(measuredFrom * time.Second)
			for ; time.Now().Add(time.Second).Before(end); samples++ {
				time.Sleep(10 * time.Millisecond)
				f.set(func() { sum += inFlight })
			}
			mean = float64(sum) / float64(samples)
			wg.Wait()
		})
		convey.Convey(name, t, func() {
			convey.So(mean, convey.ShouldBeGreaterThanOrEqualTo, c.least)
			convey.So(mean, convey.ShouldBeLessThanOrEqualTo, c.most)
		})
	}
}
