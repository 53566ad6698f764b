package control

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// overloadReportTTL is how long a host's report of an overload counts; hosts repeat it every 500 ms.
	overloadReportTTL = time.Second
	// minOverload is how long hosts must report an overload before the targets are inspected: shorter peaks end by
	// themselves.
	minOverload = time.Second
	// overloadInspectPause is the time between two inspections of an overloaded group. A replica that holds what the
	// primary held at the previous inspection receives the log without delay.
	overloadInspectPause = 500 * time.Millisecond
	// assumedChangeMilliseconds is how long a change of primary is expected to take until this leader has seen one.
	assumedChangeMilliseconds = 1500
	// minReliefGain is how many times the requests refused during a change of primary must be expected to be saved by it.
	minReliefGain = 2
	// reliefPause is the least time between two changes of a database's primary for overload: the reports after a change
	// must be about the new primary, not about the requests that waited for it.
	reliefPause = 4 * time.Second
)

// overload is what the leader knows about a direct group whose primary has no capacity left while its replicas are behind.
type overload struct {
	// primary is the primary that the reports are about.
	primary string
	// reports holds the latest report of each host.
	reports map[string]receivedOverload
	// received is the primary's position at the previous inspection; zero before.
	received jacinthtiller.Position
	// inspectAt is when the targets may be inspected next.
	inspectAt time.Time
}

type receivedOverload struct {
	at              time.Time
	served, refused int
}

// newOverload returns an overload whose first report arrives now.
func newOverload(primary string, now time.Time) *overload {
	return &overload{primary: primary, reports: map[string]receivedOverload{}, inspectAt: now.Add(minOverload)}
}

// refusedPercent returns the share of requests that hosts refuse, by the reports that have not expired, and false when there
// are none.
func (o *overload) refusedPercent(now time.Time) (percent int64, ok bool) {
	served, refused := 0, 0
	for host, r := range o.reports {
		if now.Sub(r.at) >= overloadReportTTL {
			delete(o.reports, host)
			continue
		}
		served, refused = served+r.served, refused+r.refused
	}
	if refused == 0 {
		return 0, false
	}
	return int64(refused) * 100 / int64(served+refused), true
}

// reliefByChange reports whether a planned change of primary serves more guests than it interrupts. A promoted replica
// leads with all that it has received, and the former primary is a replica that lacks nothing, so afterwards two targets are
// up to date instead of one. The lag tells how long that lasts: replicas that fell behind for some time are assumed to stay
// behind for about as long again. lag is the least lag of the replicas that answered, in milliseconds.
func (o *overload) reliefByChange(d jacinthtiller.Database, v targetStatuses, percent, changeMilliseconds int64) (lag int64, ok bool) {
	primary, answered := v[d.Primary]
	if !answered || primary.Role != jacinthtiller.RolePrimary || primary.Term != d.Term {
		return 0, false
	}
	receives, replicas := false, 0
	for n, x := range v {
		if n == d.Primary || d.Targets[n].State != jacinthtiller.StateServing {
			continue
		}
		if replicas == 0 || x.LagMilliseconds < lag {
			lag = x.LagMilliseconds
		}
		replicas++
		receives = receives || !o.received.IsZero() && x.Received.Covers(o.received)
	}
	return lag, receives && percent*lag/100 >= minReliefGain*changeMilliseconds
}

// recordOverload records a host's report that it refuses requests for a database. A report about another primary than the
// current one is outdated.
func (s *Server) recordOverload(r jacinthtiller.OverloadReport, now time.Time) {
	d := s.machine.state().View.Databases[r.Database]
	if !d.Direct || d.Primary == "" || d.Primary != r.Primary || r.Served < 0 || r.Refused <= 0 {
		return
	}
	x := s.direct
	x.mu.Lock()
	defer x.mu.Unlock()
	o := x.overloads[r.Database]
	if o == nil || o.primary != r.Primary {
		o = newOverload(r.Primary, now)
		x.overloads[r.Database] = o
	}
	o.reports[r.Host] = receivedOverload{at: now, served: r.Served, refused: r.Refused}
}

// checkOverload inspects the targets of a group that hosts report as overloaded.
func (s *Server) checkOverload(ctx context.Context, wg *conc.WaitGroup, d jacinthtiller.Database, now time.Time) {
	x := s.direct
	x.mu.Lock()
	o := x.overloads[d.Name]
	if o == nil {
		x.mu.Unlock()
		return
	}
	percent, reported := o.refusedPercent(now)
	if !reported || o.primary != d.Primary {
		delete(x.overloads, d.Name)
	}
	due := reported && o.primary == d.Primary && !now.Before(o.inspectAt) && now.Sub(x.relievedAt[d.Name]) >= reliefPause
	x.mu.Unlock()
	if due && s.startTask(x.relieving, d.Name) {
		s.runAsync(wg, "inspect an overloaded group", func() { s.relieve(ctx, d, o, percent) })
	}
}

// relieve inspects the targets of an overloaded group once, and takes its primary out of service if a change of primary
// serves more guests.
func (s *Server) relieve(ctx context.Context, d jacinthtiller.Database, o *overload, percent int64) {
	defer s.finishTask(s.direct.relieving, d.Name)
	var all []jacinthtiller.Target
	for _, n := range d.TargetNames() {
		all = append(all, d.Targets[n])
	}
	v := s.inspectTargets(ctx, d, all)
	now := time.Now()
	x := s.direct
	x.mu.Lock()
	change := x.changeMilliseconds
	lag, helps := o.reliefByChange(d, v, percent, change)
	o.received, o.inspectAt = v[d.Primary].Received, now.Add(overloadInspectPause)
	changes := helps && x.overloads[d.Name] == o && x.causes[d.Name] == causeNone
	if changes {
		x.causes[d.Name], x.relievedAt[d.Name] = causeBehind, now
		delete(x.overloads, d.Name)
	}
	x.mu.Unlock()
	s.events.Emit(event.ControlOverloadAssessed, event.Fields{
		"database": d.Name, "target": d.Primary, "term": d.Term, "refused-percent": percent, "lag-milliseconds": lag,
		"change-milliseconds": change, "answered": len(v), "changes": changes,
	})
	if changes {
		s.suspendPrimary(ctx, d)
	}
}
