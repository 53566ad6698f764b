package control

import (
	"context"
	"maps"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// laggingPlatform fakes three targets that commit 40 times a second and whose replicas receive the log at once, but apply
// it late. It is used in virtual time.
type laggingPlatform struct {
	mu sync.Mutex
	// committed is the primary's position when it was last computed, at committedAt.
	term, committed uint64
	committedAt     time.Time
	// primary leads; it accepts commits only while inService reports so.
	primary   string
	inService func() bool
	// lagMilliseconds is the lag of each replica at a time; a former primary has none.
	lagMilliseconds func(now time.Time) int64
	upToDate        map[string]bool
	// stopAtChange and goneAtChange make replicas stop to receive the log, with five commits under way, and the primary stop
	// to answer, when the primary is taken out of service. The times are when they did; zero means that they have not.
	stopAtChange, goneAtChange  bool
	stopsReceiving, primaryGone time.Time
	received                    uint64
	// silentUntil is until when a replica answers nothing; zero for one that answers.
	silentUntil map[string]time.Time
	// leadsAt is when a target with an accepted order begins to lead, promotionMilliseconds after it.
	leadsAt               map[string]time.Time
	promotionMilliseconds int64
	// down makes the platform refuse orders, and promotions holds the targets of all orders.
	down       bool
	promotions []string
}

func (l *laggingPlatform) advance(now time.Time) {
	if l.inService() {
		l.committed += uint64(now.Sub(l.committedAt).Milliseconds() / 25)
		l.committedAt = l.committedAt.Add(now.Sub(l.committedAt) / (25 * time.Millisecond) * (25 * time.Millisecond))
	} else {
		l.committedAt = now
		if l.stopAtChange && l.stopsReceiving.IsZero() {
			l.stopsReceiving = now
			l.committed += 5
		}
		if l.goneAtChange && l.primaryGone.IsZero() {
			l.primaryGone = now
		}
	}
	if l.stopsReceiving.IsZero() || now.Before(l.stopsReceiving) {
		l.received = l.committed
	}
	for n, until := range l.leadsAt {
		if !now.Before(until) {
			delete(l.leadsAt, n)
			l.upToDate[l.primary] = true
			delete(l.upToDate, n)
			l.primary, l.term, l.committed = n, l.term+1, l.received
		}
	}
}

func (l *laggingPlatform) Inspect(_ context.Context, t jacinthtiller.Target) (jacinthtiller.TargetStatus, error) {
	time.Sleep(25 * time.Millisecond) // a round trip between regions
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.advance(now)
	if now.Before(l.silentUntil[t.Name]) {
		return jacinthtiller.TargetStatus{}, syscall.ETIMEDOUT
	}
	if t.Name == l.primary {
		if !l.primaryGone.IsZero() && !now.Before(l.primaryGone) && l.term == 3 {
			return jacinthtiller.TargetStatus{}, syscall.ETIMEDOUT
		}
		return jacinthtiller.TargetStatus{Role: jacinthtiller.RolePrimary, Term: l.term, Received: jacinthtiller.Position{Term: l.term, Index: l.committed}}, nil
	}
	s := jacinthtiller.TargetStatus{Role: jacinthtiller.RoleReplica, Term: l.term, Received: jacinthtiller.Position{Term: l.term, Index: l.received}}
	if !l.upToDate[t.Name] {
		s.LagMilliseconds = l.lagMilliseconds(now)
	}
	return s, nil
}

func (l *laggingPlatform) StepDown(context.Context, jacinthtiller.Target, uint64) (jacinthtiller.TargetStatus, error) {
	return jacinthtiller.TargetStatus{}, nil
}

func (l *laggingPlatform) Promote(_ context.Context, o jacinthtiller.PromoteOrder) error {
	time.Sleep(25 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.promotions = append(l.promotions, o.Target)
	if l.down {
		return jacinthtiller.ErrTargetDown
	}
	if l.primary != o.Target {
		l.leadsAt[o.Target] = time.Now().Add(time.Duration(l.promotionMilliseconds) * time.Millisecond)
	}
	return nil
}

// refusedShare returns the percentage of requests that hosts refuse when the demand is demandPercent of one target's
// capacity.
func (l *laggingPlatform) refusedShare(now time.Time, demandPercent int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	capacity := 100
	for _, n := range []string{"a", "b", "c"} {
		if n != l.primary && (l.upToDate[n] || l.lagMilliseconds(now) < 1000) {
			capacity += 100
		}
	}
	return max(0, demandPercent-capacity) * 100 / demandPercent
}

// newLaggingServer starts a control process that leads a group of a, b and c, of which a is the primary of term 3.
func newLaggingServer(t *testing.T, l *laggingPlatform, d jacinthtiller.Database) *Server {
	s := newGroupServer(t, l, d)
	l.inService = func() bool { return s.machine.state().View.Databases["db"].Primary != "" }
	l.committedAt, l.term, l.primary, l.committed = time.Now(), 3, "a", 100
	l.received, l.upToDate, l.leadsAt = 100, map[string]bool{}, map[string]time.Time{}
	startLeader(s)
	return s
}

// groupPlatform simulates the targets of a group.
type groupPlatform interface {
	jacinthtiller.Inspector
	jacinthtiller.Promoter
}

// newGroupServer returns a control process with one group, which startLeader starts.
func newGroupServer(t *testing.T, p groupPlatform, d jacinthtiller.Database) *Server {
	s, err := newServer(Config{Name: "c1", Members: map[string]string{"c1": "http://c1"}, Operators: &Operators{}, Inspector: p, Promoter: p})
	if err != nil {
		t.Fatal(err)
	}
	v := s.machine.current.View
	v.Databases = maps.Clone(v.Databases)
	if v.Databases == nil {
		v.Databases = map[string]jacinthtiller.Database{}
	}
	v.Databases["db"], v.Index = d, 9
	s.machine.current.View = v
	return s
}

func startLeader(s *Server) {
	s.start(&fakeNode{machine: s.machine, leader: "c1", leads: true, changed: make(chan struct{}), index: 9})
}

// overloadCase is a group of three targets whose replicas lag while hosts ask for more than one target does.
type overloadCase struct {
	// lag is the replicas' lag by the time since the start, in milliseconds.
	lag func(time.Duration) int64
	// demandPercent is what guests ask for, relative to what one target does.
	demandPercent         int
	promotionMilliseconds int64
	// receivesNothing is true when replicas receive nothing from the start on.
	receivesNothing bool
	// stopAtChange, goneAtChange and down are those of laggingPlatform.
	stopAtChange, goneAtChange, down bool
	// reportSeconds is how long hosts report.
	reportSeconds int
	// promotions and primary are the expected number of orders and the expected primary after 30 s.
	promotions int
	primary    string
}

// play runs the group for 30 s, and returns the number of orders, the primary, and how long the group had none.
func (c overloadCase) play(t *testing.T) (promotions int, primary string, away time.Duration) {
	const step = 100 * time.Millisecond
	began := time.Now()
	l := &laggingPlatform{
		promotionMilliseconds: c.promotionMilliseconds, down: c.down, stopAtChange: c.stopAtChange, goneAtChange: c.goneAtChange,
		lagMilliseconds: func(now time.Time) int64 { return c.lag(now.Sub(began)) },
	}
	if c.receivesNothing {
		l.stopsReceiving = began
	}
	s := newLaggingServer(t, l, directGroup())
	for i := range 300 {
		primary = s.machine.state().View.Databases["db"].Primary
		if primary == "" {
			away += step
		}
		if i%5 == 0 && time.Since(began) < time.Duration(c.reportSeconds)*time.Second {
			c.report(s, l, primary)
		}
		time.Sleep(step)
	}
	_ = s.Close()
	return len(l.promotions), primary, away
}

// report sends the reports of two hosts, which drop out when they refuse nothing.
func (c overloadCase) report(s *Server, l *laggingPlatform, primary string) {
	now := time.Now()
	refused := l.refusedShare(now, c.demandPercent)
	for _, host := range []string{"h1", "h2"} {
		r := jacinthtiller.OverloadReport{Host: host, Database: "db", Primary: primary, Served: 100 - refused, Refused: refused}
		if refused > 0 {
			s.recordOverload(r, now)
		}
	}
}

// TestRelief plays the pattern "replicas apply the log late while one target cannot take the load": hosts refuse requests
// for as long as the replicas are behind, although a promoted replica and the former primary would both be up to date. It
// guards against primaries that are not changed then, and against changes that do not help: for a short peak, a small lag,
// replicas that do not receive the log, or again and again.
func TestRelief(t *testing.T) {
	constant := func(ms int64) func(time.Duration) int64 { return func(time.Duration) int64 { return ms } }
	growing := func(percent int64) func(time.Duration) int64 {
		return func(d time.Duration) int64 { return d.Milliseconds() * percent / 100 }
	}
	cases := map[string]overloadCase{
		"replicas 10 s behind, demand 1.6 of a target":     {lag: constant(10_000), demandPercent: 160, promotionMilliseconds: 1000, reportSeconds: 30, promotions: 1, primary: "b"},
		"half the lag, twice the demand":                   {lag: constant(5_000), demandPercent: 320, promotionMilliseconds: 300, reportSeconds: 8, promotions: 1, primary: "b"},
		"twice the lag":                                    {lag: constant(20_000), demandPercent: 160, promotionMilliseconds: 1000, reportSeconds: 30, promotions: 1, primary: "b"},
		"twice the demand":                                 {lag: constant(10_000), demandPercent: 320, promotionMilliseconds: 1000, reportSeconds: 8, promotions: 1, primary: "b"},
		"the lag grows from nothing":                       {lag: growing(100), demandPercent: 160, promotionMilliseconds: 1000, reportSeconds: 30, promotions: 1, primary: "b"},
		"demand below one target":                          {lag: constant(10_000), demandPercent: 90, promotionMilliseconds: 1000, reportSeconds: 30, primary: "a"},
		"replicas 2 s behind":                              {lag: constant(2_000), demandPercent: 160, promotionMilliseconds: 1000, reportSeconds: 30, primary: "a"},
		"a peak of half a second":                          {lag: constant(10_000), demandPercent: 160, promotionMilliseconds: 1000, reportSeconds: 1, primary: "a"},
		"replicas receive nothing":                         {lag: constant(10_000), demandPercent: 160, promotionMilliseconds: 1000, receivesNothing: true, reportSeconds: 30, primary: "a"},
		"replicas stop receiving when the change begins":   {lag: constant(10_000), demandPercent: 160, promotionMilliseconds: 1000, stopAtChange: true, reportSeconds: 8, primary: "a"},
		"the primary is lost during the change":            {lag: constant(10_000), demandPercent: 160, promotionMilliseconds: 1000, stopAtChange: true, goneAtChange: true, reportSeconds: 8, promotions: 1, primary: "b"},
		"the platform finds no process behind any replica": {lag: constant(10_000), demandPercent: 160, promotionMilliseconds: 1000, down: true, reportSeconds: 4, promotions: 1, primary: "a"},
	}
	convey.Convey("A group of three targets, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var promotions int
				var primary string
				var away time.Duration
				synctest.Test(t, func(t *testing.T) { promotions, primary, away = c.play(t) })
				convey.So(name+": "+primary, convey.ShouldEqual, name+": "+c.primary)
				convey.So(promotions, convey.ShouldEqual, c.promotions)
				convey.So(away, convey.ShouldBeLessThanOrEqualTo, 4*time.Second)
			})
		}
	})
}

// TestOverloadReports guards against reports that fill the leader's memory or make it divide by zero: about databases that
// do not exist, about former primaries, or with counts that cannot be.
func TestOverloadReports(t *testing.T) {
	cases := map[string]struct {
		report   jacinthtiller.OverloadReport
		recorded bool
	}{
		"a current report":       {jacinthtiller.OverloadReport{Host: "h", Database: "db", Primary: "a", Served: 3, Refused: 1}, true},
		"an unknown database":    {jacinthtiller.OverloadReport{Host: "h", Database: "other", Primary: "a", Refused: 1}, false},
		"a former primary":       {jacinthtiller.OverloadReport{Host: "h", Database: "db", Primary: "b", Refused: 1}, false},
		"no primary":             {jacinthtiller.OverloadReport{Host: "h", Database: "db", Refused: 1}, false},
		"nothing refused":        {jacinthtiller.OverloadReport{Host: "h", Database: "db", Primary: "a", Served: 1}, false},
		"counts that cancel out": {jacinthtiller.OverloadReport{Host: "h", Database: "db", Primary: "a", Served: -1, Refused: 1}, false},
	}
	convey.Convey("Of the reports of hosts, only those about the current primary are kept", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				now := time.Unix(1000, 0)
				s, err := newServer(Config{Name: "c1", Operators: &Operators{}})
				convey.So(err, convey.ShouldBeNil)
				v := s.machine.current.View
				v.Databases = map[string]jacinthtiller.Database{"db": directGroup()}
				s.machine.current.View = v
				s.recordOverload(c.report, now)
				o := s.direct.overloads[c.report.Database]
				convey.So(o != nil, convey.ShouldEqual, c.recorded)
				if o != nil {
					percent, ok := o.refusedPercent(now)
					convey.So(percent, convey.ShouldEqual, 25)
					convey.So(ok, convey.ShouldBeTrue)
					_, ok = o.refusedPercent(now.Add(overloadReportTTL))
					convey.So(ok, convey.ShouldBeFalse)
				}
			})
		}
	})
}
