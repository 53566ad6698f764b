package statement

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// fakeLimiter decides by a script and records the accounts that it was asked about, with the time that they may wait.
type fakeLimiter struct {
	mu sync.Mutex // guards the fields below
	// decide is nil to admit all operations.
	decide func(deadline time.Time) jacinthtiller.LimitDecision
	asked  []string
	// deadline is that of the last call.
	deadline time.Time
}

func (l *fakeLimiter) Admit(account string, deadline time.Time) jacinthtiller.LimitDecision {
	l.mu.Lock()
	l.asked, l.deadline = append(l.asked, account), deadline
	decide := l.decide
	l.mu.Unlock()
	if decide == nil {
		return jacinthtiller.LimitDecision{Admitted: true}
	}
	return decide(deadline)
}

// script sets the decisions and forgets earlier calls.
func (l *fakeLimiter) script(decide func(deadline time.Time) jacinthtiller.LimitDecision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decide, l.asked = decide, nil
}

// tokens returns the accounts that it was asked about, one for each operation.
func (l *fakeLimiter) tokens() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.asked)
}

func (g *accountGuest) advice() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryAfterMilliseconds
}

// TestTokens guards against operations that take no token or more than one.
func TestTokens(t *testing.T) {
	cases := map[string]struct {
		texts  []string
		tokens int
		// answer is that of the last text.
		answer string
	}{
		"a read":                              {[]string{"READ 1"}, 1, "passed I"},
		"a write":                             {[]string{"WRITE 1 x"}, 1, "passed I"},
		"a prepared statement":                {[]string{"PREPARE s q", "EXECUTE s 1"}, 1, "passed I"},
		"a statement that is not prepared":    {[]string{"EXECUTE s 1"}, 0, "no-statement I"},
		"session values":                      {[]string{"SET a 1", "PREPARE s q", "DEALLOCATE s"}, 0, "done I"},
		"a transaction":                       {[]string{"BEGIN", "READ 1", "SET a 1", "WRITE 1 x", "COMMIT"}, 1, "passed I"},
		"a read-only transaction":             {[]string{"BEGIN READ", "READ 1", "COMMIT"}, 1, "passed I"},
		"a transaction that is rolled back":   {[]string{"BEGIN", "READ 1", "ROLLBACK"}, 1, "done I"},
		"an empty transaction":                {[]string{"BEGIN", "COMMIT"}, 1, "passed I"},
		"a transaction in a transaction":      {[]string{"BEGIN", "BEGIN"}, 1, "malformed T"},
		"a commit outside a transaction":      {[]string{"COMMIT"}, 0, "malformed I"},
		"a transaction and a statement after": {[]string{"BEGIN", "READ 1", "COMMIT", "READ 1"}, 2, "passed I"},
	}
	for name, c := range cases {
		convey.Convey("The tokens of "+name, t, func() {
			l := &fakeLimiter{}
			ts := newTestServer(t, WithLimiter(l))
			defer ts.close()
			ts.setKeys(map[string][]string{"acme": {"k-acme"}})
			g := ts.accountGuest(primaryRoute, "k-acme")
			defer g.leave()
			convey.So(<-g.answers, convey.ShouldEqual, "welcome I")
			var answer string
			for _, text := range c.texts {
				answer = g.ask(text)
			}
			convey.So(answer, convey.ShouldEqual, c.answer)
			tokens := l.tokens()
			convey.So(tokens, convey.ShouldHaveLength, c.tokens)
			for _, account := range tokens {
				convey.So(account, convey.ShouldEqual, "acme")
			}
		})
	}
	convey.Convey("A statement that is sent again takes no further token", t, func() {
		l := &fakeLimiter{}
		ts := newTestServer(t, WithLimiter(l))
		defer ts.close()
		ts.setKeys(map[string][]string{"acme": {"k-acme"}})
		refusals := 3
		ts.group.set(func() {
			ts.group.script = func(_ string, o jacinthtiller.TargetRequest) (jacinthtiller.Reply, error) {
				if o.ID == "x" && refusals > 0 {
					refusals--
					return fail(jacinthtiller.ErrorCodeBusy)
				}
				return success(10)
			}
		})
		g := ts.accountGuest(primaryRoute, "k-acme")
		defer g.leave()
		convey.So(<-g.answers, convey.ShouldEqual, "welcome I")
		convey.So(g.ask("WRITE 1 x"), convey.ShouldEqual, "passed I")
		convey.So(l.tokens(), convey.ShouldHaveLength, 1)
		convey.So(refusals, convey.ShouldEqual, 0)
	})
	convey.Convey("Guests without an account need no token", t, func() {
		l := &fakeLimiter{}
		ts := newTestServer(t, WithLimiter(l))
		defer ts.close()
		convey.Convey("in an edition without accounts", func() {})
		convey.Convey("on a public route", func() { ts.setKeys(map[string][]string{"acme": {"k-acme"}}) })
		route := primaryRoute
		if ts.view.Edition.RequiresKeys {
			route = publicRoute
		}
		g := ts.accountGuest(route, "someone")
		defer g.leave()
		convey.So(<-g.answers, convey.ShouldEqual, "welcome I")
		convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
		convey.So(l.tokens(), convey.ShouldBeEmpty)
	})
}

// TestRefusedByLimit guards against refused operations that reach a target, leave a transaction open, come without the time to
// retry, or look like overload of the database, which would change its primary.
func TestRefusedByLimit(t *testing.T) {
	cases := map[string]struct {
		text      string
		exhausted bool
		cause     failureCause
	}{
		"a read":                      {"READ 1", true, causeLimit},
		"a write":                     {"WRITE 1 x", true, causeLimit},
		"a prepared statement":        {"EXECUTE s 1", true, causeLimit},
		"a transaction":               {"BEGIN", true, causeLimit},
		"a read-only transaction":     {"BEGIN READ", true, causeLimit},
		"a read without an answer":    {"READ 1", false, causeLimitUnknown},
		"a transaction, no answer":    {"BEGIN", false, causeLimitUnknown},
		"a write of an unknown limit": {"WRITE 1 x", false, causeLimitUnknown},
	}
	for name, c := range cases {
		var answer, next, texts string
		var advice int64
		var counts requestCounts
		var log []string
		var took time.Duration
		var trace bytes.Buffer
		synctest.Test(t, func(t *testing.T) {
			l := &fakeLimiter{}
			ts := newTestServer(t, WithLimiter(l), WithEvents(event.New("h0", nil, event.WithTrace(&trace))))
			ts.lease(time.Hour)
			ts.setKeys(map[string][]string{"acme": {"k-acme"}})
			g := ts.accountGuest(primaryRoute, "k-acme")
			<-g.answers
			g.ask("PREPARE s q")
			time.Sleep(time.Second) // the host's own queries end
			ts.group.log()
			ts.server.takeCounts()
			l.script(func(time.Time) jacinthtiller.LimitDecision {
				return jacinthtiller.LimitDecision{
					Exhausted: c.exhausted, RetryAt: time.Now().Add(1234*time.Millisecond + time.Microsecond),
					Limit: jacinthtiller.RateLimit{PerSecond: 7, Burst: 3}, KnownAt: time.Now().Add(-90 * time.Millisecond),
				}
			})
			began := time.Now()
			answer = g.ask(c.text)
			took = time.Since(began)
			advice, texts = g.advice(), g.errorTexts()
			log = ts.group.log()
			counts = ts.server.takeCounts()["db"]
			l.script(nil)
			next = g.ask("READ 1")
			g.leave()
			ts.close()
		})
		convey.Convey("The limit refuses "+name, t, func() {
			convey.So(answer, convey.ShouldEqual, "busy I")
			convey.So(texts, convey.ShouldStartWith, "not run: ")
			convey.So(advice, convey.ShouldEqual, 1235)
			convey.So(took, convey.ShouldBeZeroValue)
			convey.So(log, convey.ShouldBeEmpty)
			convey.So(counts, convey.ShouldResemble, requestCounts{})
			convey.So(next, convey.ShouldEqual, "passed I")
			lines := eventsNamed(bytes.NewBuffer(trace.Bytes()), event.OperationRefused.Name)
			convey.So(lines, convey.ShouldHaveLength, 1)
			for field, want := range map[string]any{
				"request": "x", "account": "acme", "cause": string(c.cause), "limit-per-second": 7.0, "limit-burst": 3.0,
				"age-milliseconds": 90.0, "retry-after-milliseconds": 1235.0,
			} {
				convey.So(lines[0][field], convey.ShouldEqual, want)
			}
			failed := eventsNamed(bytes.NewBuffer(trace.Bytes()), event.StatementFailed.Name)
			convey.So(failed, convey.ShouldHaveLength, 1)
			convey.So(failed[0]["cause"], convey.ShouldEqual, string(c.cause))
			convey.So(failed[0]["guest"], convey.ShouldEqual, "acme")
		})
	}
}

// TestWaitForToken guards against a wait for tokens that lasts until the guest gives up, and against requests that get more time
// because they waited.
func TestWaitForToken(t *testing.T) {
	const timeoutMilliseconds = 400 // of the routes of newTestServer
	cases := map[string]struct {
		text             string
		waitMilliseconds int64
		// silent is true if the target does not answer.
		silent              bool
		answer              string
		tookMilliseconds    int64
		admitByMilliseconds int64
	}{
		"a read is admitted after a wait":     {"READ 1", 100, false, "passed I", 100, 180},
		"a write is admitted after a wait":    {"WRITE 1 x", 100, false, "passed I", 100, 180},
		"a transaction after a wait":          {"BEGIN", 100, false, "done T", 100, 180},
		"a write whose target is then silent": {"WRITE 1 x", 100, true, "unknown I", timeoutMilliseconds, 180},
		"a read that gets no token":           {"READ 1", 5000, false, "busy I", 180, 180},
		"a transaction that gets no token":    {"BEGIN", 5000, false, "busy I", 180, 180},
	}
	for name, c := range cases {
		var answer string
		var took, admitWithin time.Duration
		synctest.Test(t, func(t *testing.T) {
			l := &fakeLimiter{}
			ts := newTestServer(t, WithLimiter(l))
			ts.lease(time.Hour)
			ts.setKeys(map[string][]string{"acme": {"k-acme"}})
			g := ts.accountGuest(primaryRoute, "k-acme")
			<-g.answers
			time.Sleep(time.Second)
			l.script(func(deadline time.Time) jacinthtiller.LimitDecision {
				ready := time.Now().Add(time.Duration(c.waitMilliseconds) * time.Millisecond)
				if ready.After(deadline) {
					time.Sleep(time.Until(deadline))
					return jacinthtiller.LimitDecision{RetryAt: time.Now().Add(time.Second)}
				}
				time.Sleep(time.Until(ready))
				return jacinthtiller.LimitDecision{Admitted: true}
			})
			ts.group.set(func() {
				ts.group.receive = func(o jacinthtiller.TargetRequest, deadline time.Time) error {
					if o.ID != "x" || !c.silent {
						return nil
					}
					time.Sleep(time.Until(deadline))
					return errConnReset
				}
			})
			began := time.Now()
			answer = g.ask(c.text)
			took, admitWithin = time.Since(began), l.deadline.Sub(began)
			g.leave()
			ts.close()
		})
		convey.Convey("When the limiter lets operations wait: "+name, t, func() {
			convey.So(answer, convey.ShouldEqual, c.answer)
			convey.So(took.Milliseconds(), convey.ShouldEqual, c.tookMilliseconds)
			convey.So(admitWithin.Milliseconds(), convey.ShouldEqual, c.admitByMilliseconds)
		})
	}
}

// TestAccountLabels guards against metrics whose series grow with the number of accounts.
func TestAccountLabels(t *testing.T) {
	convey.Convey("The first accounts have labels of their own, all others share one", t, func() {
		l := &accountLabels{names: map[string]bool{}}
		seen := map[string]int{}
		for round := range 2 {
			for i := range 10 * maxAccountLabels {
				seen[l.label("account-"+strings.Repeat("x", i))]++
			}
			convey.So(seen, convey.ShouldHaveLength, maxAccountLabels+1)
			convey.So(seen[otherAccounts], convey.ShouldEqual, (round+1)*9*maxAccountLabels)
		}
	})
}
