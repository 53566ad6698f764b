package pool

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/capacity"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// limitEventInterval is the least time between two events about the limit of a target, and minLimitEventPercent the least
	// change since the last one.
	limitEventInterval   = 2 * time.Second
	minLimitEventPercent = 10
)

// WithLearnedCapacity lets the pool learn how many statements each target takes well, and use that as the limit of those in
// flight and for the choice of a read's target, in place of a multiple of the slots that the target reports.
func WithLearnedCapacity() Option { return func(p *Pool) { p.learnsCapacity = true } }

// learnedLimit is the learned limit of this host's statements in flight at a target to which it connects itself. It is safe
// for concurrent use; a nil learnedLimit learns nothing.
type learnedLimit struct {
	t *Target
	// microLimit is the limit in millionths; 0 until the first update.
	microLimit atomic.Int64

	mu sync.Mutex // guards the fields below
	// limit is nil until the first update.
	limit *capacity.Limit
	// places and connections are in force at the gate.
	places, connections int
	// reported is the limit without learning.
	reported int
	// timer fires when the number of places may grow without a statement that begins or ends; nil until it is first needed.
	timer   *time.Timer
	stopped bool
	// change is the last change for which an event was due, and unreported the number of those without one since then.
	change     capacity.Change
	unreported int
}

// newLearnedLimit returns nil unless the pool learns capacities.
func (t *Target) newLearnedLimit() *learnedLimit {
	if !t.p.learnsCapacity {
		return nil
	}
	return &learnedLimit{t: t}
}

// update sets this host's share of the target and its connections.
func (l *learnedLimit) update(maxInFlight, slots, gateways, connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	s := capacity.Share{
		Reported: float64(maxInFlight), Slots: float64(slots) / float64(gateways),
		Salt: xxhash.Sum64String(l.t.database + "\x00" + l.t.name),
	}
	if l.limit == nil {
		l.limit = capacity.New(s, now)
	}
	l.limit.SetShare(s, now)
	l.reported, l.connections, l.places = maxInFlight, connections, -1 // the gate takes both anew
	l.apply(now)
}

// begin counts a statement that has been sent to the target, and returns the function that counts its end.
func (l *learnedLimit) begin(j jacinthtiller.Job) func(jacinthtiller.Reply, error) {
	if l == nil {
		return func(jacinthtiller.Reply, error) {}
	}
	s := capacity.Sample{Class: classOf(j), BeganAt: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit.Begin(s.BeganAt)
	l.apply(s.BeganAt)
	return func(r jacinthtiller.Reply, err error) {
		now := time.Now()
		s.Outcome = outcomeOf(r, err)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.limit.End(s, now)
		l.apply(now)
	}
}

// classOf returns the class of a job, in which statements are of similar duration. The beginning of a transaction does no
// work of its own, and a statement that needs a position may wait for the target's log.
func classOf(j jacinthtiller.Job) string {
	switch {
	case j.BeginsTransaction:
		return j.Route + " begin"
	case !j.After.IsZero():
		return j.Route + " after"
	}
	return j.Route
}

// outcomeOf returns how a statement ended.
func outcomeOf(r jacinthtiller.Reply, err error) capacity.Outcome {
	switch {
	case err != nil && isTimeout(err), r.ErrorCode == jacinthtiller.ErrorCodeTimeout:
		return capacity.OutcomeTimedOut
	case err != nil:
		return capacity.OutcomeOther
	case r.ErrorCode == "":
		return capacity.OutcomeDone
	case r.ErrorCode == jacinthtiller.ErrorCodeBusy:
		return capacity.OutcomeRefused
	}
	return capacity.OutcomeOther
}

// apply puts the present number of places in force. The caller holds l.mu.
func (l *learnedLimit) apply(now time.Time) {
	places, growsAt := l.limit.Places(now)
	l.microLimit.Store(int64(l.limit.Value() * 1e6))
	if l.stopped {
		return
	}
	if places != l.places {
		l.places = places
		l.t.gate.SetCapacity(places, l.connections)
	}
	switch {
	case growsAt.IsZero():
	case l.timer == nil:
		l.timer = time.AfterFunc(growsAt.Sub(now), l.tick)
	default:
		l.timer.Reset(growsAt.Sub(now))
	}
	l.report(now)
}

// value returns the learned limit, or 0 when there is none.
func (l *learnedLimit) value() float64 {
	if l == nil {
		return 0
	}
	return float64(l.microLimit.Load()) / 1e6
}

// tick puts the number of places in force that has changed with the time.
func (l *learnedLimit) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(time.Now())
}

// stop ends the timer. Statements of open transactions go on without a learned limit.
func (l *learnedLimit) stop() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	if l.timer != nil {
		l.timer.Stop()
	}
	l.t.gate.SetCapacity(l.reported, l.connections)
}

// report emits an event about the last change of the limit. Small changes, and those soon after another, are only counted.
// The caller holds l.mu.
func (l *learnedLimit) report(now time.Time) {
	c := l.limit.Change()
	if c.At.Equal(l.change.At) {
		return
	}
	small := math.Abs(c.After-l.change.After)*100 < l.change.After*minLimitEventPercent
	if small || now.Sub(l.change.At) < limitEventInterval {
		l.unreported++
		return
	}
	f := event.Fields{
		"database": l.t.database, "target": l.t.name, "before": c.Before, "after": c.After, "cause": string(c.Cause), "unreported": l.unreported,
	}
	if c.Samples > 0 {
		f["class"], f["latency-microseconds"], f["floor-microseconds"] = c.Class, c.LatencyMicroseconds, c.FloorMicroseconds
		f["in-flight"], f["throughput-percent"], f["samples"] = c.InFlight, c.ThroughputPercent, c.Samples
	}
	l.change, l.unreported = c, 0
	l.t.p.events.Emit(event.TargetCapacityLearned, f)
}

// queueCost returns the time in microseconds that a statement waits behind the load, for a target with the latency. The
// caller holds t.mu.
func (t *Target) queueCost(latency int64) int64 {
	if t.learned != nil && t.direct {
		if limit := t.learned.microLimit.Load(); limit > 0 {
			return latency * int64(t.load) * 1e6 / limit
		}
	}
	return latency * int64(t.load) / int64(max(1, t.maxInFlight))
}

// observeLimits registers the metric of the learned limits; the result ends it.
func (p *Pool) observeLimits() func() {
	m := otel.Meter("jacinthtiller/pool")
	gauge, err := m.Float64ObservableGauge("jacinthtiller.pool.learned-limit",
		metric.WithDescription("Learned limit of this host's statements in flight, by target."))
	if err != nil {
		otel.Handle(err) // the instrument returned with the error is a no-op
	}
	r, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, t := range p.Targets() {
			if limit := t.learned.value(); limit > 0 && t.Direct() {
				o.ObserveFloat64(gauge, limit,
					metric.WithAttributes(attribute.String("database", t.database), attribute.String("target", t.name)))
			}
		}
		return nil
	}, gauge)
	if err != nil {
		otel.Handle(err)
		return func() {}
	}
	return func() { _ = r.Unregister() } // fails only for a registration that has ended
}
