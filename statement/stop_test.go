package statement

import (
	"context"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestStopSteps guards against requests that a stopping host takes and then cuts off, and against work that it refuses although
// there is time for it.
func TestStopSteps(t *testing.T) {
	past, future := time.Now().Add(-time.Minute), time.Now().Add(time.Minute)
	steps := map[string]StopTimes{
		"notice":     {CloseIdle: future, Refuse: future, Answer: future},
		"close idle": {CloseIdle: past, Refuse: future, Answer: future},
		"refuse":     {CloseIdle: past, Refuse: past, Answer: future},
	}
	cases := map[string]struct {
		// before is sent before the stop begins, and text in each step.
		before, text string
		// want holds the answer in each step.
		want map[string]string
		// stays holds the steps after which the session is still open.
		stays map[string]bool
	}{
		"a read": {
			text:  "READ 1",
			want:  map[string]string{"notice": "passed I", "close idle": "passed I", "refuse": "busy I"},
			stays: map[string]bool{"notice": true, "close idle": true},
		},
		"a write": {
			text:  "WRITE 1 x",
			want:  map[string]string{"notice": "passed I", "close idle": "passed I", "refuse": "busy I"},
			stays: map[string]bool{"notice": true, "close idle": true},
		},
		"a value": {
			text:  "SET a 1",
			want:  map[string]string{"notice": "done I", "close idle": "done I", "refuse": "busy I"},
			stays: map[string]bool{"notice": true, "close idle": true},
		},
		"a prepared statement": {
			text:  "PREPARE s w",
			want:  map[string]string{"notice": "done I", "close idle": "done I", "refuse": "busy I"},
			stays: map[string]bool{"notice": true, "close idle": true},
		},
		"the end of a prepared statement": {
			text:  "DEALLOCATE s",
			want:  map[string]string{"notice": "done I", "close idle": "done I", "refuse": "busy I"},
			stays: map[string]bool{"notice": true, "close idle": true},
		},
		"a malformed request": {
			text:  "NONSENSE",
			want:  map[string]string{"notice": "malformed I", "close idle": "malformed I", "refuse": "busy I"},
			stays: map[string]bool{"notice": true, "close idle": true},
		},
		"a value in an open transaction": {
			before: "BEGIN", text: "SET a 1",
			want:  map[string]string{"notice": "done T", "close idle": "done T", "refuse": "aborted E"},
			stays: map[string]bool{"notice": true, "close idle": true, "refuse": true},
		},
		"the begin of a transaction": {
			text:  "BEGIN",
			want:  map[string]string{"notice": "done T", "close idle": "busy I", "refuse": "busy I"},
			stays: map[string]bool{"notice": true, "close idle": true},
		},
		"a statement of an open transaction": {
			before: "BEGIN", text: "WRITE 1 x",
			want:  map[string]string{"notice": "passed T", "close idle": "passed T", "refuse": "aborted E"},
			stays: map[string]bool{"notice": true, "close idle": true, "refuse": true},
		},
		"the commit of an open transaction": {
			before: "BEGIN", text: "COMMIT",
			want:  map[string]string{"notice": "passed I", "close idle": "passed I", "refuse": "passed I"},
			stays: map[string]bool{"notice": true, "close idle": true, "refuse": true},
		},
	}
	convey.Convey("In each step of a stop", t, func() {
		for name, c := range cases {
			for step, times := range steps {
				convey.Convey(name+" in step "+step, func() {
					ts := newTestServer(t)
					defer ts.close()
					g := ts.guest(jacinthtiller.ClassPrimary)
					if c.before != "" {
						g.ask(c.before)
					}
					ts.server.stopTimes.Store(&times)
					convey.So(g.ask(c.text), convey.ShouldEqual, c.want[step])
					if c.stays[step] {
						convey.So(g.ask("SET b 1"), convey.ShouldNotBeEmpty)
						g.leave()
					}
					_, more := <-g.answers
					convey.So(more, convey.ShouldBeFalse)
				})
			}
		}
	})
}

// TestStopAnswersAll guards against requests that a host takes shortly before or during its stop and gives up without an answer,
// because their targets answer too late.
func TestStopAnswersAll(t *testing.T) {
	cases := map[string]struct {
		before []string
		text   string
		// timeoutMilliseconds is the route's timeout, and askAtMilliseconds when the request is sent after the stop has begun.
		timeoutMilliseconds, askAtMilliseconds int64
		want                                   string
	}{
		"a read, taken before the stop":           {text: "READ slow", timeoutMilliseconds: 60_000, askAtMilliseconds: -1000, want: "timeout I"},
		"a read, taken late in the first half":    {text: "READ slow", timeoutMilliseconds: 4000, askAtMilliseconds: 2100, want: "timeout I"},
		"a write, taken before the stop":          {text: "WRITE slow", timeoutMilliseconds: 60_000, askAtMilliseconds: -1000, want: "unknown I"},
		"a write, taken late in the first half":   {text: "WRITE slow", timeoutMilliseconds: 4000, askAtMilliseconds: 2100, want: "unknown I"},
		"a statement of a transaction":            {before: []string{"BEGIN"}, text: "READ slow", timeoutMilliseconds: 60_000, askAtMilliseconds: 100, want: "aborted E"},
		"a commit":                                {before: []string{"BEGIN", "WRITE 1 x"}, text: "COMMIT", timeoutMilliseconds: 60_000, askAtMilliseconds: 100, want: "unknown I"},
		"a read whose route's time is over first": {text: "READ slow", timeoutMilliseconds: 1000, askAtMilliseconds: 100, want: "timeout I"},
	}
	convey.Convey("A target that does not answer until the stop is over, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var answer string
				var answeredMilliseconds int64
				var drainErr error
				synctest.Test(t, func(t *testing.T) {
					ts := newTestServer(t)
					defer ts.close()
					for n, r := range ts.view.Edition.Routes {
						r.StatementMilliseconds = c.timeoutMilliseconds
						ts.view.Edition.Routes[n] = r
					}
					ts.lease(time.Hour)
					ts.group.set(func() {
						ts.group.receive = func(o jacinthtiller.TargetRequest, deadline time.Time) error {
							if strings.HasSuffix(o.Text, "slow") || o.Text == "COMMIT" {
								time.Sleep(time.Until(deadline))
								return os.ErrDeadlineExceeded
							}
							return nil
						}
					})
					g := ts.guest(jacinthtiller.ClassPrimary)
					for _, x := range c.before {
						g.ask(x)
					}
					var group conc.WaitGroup
					began := time.Now().Add(time.Second)
					group.Go(func() {
						time.Sleep(time.Until(began.Add(time.Duration(c.askAtMilliseconds) * time.Millisecond)))
						answer = g.ask(c.text)
						answeredMilliseconds = time.Since(began).Milliseconds()
					})
					time.Sleep(time.Until(began))
					ctx, cancel := context.WithDeadline(context.Background(), began.Add(5400*time.Millisecond))
					drainErr = ts.server.Drain(ctx, StopTimes{
						CloseIdle: began.Add(2200 * time.Millisecond), Refuse: began.Add(3 * time.Second), Answer: began.Add(5160 * time.Millisecond),
					})
					cancel()
					group.Wait()
				})
				convey.So(answer, convey.ShouldEqual, c.want)
				convey.So(answeredMilliseconds, convey.ShouldBeLessThanOrEqualTo, 5200)
				convey.So(drainErr, convey.ShouldBeNil)
			})
		}
	})
}

// TestStopKeepsActiveSessions guards against requests that reach a session in the moment in which the stop closes it: a guest
// sends its first request as soon as it is accepted, and the next one soon after an answer.
func TestStopKeepsActiveSessions(t *testing.T) {
	// onTheWay is how long a request is on its way after the guest got READY: a round trip to a distant guest.
	const onTheWay = 30 * time.Millisecond
	cases := map[string]struct {
		before []string
		// restMilliseconds is how long the guest pauses before the stop looks at its session.
		restMilliseconds int64
		closed           bool
	}{
		"a guest that was just accepted":       {},
		"a guest that has just been answered":  {before: []string{"READ 1"}},
		"a guest that has just set a value":    {before: []string{"SET a 1"}},
		"a guest that has been quiet":          {restMilliseconds: 1000, closed: true},
		"a guest that was answered and rested": {before: []string{"READ 1"}, restMilliseconds: 1000, closed: true},
	}
	convey.Convey("A stop that closes idle sessions, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var closed bool
				synctest.Test(t, func(t *testing.T) {
					ts := newTestServer(t)
					defer ts.close()
					g := ts.guest(jacinthtiller.ClassPrimary)
					for _, x := range c.before {
						g.ask(x)
					}
					time.Sleep(time.Duration(c.restMilliseconds) * time.Millisecond)
					now := time.Now()
					ctx, cancel := context.WithCancel(context.Background())
					var group conc.WaitGroup
					group.Go(func() {
						_ = ts.server.Drain(ctx, StopTimes{CloseIdle: now, Refuse: now.Add(time.Minute), Answer: now.Add(time.Minute)})
					})
					time.Sleep(onTheWay)
					synctest.Wait()
					select {
					case _, open := <-g.answers:
						closed = !open
					default:
						g.leave()
					}
					cancel()
					group.Wait()
				})
				convey.So(closed, convey.ShouldEqual, c.closed)
			})
		}
	})
}

// testStop is a stop of 6 s that begins now, and the end of its drain.
func testStop() (t StopTimes, end time.Time) {
	now := time.Now()
	return StopTimes{
		CloseIdle: now.Add(2200 * time.Millisecond), Refuse: now.Add(3 * time.Second), Answer: now.Add(5160 * time.Millisecond),
	}, now.Add(5400 * time.Millisecond)
}

// silenceTargets has no target answer any more, and gives requests a minute.
func (ts *testServer) silenceTargets() {
	for n, r := range ts.view.Edition.Routes {
		r.StatementMilliseconds = 60_000
		ts.view.Edition.Routes[n] = r
	}
	ts.group.set(func() {
		ts.group.receive = func(_ jacinthtiller.TargetRequest, deadline time.Time) error {
			time.Sleep(time.Until(deadline))
			return os.ErrDeadlineExceeded
		}
	})
}

// TestStopEndsBusySessions guards against sessions that last to the end of a stop, which cuts off what they ask for then, because their guests
// ask again at once for something that the host answers without a target.
func TestStopEndsBusySessions(t *testing.T) {
	// onTheWay is how long a request is on its way after the guest got the answer before it.
	const onTheWay = time.Millisecond
	cases := map[string]struct {
		before []string
		// texts are sent in turn until one is answered with busy or aborted.
		texts []string
		// cut is the number of requests that may be on their way when the session closes.
		cut int
	}{
		"values":                            {texts: []string{"SET a 1"}},
		"prepared statements":               {texts: []string{"PREPARE s w", "DEALLOCATE s"}},
		"malformed requests":                {texts: []string{"NONSENSE"}},
		"values in a transaction":           {before: []string{"BEGIN", "WRITE 1 x"}, texts: []string{"SET a 1"}},
		"a second begin in a transaction":   {before: []string{"BEGIN", "WRITE 1 x"}, texts: []string{"BEGIN"}},
		"transactions, one after the other": {texts: []string{"BEGIN", "SET a 1", "WRITE 1 x", "ROLLBACK"}},
		// A guest that does not end a failed transaction gets no other answer until it is disconnected.
		"statements in a failed one": {before: []string{"BEGIN", "EXECUTE missing 1"}, texts: []string{"READ 1"}, cut: 1},
	}
	convey.Convey("Guests that ask again at once while their host stops, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var unanswered, cut int
				var drainErr error
				synctest.Test(t, func(t *testing.T) {
					ts := newTestServer(t)
					defer ts.close()
					ts.lease(time.Hour)
					g := ts.guest(jacinthtiller.ClassPrimary)
					for _, x := range c.before {
						g.ask(x)
					}
					var group conc.WaitGroup
					group.Go(func() {
						for i := 0; ; i++ {
							time.Sleep(onTheWay)
							switch answer, open := g.askIfOpen(c.texts[i%len(c.texts)]); {
							case !open:
								cut++
								return
							case answer == "":
								unanswered++
								return
							case strings.HasPrefix(answer, "busy"), strings.HasPrefix(answer, "aborted"):
								g.leave()
								return
							}
						}
					})
					times, end := testStop()
					ctx, cancel := context.WithDeadline(context.Background(), end)
					drainErr = ts.server.Drain(ctx, times)
					cancel()
					ts.server.Close()
					group.Wait()
				})
				convey.So(drainErr, convey.ShouldBeNil)
				convey.So(unanswered, convey.ShouldEqual, 0)
				convey.So(cut, convey.ShouldBeLessThanOrEqualTo, c.cut)
			})
		}
	})
}

// TestLateStopAnswersAll guards against requests that a stop cuts off because its last step begins late, on a busy or suspended machine: when both
// that step and the end of the drain were overdue, the end could come first.
func TestLateStopAnswersAll(t *testing.T) {
	convey.Convey("A stop whose last step and end are both overdue, in virtual time", t, func() {
		for range 30 {
			var answer string
			var finishErr error
			synctest.Test(t, func(t *testing.T) {
				ts := newTestServer(t)
				defer ts.close()
				ts.lease(time.Hour)
				ts.silenceTargets()
				g := ts.guest(jacinthtiller.ClassPrimary)
				var group conc.WaitGroup
				group.Go(func() { answer = g.ask("READ 1") })
				synctest.Wait()
				past := time.Now().Add(-time.Second)
				ctx, cancel := context.WithDeadline(context.Background(), past)
				_ = ts.server.Drain(ctx, StopTimes{CloseIdle: past, Refuse: past, Answer: past})
				cancel()
				ctx, cancel = context.WithTimeout(context.Background(), 100*time.Millisecond)
				finishErr = ts.server.FinishAnswers(ctx)
				cancel()
				ts.server.Close()
				group.Wait()
			})
			convey.So(answer, convey.ShouldEqual, "timeout I")
			convey.So(finishErr, convey.ShouldBeNil)
		}
	})
}

// slowGuest is a guest that has not taken a target's answer before a time.
type slowGuest struct {
	*fakeGuest
	until time.Time
}

func (g *slowGuest) ForwardReply(r jacinthtiller.Reply, state byte) error {
	select {
	case <-time.After(time.Until(g.until)):
		return g.fakeGuest.ForwardReply(r, state)
	case <-g.closed:
		return net.ErrClosed
	}
}

// TestStopFinishesAnswers guards against answers that are cut off in the middle because their guests still read them when the drain ends,
// although the process has time left; and against a stop that waits without limit for a guest that does not read.
func TestStopFinishesAnswers(t *testing.T) {
	cases := map[string]struct {
		// readMilliseconds is when the guest has read its answer, after the stop has begun.
		readMilliseconds int64
		want             string
	}{
		"read before the end of the drain":    {readMilliseconds: 5300, want: "passed I"},
		"read after the end of the drain":     {readMilliseconds: 5600, want: "passed I"},
		"not read before the end of the stop": {readMilliseconds: 60_000},
	}
	convey.Convey("A guest that reads its answer slowly while the host stops, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var answer string
				var finishErr error
				synctest.Test(t, func(t *testing.T) {
					ts := newTestServer(t)
					defer ts.close()
					ts.lease(time.Hour)
					times, end := testStop()
					limit := end.Add(360 * time.Millisecond)
					g := &slowGuest{
						fakeGuest: newFakeGuest(jacinthtiller.ClassPrimary), until: time.Now().Add(time.Duration(c.readMilliseconds) * time.Millisecond),
					}
					ts.serve(g)
					<-g.answers
					var group conc.WaitGroup
					group.Go(func() { answer = g.ask("READ 1") })
					ctx, cancel := context.WithDeadline(context.Background(), end)
					_ = ts.server.Drain(ctx, times)
					cancel()
					ctx, cancel = context.WithDeadline(context.Background(), limit)
					finishErr = ts.server.FinishAnswers(ctx)
					cancel()
					ts.server.Close()
					group.Wait()
				})
				convey.So(answer, convey.ShouldEqual, c.want)
				convey.So(finishErr == nil, convey.ShouldEqual, c.want != "")
			})
		}
	})
}

// TestStopRejectsWaitingStartups guards against startups that are cut off without an answer because they wait for a route, which a host that has just
// started does not know yet, for longer than its stop takes.
func TestStopRejectsWaitingStartups(t *testing.T) {
	convey.Convey("A guest waits for a route while its host, which has a short time to stop, stops, in virtual time", t, func() {
		var answer string
		var took time.Duration
		synctest.Test(t, func(t *testing.T) {
			ts := newTestServer(t)
			defer ts.close()
			ts.lease(-time.Second)
			ts.guest(jacinthtiller.ClassPrimary).ask("BEGIN") // without a session the drain ends at once
			began := time.Now()
			var group conc.WaitGroup
			group.Go(func() {
				_ = ts.server.Drain(context.Background(), StopTimes{
					CloseIdle: began.Add(500 * time.Millisecond), Refuse: began.Add(time.Second), Answer: began.Add(1720 * time.Millisecond),
				})
			})
			time.Sleep(900 * time.Millisecond)
			g := ts.connect("a route that the host does not know yet")
			answer = <-g.answers
			took = time.Since(began)
			group.Wait()
		})
		convey.So(answer, convey.ShouldEqual, "refused busy -")
		convey.So(took, convey.ShouldBeLessThan, 1200*time.Millisecond)
	})
}

// waitingGuest is a guest that is slow to close its connection.
type waitingGuest struct{ *fakeGuest }

func (g waitingGuest) Close() error {
	time.Sleep(400 * time.Millisecond)
	return g.fakeGuest.Close()
}

// TestStopIgnoresEndedSessions guards against a host that reports a failed stop although everybody has an answer, because guests are slow to close
// their connections after the last one, also those that connect again and again and whose startups are rejected.
func TestStopIgnoresEndedSessions(t *testing.T) {
	cases := map[string]struct {
		// askAtMilliseconds is when the guest's request, which its target does not answer, is sent after the stop has begun.
		askAtMilliseconds int64
		reconnects        bool
	}{
		"a request taken before the stop": {askAtMilliseconds: -100},
		"a request taken during the stop": {askAtMilliseconds: 1000},
		"guests that are rejected again":  {askAtMilliseconds: 1000, reconnects: true},
	}
	convey.Convey("A stop with guests that are slow to close their connections, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var answer string
				var drainErr error
				synctest.Test(t, func(t *testing.T) {
					ts := newTestServer(t)
					defer ts.close()
					ts.lease(time.Hour)
					ts.silenceTargets()
					first := waitingGuest{newFakeGuest(jacinthtiller.ClassPrimary)}
					ts.serve(first)
					<-first.answers
					began := time.Now().Add(time.Second)
					var group conc.WaitGroup
					group.Go(func() {
						time.Sleep(time.Until(began.Add(time.Duration(c.askAtMilliseconds) * time.Millisecond)))
						answer = first.ask("READ 1")
					})
					time.Sleep(time.Until(began))
					times, end := testStop()
					group.Go(func() {
						time.Sleep(time.Until(times.Refuse))
						for c.reconnects && time.Now().Before(end) {
							time.Sleep(70 * time.Millisecond)
							ts.serve(waitingGuest{newFakeGuest(jacinthtiller.ClassPrimary)})
						}
					})
					ctx, cancel := context.WithDeadline(context.Background(), end)
					drainErr = ts.server.Drain(ctx, times)
					cancel()
					group.Wait()
					ts.server.Close()
				})
				convey.So(answer, convey.ShouldEqual, "timeout I")
				convey.So(drainErr, convey.ShouldBeNil)
			})
		}
	})
}
