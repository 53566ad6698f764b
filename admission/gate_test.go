package admission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/admission"
	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

const (
	slots           = 5
	meanServiceTime = 10 * time.Millisecond // slots/meanServiceTime is the capacity, 500 statements a second
	simulatedTime   = 10 * time.Second
	// guestTimeout is how long a guest waits for the answer. The deadline of the request is a little earlier.
	guestTimeout = time.Second
)

// load is a simulated load in virtual time: a big team of 1,000 guests sends requests at a rate that does not depend on the
// answers, and each of the 5 guests of a small team sends the next request a think time after the answer.
type load struct {
	bigTeamRate       float64 // requests a second
	thinkMicroseconds int64   // mean
	// policy is fair, first-come-first-served, or split, in which each of 5 hosts has one slot and its own queue.
	policy string

	mu             sync.Mutex
	end            time.Time
	answeredInTime map[string]int // answers within guestTimeout, before the end
	waitTimes      []float64      // of the small team, in milliseconds
	responseTimes  []float64      // from the request to the answer, likewise
}

// measurements are the results of a load: goodputs per second, a fraction of the small team's requests, and medians in
// milliseconds.
type measurements struct{ goodput, smallTeamGoodput, answeredFraction, medianWait, medianResponse float64 }

func (l *load) run() measurements {
	l.answeredInTime = map[string]int{}
	var gates []*admission.Gate
	n := slots
	if l.policy == "split" {
		n = 1
	}
	for range slots / n {
		gates = append(gates, admission.NewGate(admission.WithSlots(n), admission.WithCapacity(2000*n/slots)))
	}
	l.end = time.Now().Add(simulatedTime)
	var wg conc.WaitGroup
	for i := range 5 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for time.Now().Before(l.end) {
				l.request(gates, "small", i, rng.ExpFloat64())
				time.Sleep(time.Duration(rng.ExpFloat64()*float64(l.thinkMicroseconds)) * time.Microsecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(2, 2))
	for l.bigTeamRate > 0 && time.Now().Before(l.end) {
		time.Sleep(time.Duration(rng.ExpFloat64() / l.bigTeamRate * float64(time.Second)))
		guest, work := rng.IntN(1000), rng.ExpFloat64()
		wg.Go(func() { l.request(gates, "big", guest, work) })
	}
	wg.Wait()
	all := float64(l.answeredInTime["small"] + l.answeredInTime["big"])
	small := float64(l.answeredInTime["small"])
	return measurements{all / simulatedTime.Seconds(), small / simulatedTime.Seconds(), small / float64(len(l.waitTimes)), median(l.waitTimes), median(l.responseTimes)}
}

// request sends one request and records its result.
func (l *load) request(gates []*admission.Gate, team string, guest int, work float64) {
	begun := time.Now()
	r := admission.Request{Team: team, Guest: fmt.Sprint(guest), Deadline: begun.Add(guestTimeout - 5*meanServiceTime)}
	if l.policy != "fair" {
		r.Team, r.Guest = "", "" // one queue for all is first come, first served
	}
	gr, err := gates[guest%len(gates)].Acquire(context.Background(), r)
	waited := time.Since(begun)
	if err == nil {
		time.Sleep(time.Duration(work * float64(meanServiceTime)))
		gr.Done(false)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && time.Since(begun) <= guestTimeout && time.Now().Before(l.end) {
		l.answeredInTime[team]++
	}
	if team == "small" {
		l.waitTimes, l.responseTimes = append(l.waitTimes, milliseconds(waited)), append(l.responseTimes, milliseconds(time.Since(begun)))
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func median(ms []float64) float64 {
	slices.Sort(ms)
	return ms[len(ms)/2]
}

// TestFairness guards against starvation of a small team by a big one, and against overload that lowers goodput.
func TestFairness(t *testing.T) {
	capacity := slots / meanServiceTime.Seconds()
	for _, think := range []time.Duration{50 * time.Millisecond, 0} {
		for _, policy := range []string{"fair", "first-come-first-served", "split"} {
			measure := func(factor float64) (f measurements) {
				synctest.Test(t, func(*testing.T) {
					f = (&load{bigTeamRate: factor * capacity, thinkMicroseconds: think.Microseconds(), policy: policy}).run()
				})
				t.Logf("think %4v %-24s %2.0fx: goodput %3.0f/s, small team %3.0f/s, %3.0f%% answered, median wait %5.1f ms, to the answer %5.1f ms",
					think, policy, factor, f.goodput, f.smallTeamGoodput, 100*f.answeredFraction, f.medianWait, f.medianResponse)
				return f
			}
			unloaded, atCapacity := measure(0), measure(1)
			for _, factor := range []float64{2, 5, 10} {
				f := measure(factor)
				if policy != "fair" {
					continue
				}
				convey.Convey(fmt.Sprintf("Think time %v: a small team gets its share at %gx the capacity", think, factor), t, func() {
					convey.So(f.smallTeamGoodput/capacity, convey.ShouldAlmostEqual, min(unloaded.smallTeamGoodput/capacity, 0.5), 0.05)
					convey.So(f.goodput, convey.ShouldBeGreaterThan, 0.9*atCapacity.goodput)
					if think > 0 {
						// Without a think time the small team alone uses all slots. With half of them, a cycle takes twice as
						// long on average, so no fair order can keep the response time within twice the median.
						convey.So(f.medianResponse, convey.ShouldBeLessThanOrEqualTo, 2*unloaded.medianResponse)
					}
				})
			}
		}
	}
}

// TestGate guards against waits that end with the wrong result or leak a slot or connection: at the deadline, on
// cancellation at any moment, and while the gate drains.
func TestGate(t *testing.T) {
	ctx := context.Background()
	reason := func(err error) jacinthtiller.Reason { return jacinthtiller.AsError(err).Reason }
	withGate := func(name string, f func(g *admission.Gate)) {
		synctest.Test(t, func(t *testing.T) {
			convey.Convey(name, t, func() {
				g := admission.NewGate(admission.WithSlots(2), admission.WithConnections(3))
				f(g)
				s := g.Stats()
				convey.So([]int{s.Running, s.Connections, len(s.Waiting)}, convey.ShouldResemble, []int{0, 0, 0})
			})
		})
	}
	withGate("A deadline ends the wait", func(g *admission.Gate) {
		a, _ := g.Acquire(ctx, admission.Request{})
		b, _ := g.Acquire(ctx, admission.Request{})
		begun := time.Now()
		_, err := g.Acquire(ctx, admission.Request{Deadline: begun.Add(time.Second)})
		convey.So(reason(err), convey.ShouldEqual, jacinthtiller.ReasonDeadline)
		convey.So(time.Since(begun), convey.ShouldEqual, time.Second)
		a.Done(true)
		convey.So(reason(a.Continue(ctx, time.Now())), convey.ShouldEqual, jacinthtiller.ReasonDeadline)
		convey.So(a.Continue(ctx, time.Time{}), convey.ShouldBeNil) // the connection was kept
		a.Done(true)
		a.Release()
		b.Done(false)
		convey.So(a.Continue(ctx, time.Time{}), convey.ShouldNotBeNil)
	})
	withGate("A drain refuses new work and lets open transactions end", func(g *admission.Gate) {
		a, _ := g.Acquire(ctx, admission.Request{BeginsTransaction: true})
		b, _ := g.Acquire(ctx, admission.Request{})
		var wg conc.WaitGroup
		var err error
		wg.Go(func() { _, err = g.Acquire(ctx, admission.Request{}) })
		synctest.Wait()
		g.Drain()
		wg.Wait()
		convey.So(reason(err), convey.ShouldEqual, jacinthtiller.ReasonDraining)
		a.Done(true)
		convey.So(a.Continue(ctx, time.Time{}), convey.ShouldBeNil)
		a.Done(false)
		g.Undrain()
		c, err := g.Acquire(ctx, admission.Request{})
		convey.So(err, convey.ShouldBeNil)
		b.Release()
		c.Release()
		g.Close()
		_, err = g.Acquire(ctx, admission.Request{})
		convey.So(reason(err), convey.ShouldEqual, jacinthtiller.ReasonDraining)
	})
	withGate("Cancellation at any moment releases slots and connections, and transactions do not block each other", func(g *admission.Gate) {
		var wg conc.WaitGroup
		for i := range 3000 {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(3, uint64(i)))
				time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
				// Whole milliseconds, so that grants, deadlines and cancellations come at the same instants.
				ctx, cancel := context.WithTimeout(ctx, time.Duration(rng.IntN(20))*time.Millisecond)
				defer cancel()
				gr, err := g.Acquire(ctx, admission.Request{
					Team: fmt.Sprint(i % 3), Guest: fmt.Sprint(i % 7), Deadline: time.Now().Add(time.Duration(rng.IntN(20)) * time.Millisecond),
				})
				for err == nil && rng.IntN(3) > 0 {
					time.Sleep(time.Millisecond)
					gr.Done(true)
					err = gr.Continue(ctx, time.Now().Add(time.Duration(rng.IntN(5))*time.Millisecond))
				}
				if gr != nil {
					gr.Release()
				}
			})
		}
		wg.Wait()
	})
}

func BenchmarkAcquireDone(b *testing.B) {
	bench := func(b *testing.B) {
		g := admission.NewGate()
		r := admission.Request{Team: "a", Guest: "b", Deadline: time.Now().Add(time.Hour)}
		b.ReportAllocs()
		for b.Loop() {
			gr, err := g.Acquire(context.Background(), r)
			if err != nil {
				b.Fatal(err)
			}
			gr.Done(false)
		}
	}
	b.Run("without metrics", bench)
	otel.SetMeterProvider(sdk.NewMeterProvider(sdk.WithReader(sdk.NewManualReader())))
	b.Run("with metrics", bench)
}
