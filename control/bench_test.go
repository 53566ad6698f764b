package control

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// countingClient returns a client whose bytes on the wire are counted.
func countingClient() (*http.Client, *atomic.Int64) {
	n := &atomic.Int64{}
	tr := wire.NewHTTPClient().Transport.(*http.Transport)
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: c, n: n}, err
	}
	return &http.Client{Transport: tr}, n
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// largeHarness returns a harness with hosts and with databases of three targets.
func largeHarness(hosts, databases int) *harness {
	w := newHarness()
	var names []string
	for i := range hosts {
		n := fmt.Sprintf("entry-%03d", i)
		w.register(n, fmt.Sprint("zone-", i%6), "0123456789abcdef")
		names = append(names, n)
	}
	for i := range databases {
		for j := range 3 {
			a := announcement(fmt.Sprint("t", j), fmt.Sprint("zone-", (i+j)%6), jacinthtiller.RoleReplica, "1/5")
			a.Database = fmt.Sprintf("database-%03d", i)
			if j == 0 {
				a.Role = jacinthtiller.RolePrimary
			}
			w.apply(Command{Observe: &observeCommand{Announcement: a}})
		}
	}
	w.renew(names...)
	w.settle()
	return w
}

// BenchmarkRenew measures renewals over loopback HTTP; the CPU is that of the client and the leader together.
func BenchmarkRenew(b *testing.B) {
	s, _, url := startFake(b, Config{Operators: &Operators{}}, true)
	h, bytes := countingClient()
	c := NewClient([]string{url}, h)
	ctx := b.Context()
	const hosts = 580
	for i := range hosts {
		if _, err := s.propose(ctx, Command{Register: &registerCommand{Host: jacinthtiller.Host{
			Name: fmt.Sprint("entry-", i), Domain: "a", RPC: "http://127.0.0.1:1", Incarnation: "0123456789abcdef",
		}}}); err != nil {
			b.Fatal(err)
		}
	}
	index := s.View().Index
	var next atomic.Int64
	start, used := bytes.Load(), cpuTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := jacinthtiller.RenewRequest{Host: fmt.Sprint("entry-", next.Add(1)%hosts), Incarnation: "0123456789abcdef", Index: index}
			if out, err := c.Renew(ctx, r); err != nil || out.LeaseMicroseconds == 0 {
				b.Errorf("renew: %+v, %v", out, err)
			}
		}
	})
	b.ReportMetric(float64(bytes.Load()-start)/float64(b.N), "wire-B/renewal")
	b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(b.N), "cpu-us/renewal")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "renewals/s")
}

// BenchmarkRenewLeader measures the leader's own part of a renewal, without HTTP.
func BenchmarkRenewLeader(b *testing.B) {
	w := largeHarness(580, 0)
	r := jacinthtiller.RenewRequest{Host: "entry-001", Incarnation: "0123456789abcdef", Index: w.state.View.Index}
	for b.Loop() {
		w.leader.renew(w.state, r, w.now)
	}
}

// BenchmarkStep measures the leader's decisions at the expected size, with and without a change.
func BenchmarkStep(b *testing.B) {
	w := largeHarness(580, 930)
	for name, rescan := range map[string]bool{"idle": false, "changed": true} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				w.leader.needsScan = rescan
				w.leader.step(w.state, w.now)
			}
		})
	}
}

// BenchmarkApply measures one entry of the log at the expected size.
func BenchmarkApply(b *testing.B) {
	w := largeHarness(580, 930)
	d := w.state.View.Databases["database-001"]
	t := d.Targets["t1"]
	for b.Loop() {
		apply(w.state, w.index+1, Command{Unassign: &unassignCommand{Database: d.Name, Target: "t1", Epoch: t.Epoch}})
	}
}

// BenchmarkWatch measures one configuration change to watchers that only count
// what they receive; the CPU is that of the server and of these readers together.
func BenchmarkWatch(b *testing.B) {
	for _, watchers := range []int{10, 50, 200, 600} {
		b.Run(fmt.Sprint("watchers=", watchers), func(b *testing.B) { benchmarkWatch(b, watchers) })
	}
}

func benchmarkWatch(b *testing.B, watchers int) {
	m := newMachine(nil)
	w := largeHarness(580, 930)
	m.current, m.base = w.state, w.state.View.Index
	s, err := newServer(Config{Operators: &Operators{}})
	if err != nil {
		b.Fatal(err)
	}
	s.machine = m
	n := &fakeNode{machine: m, leader: "c1", index: w.index, changed: make(chan struct{})}
	s.start(n)
	web := httptest.NewServer(s.Handler())
	h, bytes := countingClient()
	ctx, cancel := context.WithCancel(b.Context())
	wg := conc.NewWaitGroup()
	received := make(chan struct{}, watchers)
	var full atomic.Int64
	for range watchers {
		wg.Go(func() { readWatch(ctx, h, web.URL, received, &full) })
	}
	for range watchers {
		<-received
	}
	section := sectionCommand{Team: "semintele", Text: testSectionText}
	start, used := bytes.Load(), cpuTime()
	b.ResetTimer()
	for i := range b.N {
		section.Request, section.Replaces = fmt.Sprint("r", i), uint64(i)
		c, err := encode(Command{Section: &section})
		if err != nil {
			b.Fatal(err)
		}
		n.mu.Lock()
		n.index++
		m.Apply(n.index, c)
		n.mu.Unlock()
		for range watchers {
			<-received
		}
	}
	b.StopTimer()
	each := float64(b.N) * float64(watchers)
	b.ReportMetric(float64(bytes.Load()-start)/each, "wire-B/watcher")
	b.ReportMetric(float64((cpuTime()-used).Nanoseconds())/1000/each, "cpu-us/watcher")
	b.ReportMetric(float64(full.Load())/float64(watchers), "full-view-B")
	cancel()
	_ = s.Close()
	web.CloseClientConnections()
	wg.Wait()
	web.Close()
}

// testSectionText is a section of about 1 KB.
var testSectionText = fmt.Sprintf("weight: 4\n# %01000d\n", 0)

// readWatch reads the envelopes of a watch and reports those that are not heartbeats.
func readWatch(ctx context.Context, h *http.Client, url string, received chan<- struct{}, full *atomic.Int64) {
	body, err := encode(WatchRequest{})
	if err != nil {
		return
	}
	envelope := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(body)))
	pr, pw := io.Pipe()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+wire.ProcWatch, pr)
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/connect+cbor")
	r.Header.Set("Connect-Protocol-Version", "1")
	send := conc.NewWaitGroup()
	defer send.Wait()
	send.Go(func() {
		_, _ = pw.Write(append(envelope, body...))
		_ = pw.Close()
	})
	out, err := h.Do(r)
	if err != nil {
		return
	}
	defer out.Body.Close()
	head := make([]byte, 5)
	for first := true; ; first = false {
		if _, err := io.ReadFull(out.Body, head); err != nil {
			return
		}
		size := int64(binary.BigEndian.Uint32(head[1:]))
		if _, err := io.CopyN(io.Discard, out.Body, size); err != nil {
			return
		}
		if first {
			full.Add(size)
		}
		if first || size > 500 {
			received <- struct{}{}
		}
	}
}
