package quickstart

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller/control"
	"github.com/jacinthtiller/jacinthtiller/daemon"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/standin"
	"github.com/jacinthtiller/jacinthtiller/trace"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// failoverRuns is the number of runs of each scenario in the benchmark.
	failoverRuns = 10
	// failoverLimit is the required limit of a change of primary.
	failoverLimit = 10 * time.Second
	// failoverGuests is the number of guests that write continuously.
	failoverGuests = 8
	// faultDelay is how long the guests write before the fault in the first run. Each later run waits faultDelayStep
	// longer, so that the faults spread over the 400 ms between renewals of a lease; without it the lease ended at two
	// fixed times after the fault.
	faultDelay     = 300 * time.Millisecond
	faultDelayStep = 40 * time.Millisecond
	// minResumedWrites is the number of acknowledged writes, started after the fault, after which a run ends.
	minResumedWrites = 20
	// observationTime is how long the guests continue after these writes, so that a second interruption is seen.
	observationTime = 300 * time.Millisecond
	// guestDomain is the guests' domain on the network and guestLatency their one-way latency to the entry hosts.
	guestDomain  = "guests"
	guestLatency = 3 * time.Millisecond
	// targetConnectTime is how long a new connection to a target takes.
	targetConnectTime = 10 * time.Millisecond
)

// failoverDatabase is the database whose primary fails or moves.
const failoverDatabase = "registru-1"

// failoverLatencies are the one-way latencies between the failure domains.
var failoverLatencies = map[string]time.Duration{
	"1.5ms": 1500 * time.Microsecond,
	"10ms":  10 * time.Millisecond,
}

// initialState is the installation before the fault, with the processes that scenarios act on.
type initialState struct {
	cluster *Cluster
	primary string
	// owner is the host that owns the primary.
	owner *daemon.Process
	// leader is the leader of the control group.
	leader *daemon.Process
}

// failoverScenario is one way to lose or move a primary.
type failoverScenario struct {
	inject func(ctx context.Context, s initialState) error
	// usable reports whether guests connect to the host; nil means every host.
	usable func(s initialState, h *daemon.Process) bool
	// planned is true for a change without a fault, in which the guests must see no error.
	planned bool
	// separateControl is true when each control process has its own domain on the network and can be isolated alone.
	separateControl bool
}

func (s initialState) killPrimary() { s.cluster.Targets[failoverDatabase][s.primary].Kill() }

func notOwner(s initialState, h *daemon.Process) bool { return h != s.owner }

var failoverScenarios = map[string]failoverScenario{
	"target-lost": {inject: func(_ context.Context, s initialState) error {
		s.killPrimary()
		return nil
	}},
	"owner-lost": {inject: func(_ context.Context, s initialState) error {
		s.owner.Kill()
		return nil
	}, usable: notOwner},
	"domain-cut-off": {inject: func(_ context.Context, s initialState) error {
		s.cluster.Isolate(s.owner.Domain())
		return nil
	}, usable: func(s initialState, h *daemon.Process) bool { return h.Domain() != s.owner.Domain() }},
	"target-and-owner-lost": {inject: func(_ context.Context, s initialState) error {
		runConcurrently(s.killPrimary, s.owner.Kill)
		return nil
	}, usable: notOwner},
	// The leader is isolated and not killed, because Kill of a leader transfers the leadership before it ends.
	"leader-and-target-lost": {inject: func(_ context.Context, s initialState) error {
		s.cluster.options.Network.Isolate(s.leader.Name())
		s.killPrimary()
		return nil
	}, separateControl: true},
	"planned-move": {inject: func(ctx context.Context, s initialState) error {
		for name := range s.cluster.Targets[failoverDatabase] {
			if name == s.primary {
				continue
			}
			r, err := s.cluster.Client().MovePrimary(ctx, control.MovePrimaryRequest{
				Operator: control.Operator{Name: "failover"}, Database: failoverDatabase, Target: name,
				WaitMicroseconds: failoverLimit.Microseconds(),
			})
			if err != nil {
				return fmt.Errorf("move the primary: %w", err)
			}
			if r.Database.Primary != name {
				return fmt.Errorf("the primary is %q after its move to %q", r.Database.Primary, name)
			}
			return nil
		}
		return errors.New("there is no other target")
	}, planned: true},
}

// runConcurrently calls both functions concurrently and waits for them.
func runConcurrently(f, g func()) {
	var group conc.WaitGroup
	group.Go(f)
	group.Go(g)
	group.Wait()
}

// acknowledgedWrite is an acknowledged write with the guest's times of its start and acknowledgement.
type acknowledgedWrite struct{ started, ended time.Time }

// writers are guests that write without a pause.
type writers struct {
	group conc.WaitGroup

	mu           sync.Mutex // guards the fields below
	acknowledged []acknowledgedWrite
	failed       []failedWrite
}

// failedWrite is a write that was answered with an error.
type failedWrite struct {
	started, ended time.Time
	code           string
}

// start starts the guests, each at the next of the URLs.
func (w *writers) start(ctx context.Context, n *Network, urls []string) error {
	for i := range failoverGuests {
		cfg, err := pgx.ParseConfig(urls[i%len(urls)])
		if err != nil {
			return fmt.Errorf("parse the guest's URL: %w", err)
		}
		cfg.DialFunc = n.Dialer(guestDomain)
		w.group.Go(func() { w.write(ctx, cfg, i) })
	}
	return nil
}

func (w *writers) write(ctx context.Context, cfg *pgx.ConnConfig, guest int) {
	var c *pgx.Conn
	defer func() {
		if c != nil {
			closing, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = c.Close(closing)
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		started := time.Now()
		var err error
		if c == nil || c.IsClosed() {
			c, err = pgx.ConnectConfig(ctx, cfg)
		}
		if err == nil {
			_, err = c.Exec(ctx, "INSERT INTO gaps VALUES ($1, $2)", guest, n)
		}
		ended := time.Now()
		w.mu.Lock()
		if err == nil {
			w.acknowledged = append(w.acknowledged, acknowledgedWrite{started, ended})
		} else if ctx.Err() == nil {
			w.failed = append(w.failed, failedWrite{started, ended, errorCode(err)})
		}
		w.mu.Unlock()
		if err != nil {
			_ = sleep(ctx, 5*time.Millisecond)
		}
	}
}

func errorCode(err error) string {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p.Code
	}
	return "connection"
}

// acknowledgedSince counts the acknowledged writes that started after t.
func (w *writers) acknowledgedSince(t time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, a := range w.acknowledged {
		if a.started.After(t) {
			n++
		}
	}
	return n
}

// sample holds the measurements of one run; its times are in milliseconds.
type sample struct {
	// gap is the longest time without an acknowledged write that ended after the fault.
	gap float64
	// recovery is the time from the fault to the first acknowledged write after the change.
	recovery float64
	// phases holds the length of each phase of the recovery.
	phases map[string]float64
	// timeline lists the ends of the phases in their order.
	timeline []string
	// leader is the leader of the control group before the fault.
	leader string
	// errors counts the guests' errors by SQLSTATE.
	errors map[string]int
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// runFailover runs an installation, injects the fault and measures the recovery.
func runFailover(ctx context.Context, k failoverScenario, latency time.Duration, run int, dir string) (sample, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	n := NewNetwork()
	for i, domain := range FailureDomains {
		n.SetLatency(guestDomain, domain.Name, guestLatency)
		for _, other := range FailureDomains[:i] {
			n.SetLatency(domain.Name, other.Name, latency)
		}
	}
	o := Options{
		Databases: []string{failoverDatabase, "registru-2", "registru-3"}, Slots: 5, Connections: 30,
		LagMicroseconds: latency.Microseconds(), ConnectDelayMicroseconds: targetConnectTime.Microseconds(),
		TraceDir: dir, Network: n,
	}
	start := Start
	if k.separateControl {
		start = startSeparateControl
		setControlLatencies(n, latency)
	}
	c, err := start(ctx, o)
	if c != nil {
		defer c.Kill()
	}
	if err != nil {
		return sample{}, fmt.Errorf("start the installation: %w", err)
	}
	s, err := newInitialState(ctx, c)
	if err != nil {
		return sample{}, err
	}
	var urls []string
	for _, h := range c.Hosts {
		n.SetDomain(h.GuestAddr(), h.Domain())
		if k.usable == nil || k.usable(s, h) {
			urls = append(urls, c.URL(h, DefaultLogins[0], failoverDatabase))
		}
	}
	if err := createGapsTable(ctx, urls[0]); err != nil {
		return sample{}, err
	}
	writeCtx, stop := context.WithCancel(ctx)
	defer stop()
	var w writers
	if err := w.start(writeCtx, n, urls); err != nil {
		return sample{}, err
	}
	began, err := injectFault(ctx, k, s, &w, faultDelay+time.Duration(run)*faultDelayStep)
	stop()
	w.group.Wait()
	if err != nil {
		return sample{}, err
	}
	c.Kill()
	files, err := filepath.Glob(filepath.Join(dir, "*.trace"))
	if err != nil {
		return sample{}, fmt.Errorf("list traces: %w", err)
	}
	records, err := trace.ReadFiles(files...)
	if err != nil {
		return sample{}, fmt.Errorf("read traces: %w", err)
	}
	return splitRecovery(records, s, &w, began)
}

// controlDomains returns a domain for each control process, with the name of the process.
func controlDomains() []FailureDomain {
	var out []FailureDomain
	for i, domain := range FailureDomains {
		out = append(out, FailureDomain{Name: fmt.Sprintf("control-%d", i+1), Region: domain.Region})
	}
	return out
}

// setControlLatencies gives the control processes' own domains the latencies of the failure domains that they stand for.
func setControlLatencies(n *Network, latency time.Duration) {
	all := controlDomains()
	for i, own := range all {
		for j, domain := range FailureDomains {
			if i != j {
				n.SetLatency(own.Name, domain.Name, latency)
				n.SetLatency(own.Name, all[j].Name, latency)
			}
		}
	}
}

// startSeparateControl starts an installation like Start, with each control process in its own domain. After an error
// the caller ends the processes that have started.
func startSeparateControl(ctx context.Context, o Options) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "jacinthtiller-")
	if err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	c := &Cluster{options: o.withDefaults(), dataDir: dir, Targets: map[string]map[string]*standin.Target{}}
	members, listeners, err := openControlListeners(len(FailureDomains))
	if err != nil {
		return c, err
	}
	for _, domain := range controlDomains() {
		if err := c.startControl(domain.Name, members, listeners[domain.Name], domain); err != nil {
			return c, err
		}
	}
	c.client = control.NewClient(slices.Collect(maps.Values(members)), wire.NewHTTPClient())
	if err := c.applyDocument(ctx); err != nil {
		return c, err
	}
	for _, domain := range FailureDomains {
		for i := range domain.EntryHosts {
			if err := c.startHost(fmt.Sprintf("%s-entry-%d", domain.Name, i+1), domain, members); err != nil {
				return c, err
			}
		}
	}
	for _, d := range o.Databases {
		if err := c.startDatabase(d); err != nil {
			return c, err
		}
	}
	return c, c.WaitReady(ctx)
}

// injectFault injects the fault after the delay, waits until writes have resumed and returns when the fault began.
func injectFault(ctx context.Context, k failoverScenario, s initialState, w *writers, delay time.Duration) (time.Time, error) {
	if err := sleep(ctx, delay); err != nil {
		return time.Time{}, fmt.Errorf("wait before the fault: %w", err)
	}
	began := time.Now()
	if err := k.inject(ctx, s); err != nil {
		return began, err
	}
	done := time.Now()
	for w.acknowledgedSince(done) < minResumedWrites {
		if time.Since(began) > failoverLimit {
			return began, fmt.Errorf("writes did not resume within %v", failoverLimit)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return began, fmt.Errorf("wait for writes: %w", err)
		}
	}
	if err := sleep(ctx, observationTime); err != nil {
		return began, fmt.Errorf("wait after the change: %w", err)
	}
	return began, nil
}

func newInitialState(ctx context.Context, c *Cluster) (initialState, error) {
	s := initialState{cluster: c, primary: c.Primary(failoverDatabase)}
	v := c.Hosts[0].View()
	o, ok := v.Owner(failoverDatabase, s.primary)
	if !ok {
		return s, fmt.Errorf("%s has no owner", s.primary)
	}
	st, err := c.Client().Status(ctx)
	if err != nil {
		return s, fmt.Errorf("ask for the control leader: %w", err)
	}
	for _, h := range c.Hosts {
		if h.Name() == o.Name {
			s.owner = h
		}
	}
	for _, p := range c.Control {
		if p.Name() == st.Leader {
			s.leader = p
		}
	}
	if s.owner == nil || s.leader == nil {
		return s, fmt.Errorf("owner %q or control leader %q is no process of the installation", o.Name, st.Leader)
	}
	return s, nil
}

func createGapsTable(ctx context.Context, url string) error {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return fmt.Errorf("connect to create the table: %w", err)
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "CREATE TABLE gaps (guest BIGINT, entry BIGINT)"); err != nil {
		return fmt.Errorf("create the table: %w", err)
	}
	return nil
}

// failoverPhases are the phases of a recovery, in the usual order. Each ends with the event in its comment.
var failoverPhases = []string{
	"election",  // control-leading of a new control leader
	"lease",     // control-host-gone of the owner
	"start",     // control-move-started
	"drain",     // handed-over
	"detection", // target-lost
	"open",      // control-promotion-opened, or control-targets-assigned when the term stays
	"promotion", // control-promotion-committed
	"lead",      // lead-begun
	"reach",     // first unit-sent of the new lead
	"settle",    // first unit-acknowledged of the new lead
	"answer",    // first acknowledgement that a guest gets after that
}

// phaseEndedBy returns the phase that ends with the record; empty when the record ends none.
func phaseEndedBy(r trace.Record, s initialState) string {
	text := func(name string) string {
		v, _ := r.Fields[name].(string)
		return v
	}
	primary := text("database") == failoverDatabase && text("target") == s.primary
	switch r.Number {
	case event.ControlLeading.Number:
		return "election"
	case event.ControlHostGone.Number:
		if text("name") == s.owner.Name() {
			return "lease"
		}
	case event.TargetLost.Number:
		if primary {
			return "detection"
		}
	case event.HandedOver.Number:
		if primary {
			return "drain"
		}
	case event.ControlTargetsAssigned.Number:
		if primary {
			return "assigned"
		}
	}
	if text("database") != failoverDatabase {
		return ""
	}
	switch r.Number {
	case event.ControlMoveStarted.Number:
		return "start"
	case event.ControlPromotionOpened.Number:
		return "open"
	case event.ControlPromotionCommitted.Number:
		return "promotion"
	case event.LeadBegun.Number:
		return "lead"
	case event.UnitSent.Number:
		return "reach"
	case event.UnitAcknowledged.Number:
		return "settle"
	}
	return ""
}

// splitRecovery splits the recovery into phases by the events. The first event of each kind counts, and the last of
// them is the first acknowledgement of the first lead that began after the fault.
func splitRecovery(records []trace.Record, s initialState, w *writers, began time.Time) (sample, error) {
	out := sample{phases: map[string]float64{}, errors: map[string]int{}, leader: s.leader.Name()}
	slices.SortStableFunc(records, func(a, b trace.Record) int { return a.Time.Compare(b.Time) })
	seen := map[string]bool{}
	last, leadHost := began, ""
	endPhase := func(phase, source string, at time.Time) {
		out.phases[phase] += milliseconds(at.Sub(last))
		out.timeline = append(out.timeline, fmt.Sprintf("%s %.0f (%s)", phase, milliseconds(at.Sub(began)), source))
		last = at
	}
	for _, r := range records {
		phase := phaseEndedBy(r, s)
		if phase == "" || r.Time.Before(began) || seen[phase] || (phase == "reach" || phase == "settle") && r.Host != leadHost {
			continue
		}
		seen[phase] = true
		if phase == "lead" {
			leadHost = r.Host
		}
		if phase == "assigned" {
			phase = "open"
		}
		endPhase(phase, filepath.Base(r.Location()), r.Time)
		if phase == "settle" {
			break
		}
	}
	if !seen["settle"] {
		return out, fmt.Errorf("the traces hold no acknowledged unit of a new lead: %v", out.timeline)
	}
	settled := last
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortFunc(w.acknowledged, func(a, b acknowledgedWrite) int { return a.ended.Compare(b.ended) })
	for _, a := range w.acknowledged {
		if a.ended.After(settled) {
			endPhase("answer", "guest", a.ended)
			break
		}
	}
	out.recovery = milliseconds(last.Sub(began))
	for i := 1; i < len(w.acknowledged); i++ {
		if w.acknowledged[i].ended.After(began) {
			out.gap = max(out.gap, milliseconds(w.acknowledged[i].ended.Sub(w.acknowledged[i-1].ended)))
		}
	}
	for _, f := range w.failed {
		out.errors[f.code]++
	}
	return out, nil
}

// traceDir returns a folder for the traces of one run; they are kept when JACINTH_TEST_TRACES names a folder.
func traceDir(tb testing.TB, name string) string {
	root := os.Getenv("JACINTH_TEST_TRACES")
	if root == "" {
		return tb.TempDir()
	}
	dir := filepath.Join(root, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		tb.Fatal(err)
	}
	return dir
}

// median returns the median, or the upper of the two middle values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// BenchmarkFailover measures the failover gap by scenario. The runs of the scenarios are interleaved. Run it with
// -benchtime 1x; it prints one line for each run and reports median, worst and the medians of the phases.
func BenchmarkFailover(b *testing.B) {
	for name, latency := range failoverLatencies {
		b.Run(name, func(b *testing.B) {
			samples := map[string][]sample{}
			for run := range failoverRuns {
				for k, c := range failoverScenarios {
					s, err := runFailover(b.Context(), c, latency, run, traceDir(b, fmt.Sprintf("%s-%s-%d", name, k, run+1)))
					if err != nil {
						b.Errorf("%s, run %d: %v", k, run+1, err)
						continue
					}
					samples[k] = append(samples[k], s)
					fmt.Fprintf(os.Stderr, "%s %s %d: gap %.0f recovery %.0f errors %v leader %s: %v\n",
						name, k, run+1, s.gap, s.recovery, s.errors, s.leader, s.timeline)
				}
			}
			for k := range failoverScenarios {
				b.Run(k, func(b *testing.B) { reportFailover(b, samples[k]) })
			}
		})
	}
}

func reportFailover(b *testing.B, samples []sample) {
	if len(samples) == 0 {
		b.Skip("no run succeeded")
	}
	var gaps, recoveries []float64
	phases := map[string][]float64{}
	failed := 0
	for _, s := range samples {
		gaps, recoveries = append(gaps, s.gap), append(recoveries, s.recovery)
		for _, p := range failoverPhases {
			phases[p] = append(phases[p], s.phases[p])
		}
		for _, n := range s.errors {
			failed += n
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(len(samples)), "runs")
	b.ReportMetric(median(gaps), "gap-median-ms")
	b.ReportMetric(slices.Max(gaps), "gap-worst-ms")
	b.ReportMetric(median(recoveries), "recovery-median-ms")
	b.ReportMetric(slices.Max(recoveries), "recovery-worst-ms")
	b.ReportMetric(float64(failed), "guest-errors")
	for _, p := range failoverPhases {
		if slices.Max(phases[p]) > 0 {
			b.ReportMetric(median(phases[p]), p+"-ms")
		}
	}
}

// TestFailoverGap guards against write interruptions above the limit after a primary is lost, in each scenario, and
// against errors that guests see when an operator moves a primary.
func TestFailoverGap(t *testing.T) {
	convey.Convey("Writes resume in time after", t, func() {
		for name, k := range failoverScenarios {
			convey.Convey(name, func() {
				s, err := runFailover(t.Context(), k, failoverLatencies["10ms"], 0, traceDir(t, "test-"+name))
				convey.So(err, convey.ShouldBeNil)
				t.Logf("%s: gap %.0f ms, recovery %.0f ms, errors %v, %v", name, s.gap, s.recovery, s.errors, s.timeline)
				convey.So(s.gap, convey.ShouldBeLessThan, milliseconds(failoverGapLimit))
				convey.So(s.recovery, convey.ShouldBeLessThan, milliseconds(failoverGapLimit))
				if k.planned {
					convey.So(s.errors, convey.ShouldBeEmpty)
				}
			})
		}
	})
}
