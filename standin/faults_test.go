package standin_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/standin"
	"github.com/jacinthtiller/jacinthtiller/wire"
	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
)

// fakeHost is an HTTP server that records announcements.
type fakeHost struct {
	*httptest.Server
	mu    sync.Mutex
	last  jacinthtiller.Announcement
	count int
	owner string
}

func newFakeHost(t *testing.T) *fakeHost {
	h := &fakeHost{}
	h.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if r.URL.Path != wire.ProcAnnounce || r.Header.Get("Content-Type") != "application/json" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewDecoder(r.Body).Decode(&h.last)
		h.count++
		_ = json.NewEncoder(w).Encode(jacinthtiller.AnnounceResponse{Owner: h.owner})
	}))
	t.Cleanup(h.Close)
	return h
}

// lastAnnouncement returns the newest announcement and the number received.
func (h *fakeHost) lastAnnouncement() (jacinthtiller.Announcement, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last, h.count
}

// TestAnnounce guards against announcements that are late, incomplete, or not sent to a running host when the owner has
// gone.
func TestAnnounce(t *testing.T) {
	convey.Convey("Announcements go to the owner, and to the configured hosts after the owner has gone", t, func() {
		first, owner := newFakeHost(t), newFakeHost(t)
		first.owner = owner.URL
		s := startTarget(t, standin.Config{
			Name: "a", Database: "d", Domain: "z", GroupSize: 3, Announce: []string{"http://127.0.0.1:1", first.URL},
		})
		convey.So(eventually(func() bool { _, n := owner.lastAnnouncement(); return n > 1 }), convey.ShouldBeTrue)
		a, _ := owner.lastAnnouncement()
		convey.So(a, convey.ShouldResemble, jacinthtiller.Announcement{
			Database: "d", Target: "a", Address: s.Addr(), Domain: "z", GroupSize: 3, Position: "1/1", Term: 1,
			Role: jacinthtiller.RolePrimary, State: jacinthtiller.StateServing,
		})
		_, before := first.lastAnnouncement()
		owner.Close()
		first.mu.Lock()
		first.owner = ""
		first.mu.Unlock()
		convey.So(eventually(func() bool { _, n := first.lastAnnouncement(); return n > before }), convey.ShouldBeTrue)
		startTime := time.Now()
		s.SetState(jacinthtiller.StateLeaving)
		convey.So(eventually(func() bool { a, _ := first.lastAnnouncement(); return a.State == jacinthtiller.StateLeaving }), convey.ShouldBeTrue)
		convey.So(time.Since(startTime), convey.ShouldBeLessThan, 400*time.Millisecond)
		s.Partition()
		_, before = first.lastAnnouncement()
		time.Sleep(1300 * time.Millisecond)
		_, after := first.lastAnnouncement()
		convey.So(after, convey.ShouldBeLessThanOrEqualTo, before+1) // one may have been in flight
	})
	convey.Convey("A shutdown finishes the open transaction", t, func() {
		s := startTarget(t, standin.Config{Name: "a"})
		c := connect(t, s, "")
		convey.So(exec(c, "BEGIN; CREATE TABLE x (n int)"), convey.ShouldEqual, "CREATE TABLE")
		var wg conc.WaitGroup
		wg.Go(func() { _ = s.Shutdown(background) })
		time.Sleep(50 * time.Millisecond)
		convey.So(exec(c, "COMMIT"), convey.ShouldEqual, "COMMIT")
		wg.Wait()
		convey.So(s.Position().String(), convey.ShouldEqual, "1/2")
	})
}

// TestFaults guards against fault injection that does not act as the tests that use it expect.
func TestFaults(t *testing.T) {
	convey.Convey("A frozen target accepts connections and does not answer until it resumes", t, func() {
		s := startTarget(t, standin.Config{Name: "a"})
		c := connect(t, s, "")
		s.Freeze()
		n, err := net.Dial("tcp", s.Addr())
		convey.So(err, convey.ShouldBeNil)
		convey.So(n.Close(), convey.ShouldBeNil)
		time.AfterFunc(300*time.Millisecond, s.Resume)
		startTime := time.Now()
		convey.So(exec(c, "SELECT 1"), convey.ShouldEqual, "SELECT 1")
		convey.So(time.Since(startTime), convey.ShouldBeGreaterThan, 250*time.Millisecond)
		time.AfterFunc(50*time.Millisecond, s.Freeze) // during the statement
		time.AfterFunc(300*time.Millisecond, s.Resume)
		startTime = time.Now()
		convey.So(exec(c, "SELECT pg_sleep(0.1)"), convey.ShouldEqual, "SELECT 1")
		convey.So(time.Since(startTime), convey.ShouldBeGreaterThan, 250*time.Millisecond)
	})
	convey.Convey("A partition resets the connections of the named peers and no others", t, func() {
		s := startTarget(t, standin.Config{Name: "a"})
		c, d := connect(t, s, "&application_name=left"), connect(t, s, "&application_name=right")
		s.Partition("left")
		convey.So(exec(c, "SELECT 1"), convey.ShouldNotEqual, "SELECT 1")
		convey.So(exec(d, "SELECT 1"), convey.ShouldEqual, "SELECT 1")
		s.Heal()
		convey.So(exec(connect(t, s, "&application_name=left"), "SELECT 1"), convey.ShouldEqual, "SELECT 1")
	})
	convey.Convey("Statements that find no free slot are counted and wait", t, func() {
		s := startTarget(t, standin.Config{Name: "a", Slots: 2, ServiceTimeMicroseconds: 50_000})
		var wg conc.WaitGroup
		startTime := time.Now()
		for range 3 {
			c := connect(t, s, "")
			wg.Go(func() { exec(c, "SELECT 1") })
		}
		wg.Wait()
		convey.So([]int{s.MaxInFlight(), s.QueuedStatements()}, convey.ShouldResemble, []int{3, 1})
		convey.So(time.Since(startTime), convey.ShouldBeGreaterThan, 100*time.Millisecond)
	})
	convey.Convey("A second writer waits for the first up to the lock timeout and sees its rows", t, func() {
		s := startTarget(t, standin.Config{Name: "a", LockTimeoutMicroseconds: 100_000})
		c, d := connect(t, s, ""), connect(t, s, "")
		convey.So(exec(c, "CREATE TABLE w (n int); INSERT INTO w VALUES (0)"), convey.ShouldEqual, "INSERT 0 1")
		convey.So(exec(c, "BEGIN; UPDATE w SET n = n + 1"), convey.ShouldEqual, "UPDATE 1")
		convey.So(exec(d, "BEGIN; SELECT n FROM w"), convey.ShouldEqual, "SELECT 1")
		convey.So(exec(d, "UPDATE w SET n = n + 1"), convey.ShouldEqual, "40001")
		convey.So(exec(d, "ROLLBACK; BEGIN; SELECT n FROM w"), convey.ShouldEqual, "SELECT 1")
		convey.So(exec(c, "COMMIT"), convey.ShouldEqual, "COMMIT")
		convey.So(exec(d, "UPDATE w SET n = n + 1 WHERE n = 1"), convey.ShouldEqual, "UPDATE 1")
	})
	convey.Convey("Writers that occupy all slots do not block the transaction that holds the write lock", t, func() {
		s := startTarget(t, standin.Config{Name: "a", Slots: 2, LockTimeoutMicroseconds: 5_000_000})
		c, d, e := connect(t, s, ""), connect(t, s, ""), connect(t, s, "")
		convey.So(exec(c, "CREATE TABLE w (n int)"), convey.ShouldEqual, "CREATE TABLE")
		convey.So(exec(c, "BEGIN; INSERT INTO w VALUES (1)"), convey.ShouldEqual, "INSERT 0 1")
		var wg conc.WaitGroup
		tags := make([]string, 2)
		wg.Go(func() { tags[0] = exec(d, "INSERT INTO w VALUES (2)") })
		wg.Go(func() { tags[1] = exec(e, "INSERT INTO w VALUES (3)") })
		convey.So(eventually(func() bool { return s.MaxInFlight() == 2 }), convey.ShouldBeTrue)
		convey.So(exec(c, "INSERT INTO w VALUES (4)"), convey.ShouldEqual, "INSERT 0 1")
		convey.So(exec(c, "COMMIT"), convey.ShouldEqual, "COMMIT")
		wg.Wait()
		slices.Sort(tags)
		convey.So(tags, convey.ShouldResemble, []string{"40001", "INSERT 0 1"})
	})
	convey.Convey("A killed target leaves no goroutine running", t, func() {
		ignore := goleak.IgnoreCurrent()
		s := startTarget(t, standin.Config{Name: "a", Announce: []string{"http://127.0.0.1:1"}})
		c := connect(t, s, "")
		exec(c, "BEGIN; CREATE TABLE x (n int)")
		s.Freeze() // so that the COMMIT has arrived but not run
		var wg conc.WaitGroup
		tag := ""
		wg.Go(func() { tag = exec(c, "COMMIT") })
		time.Sleep(50 * time.Millisecond)
		s.Kill()
		wg.Wait()
		convey.So(tag, convey.ShouldNotEqual, "COMMIT")
		convey.So(s.Position().String(), convey.ShouldEqual, "1/1")
		convey.So(goleak.Find(ignore), convey.ShouldBeNil)
	})
}

// TestPositions guards against a read that sees data newer than the position reported after it, or older than a
// position known before it, on either role while writes go on.
func TestPositions(t *testing.T) {
	a := startTarget(t, standin.Config{Name: "a"})
	b := startTarget(t, standin.Config{Name: "b", Follow: a.Addr()})
	w := connect(t, a, "")
	if tag := exec(w, "CREATE TABLE r (n int)"); tag != "CREATE TABLE" { // entry 2; entry i+2 writes row i
		t.Fatal(tag)
	}
	var done atomic.Bool
	var wg conc.WaitGroup
	failures := make(chan string, 8)
	for _, s := range []*standin.Target{a, b, a, b} {
		c := connect(t, s, "&default_query_exec_mode=simple_protocol")
		wg.Go(func() {
			for s.Position().Index < 2 {
				time.Sleep(time.Millisecond)
			}
			for !done.Load() {
				before := s.Position().Index
				var rows uint64
				if err := c.QueryRow(background, "SELECT count(*) FROM r").Scan(&rows); err != nil {
					failures <- err.Error()
					return
				}
				p, err := jacinthtiller.ParsePosition(c.PgConn().ParameterStatus("log_position"))
				if err != nil || rows+2 > p.Index || rows+2 < before {
					failures <- fmt.Sprintf("%d rows between position %d and %s: %v", rows, before, p, err)
					return
				}
			}
		})
	}
	for i := range 500 {
		if tag := exec(w, "INSERT INTO r VALUES ("+strconv.Itoa(i)+")"); tag != "INSERT 0 1" {
			t.Error(tag)
			break
		}
	}
	done.Store(true)
	wg.Wait()
	select {
	case failure := <-failures:
		t.Error(failure)
	default:
	}
}

func BenchmarkSelect(b *testing.B) { benchmark(b, "SELECT n FROM bench WHERE n = 1") }

func BenchmarkInsert(b *testing.B) { benchmark(b, "INSERT INTO bench VALUES (1)") }

func benchmark(b *testing.B, sql string) {
	s, err := standin.Start(standin.Config{Name: "a"})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	c := connect(b, s, "")
	exec(c, "CREATE TABLE bench (n int)")
	for b.Loop() {
		if _, err := c.Exec(background, sql); err != nil {
			b.Fatal(err)
		}
	}
}
