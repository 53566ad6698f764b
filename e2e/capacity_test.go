package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/bench"
	"github.com/jacinthtiller/jacinthtiller/control"
	"github.com/jacinthtiller/jacinthtiller/quickstart"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// The benchmarks in this file measure the slopes in docs/CAPACITY.md on separate processes, from the processor
// time and the memory that the kernel reports for each of them.

const (
	// ticksPerSecond is the unit of processor times in /proc, which Linux fixes at 100 for user space.
	ticksPerSecond = 100
	// measureDuration is how long a steady state is measured; processor time has a resolution of 10 ms.
	measureDuration = 10 * time.Second
	// settleDuration lets start-up work end before a measurement.
	settleDuration = 2 * time.Second
)

// usage is the processor time and the resident memory that the kernel reports for a process.
type usage struct {
	cpuSeconds, memoryBytes float64
}

func (p *process) usage(b testing.TB) usage {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		b.Fatal(err)
	}
	// The name in parentheses may hold spaces; utime and stime are the 12th and 13th fields after it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		b.Fatal(err)
	}
	var kb float64
	for line := range strings.Lines(string(status)) {
		if strings.HasPrefix(line, "VmRSS:") {
			kb, _ = strconv.ParseFloat(strings.Fields(line)[1], 64)
		}
	}
	return usage{cpuSeconds: (user + system) / ticksPerSecond, memoryBytes: kb * 1024}
}

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func countingClient(bytes *atomic.Int64) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{Conn: c, bytes: bytes}, nil
		},
	}}
}

// fakeHost registers, renews its lease and watches the control group like an entry host, but serves no guests.
type fakeHost struct {
	host   jacinthtiller.Host
	client *control.Client
	// index is the newest index applied.
	index atomic.Uint64
	// document is the newest document applied, and appliedAtNanoseconds the Unix time of that.
	document             atomic.Uint64
	appliedAtNanoseconds atomic.Int64
}

func (h *fakeHost) run(ctx context.Context, group *conc.WaitGroup) {
	group.Go(func() {
		for ctx.Err() == nil {
			_ = h.client.Watch(ctx, h.index.Load(), func(d jacinthtiller.Delta) error {
				h.index.Store(d.Index)
				if d.Document != h.document.Load() {
					h.document.Store(d.Document)
					h.appliedAtNanoseconds.Store(time.Now().UnixNano())
				}
				return nil
			})
		}
	})
	group.Go(func() {
		for ctx.Err() == nil {
			if _, err := h.client.Register(ctx, h.host); err == nil {
				break
			}
		}
		t := time.NewTicker(400 * time.Millisecond)
		defer t.Stop()
		for ctx.Err() == nil {
			_, _ = h.client.Renew(ctx, jacinthtiller.RenewRequest{
				Host: h.host.Name, Incarnation: h.host.Incarnation, Index: h.index.Load(),
			})
			select {
			case <-t.C:
			case <-ctx.Done():
			}
		}
	})
}

// BenchmarkControl measures the control processes under registered, renewing and watching hosts: processor time
// and memory of the leader and of a follower, bytes for each host, and the time until an accepted edit has reached all hosts.
func BenchmarkControl(b *testing.B) {
	for _, hosts := range []int{10, 100, 300, 580} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				measureControl(b, hosts)
			}
		})
	}
}

func measureControl(b *testing.B, hosts int) {
	n := startControlOnly(b)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	var sent atomic.Int64
	all := make([]*fakeHost, hosts)
	for i := range all {
		h := &fakeHost{
			host: jacinthtiller.Host{
				Name: fmt.Sprintf("host-%d", i), Domain: fmt.Sprintf("domain-%d", i%6), Region: fmt.Sprintf("region-%d", i%2),
				RPC: "http://127.0.0.1:1", Link: "127.0.0.1:1", Guests: "127.0.0.1:1", Incarnation: fmt.Sprintf("%016x", i),
			},
			client: control.NewClient(n.controlURLs(), countingClient(&sent)),
		}
		all[i] = h
		h.run(ctx, &group)
	}
	n.eventually("all hosts hold a lease", func(ctx context.Context) error {
		s, err := n.client.Status(ctx)
		if err != nil {
			return err
		}
		held := 0
		for _, h := range s.Hosts {
			if h.Lease == control.LeaseHeld {
				held++
			}
		}
		if held < hosts {
			return fmt.Errorf("%d of %d hosts hold a lease", held, hosts)
		}
		return nil
	})
	time.Sleep(settleDuration)
	s, err := n.client.Status(ctx)
	if err != nil {
		b.Fatal(err)
	}
	leader := n.control[s.Leader]
	var follower *process
	for name, p := range n.control {
		if name != s.Leader {
			follower = p
		}
	}
	leaderBefore, followerBefore, sentBefore := leader.usage(b), follower.usage(b), sent.Load()
	time.Sleep(measureDuration)
	seconds := measureDuration.Seconds()
	b.ReportMetric(100*(leader.usage(b).cpuSeconds-leaderBefore.cpuSeconds)/seconds, "leader-%core")
	b.ReportMetric(100*(follower.usage(b).cpuSeconds-followerBefore.cpuSeconds)/seconds, "follower-%core")
	b.ReportMetric(float64(sent.Load()-sentBefore)/seconds/float64(hosts), "B/s/host")
	editMilliseconds, bytesPerEdit := editAndWait(b, n, all, &sent)
	b.ReportMetric(editMilliseconds, "edit-ms-median")
	b.ReportMetric(bytesPerEdit, "B/edit/host")
	b.ReportMetric(leader.usage(b).memoryBytes/1e6, "leader-MB")
	b.ReportMetric(follower.usage(b).memoryBytes/1e6, "follower-MB")
	cancel()
	group.Wait()
	n.stop()
}

// editAndWait applies edits and returns the median time in milliseconds until all hosts have one, and the bytes
// that one edit costs a host beyond its renewals.
func editAndWait(b *testing.B, n *installation, all []*fakeHost, sent *atomic.Int64) (float64, float64) {
	const edits = 11
	var times []float64
	var editBytes int64
	for i := range edits {
		before := sent.Load()
		began := time.Now()
		text := fmt.Sprintf("weight: %d\ndatabases: [%s]\n", i+1, database)
		if err := quickstart.ApplySection(context.Background(), n.client, fmt.Sprintf("team-%d", i), text); err != nil {
			b.Fatal(err)
		}
		s, err := n.client.Status(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		for _, h := range all {
			for h.document.Load() < s.Document {
				time.Sleep(time.Millisecond)
			}
		}
		var last int64
		for _, h := range all {
			last = max(last, h.appliedAtNanoseconds.Load())
		}
		times = append(times, float64(last-began.UnixNano())/1e6)
		editBytes += sent.Load() - before
	}
	slices.Sort(times)
	return times[len(times)/2], float64(editBytes) / edits / float64(len(all))
}

// BenchmarkGuests measures the memory of an entry process by the number of idle guest connections.
func BenchmarkGuests(b *testing.B) {
	for range b.N {
		n := startInstallation(b)
		host := n.hosts["iasi-a-entry-1"]
		var conns []*pgx.Conn
		base := host.usage(b)
		for _, count := range []int{100, 1000, 5000, 10000} {
			workers := pool.New().WithMaxGoroutines(16).WithErrors()
			var mu sync.Mutex
			for range count - len(conns) {
				workers.Go(func() error {
					c, err := pgx.Connect(context.Background(), n.guestURL("iasi-a-entry-1"))
					if err == nil {
						mu.Lock()
						conns = append(conns, c)
						mu.Unlock()
					}
					return err
				})
			}
			if err := workers.Wait(); err != nil {
				b.Fatal(err)
			}
			time.Sleep(settleDuration)
			now := host.usage(b)
			b.ReportMetric((now.memoryBytes-base.memoryBytes)/float64(count)/1024, fmt.Sprintf("KB/guest-%d", count))
			idle := host.usage(b)
			time.Sleep(measureDuration / 2)
			b.ReportMetric(100*(host.usage(b).cpuSeconds-idle.cpuSeconds)/(measureDuration/2).Seconds(), fmt.Sprintf("%%core-idle-%d", count))
		}
		for _, c := range conns {
			_ = c.Close(context.Background())
		}
		n.stop()
	}
}

// BenchmarkStatements measures the processor time of the processes for each statement, at several rates.
func BenchmarkStatements(b *testing.B) {
	for _, rate := range []float64{500, 2000, 8000} {
		for name, share := range map[string]float64{"reads": 1, "mixed": 0.8, "writes": 0} {
			b.Run(fmt.Sprintf("%s/rate=%.0f", name, rate), func(b *testing.B) {
				for range b.N {
					measureStatements(b, rate, share)
				}
			})
		}
	}
}

func measureStatements(b *testing.B, rate, reads float64) {
	n := startInstallation(b)
	before := map[string]usage{}
	all := map[string]*process{}
	for _, m := range []map[string]*process{n.hosts, n.control} {
		for name, p := range m {
			all[name], before[name] = p, p.usage(b)
		}
	}
	r, err := bench.Run(context.Background(), bench.Plan{
		Logins: n.logins(40), Milliseconds: measureDuration.Milliseconds(), Rate: rate, ReadShare: reads, HostChangeShare: 0.05, Seed: 1,
	}, &lockedBuffer{})
	if err != nil || r.ViolationCount > 0 {
		b.Fatalf("%d violations, error %v", r.ViolationCount, err)
	}
	operations := float64(r.Reads.Count + r.Writes.Count)
	owner, err := n.primaryOwner()
	if err != nil {
		b.Fatal(err)
	}
	var hostSeconds, controlSeconds float64
	for name, p := range all {
		spent := p.usage(b).cpuSeconds - before[name].cpuSeconds
		if _, ok := n.hosts[name]; ok {
			hostSeconds += spent
		} else {
			controlSeconds += spent
		}
	}
	b.ReportMetric(1e6*hostSeconds/operations, "cpu-us/statement-all-hosts")
	b.ReportMetric(1e6*(owner.usage(b).cpuSeconds-before[owner.name].cpuSeconds)/operations, "cpu-us/statement-primary-owner")
	b.ReportMetric(1e6*controlSeconds/operations, "cpu-us/statement-control")
	b.ReportMetric(float64(r.Reads.Median), "read-us-median")
	b.ReportMetric(float64(r.Writes.Median), "write-us-median")
	n.stop()
}

// BenchmarkTargets measures the idle processor time and the memory of the entry processes by the number of targets that
// they own: announcements, probes and leases, without statements.
func BenchmarkTargets(b *testing.B) {
	for range b.N {
		n := startInstallation(b)
		owned := 3
		for _, databases := range []int{1, 7, 14} {
			for ; owned < 3*databases; owned += 3 {
				n.startTargets(fmt.Sprintf("registru-%d", owned/3+1))
			}
			n.eventually("all targets have an owner", func(ctx context.Context) error { return n.checkAllOwned(ctx, databases) })
			time.Sleep(settleDuration)
			before := n.totalHostUsage(b)
			time.Sleep(measureDuration)
			after := n.totalHostUsage(b)
			hosts := float64(len(n.hosts))
			label := fmt.Sprintf("targets-%d", owned)
			b.ReportMetric(100*(after.cpuSeconds-before.cpuSeconds)/measureDuration.Seconds()/hosts, "%core/host-"+label)
			b.ReportMetric(after.memoryBytes/1e6/hosts, "MB/host-"+label)
		}
		n.stop()
	}
}

// totalHostUsage returns the sum of the usage of all entry processes.
func (n *installation) totalHostUsage(b testing.TB) usage {
	var sum usage
	for _, p := range n.hosts {
		u := p.usage(b)
		sum.cpuSeconds, sum.memoryBytes = sum.cpuSeconds+u.cpuSeconds, sum.memoryBytes+u.memoryBytes
	}
	return sum
}

// checkAllOwned returns nil when there are that many databases, each with a primary and three owned targets.
func (n *installation) checkAllOwned(ctx context.Context, databases int) error {
	s, err := n.client.Status(ctx)
	if err != nil {
		return err
	}
	if len(s.Databases) != databases {
		return fmt.Errorf("%d of %d databases", len(s.Databases), databases)
	}
	for _, d := range s.Databases {
		if d.Primary == "" || len(d.Targets) != 3 {
			return fmt.Errorf("database %s has primary %q and %d targets", d.Name, d.Primary, len(d.Targets))
		}
		for _, t := range d.Targets {
			if t.Owner == "" {
				return fmt.Errorf("target %s has no owner", t.Name)
			}
		}
	}
	return nil
}

// BenchmarkAnnouncements measures the processor time of an entry process for each announcement that it receives.
func BenchmarkAnnouncements(b *testing.B) {
	for range b.N {
		n := startInstallation(b)
		d, err := n.status()
		if err != nil {
			b.Fatal(err)
		}
		t := d.Targets[d.Primary]
		owner := n.hosts[t.Owner]
		var sent atomic.Int64
		client := countingClient(&sent)
		a := jacinthtiller.Announcement{
			Database: d.Name, Target: t.Name, Address: t.Address, Domain: t.Domain, GroupSize: 3,
			Position: fmt.Sprintf("%d/1", d.Term), Term: d.Term, Role: jacinthtiller.RolePrimary, State: jacinthtiller.StateServing,
		}
		body, err := json.Marshal(a)
		if err != nil {
			b.Fatal(err)
		}
		const count = 5000
		before := owner.usage(b)
		began := time.Now()
		for range count {
			r, err := client.Post(owner.endpoint+wire.ProcAnnounce, "application/json", bytes.NewReader(body))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
		}
		took := time.Since(began)
		spent := owner.usage(b).cpuSeconds - before.cpuSeconds
		base := owner.usage(b)
		time.Sleep(took)
		spent -= owner.usage(b).cpuSeconds - base.cpuSeconds
		b.ReportMetric(1e6*spent/count, "cpu-us/announcement")
		b.ReportMetric(float64(sent.Load())/count, "B/announcement")
		n.stop()
	}
}
