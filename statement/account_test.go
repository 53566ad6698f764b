package statement

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// accountGuest is a guest that sends a key at startup. It records the texts of its errors and the advice when to retry.
type accountGuest struct {
	*fakeGuest
	key string

	mu sync.Mutex // guards the fields below
	// texts holds the texts of all errors.
	texts []string
	// retryAfterMilliseconds is the advice of the last error.
	retryAfterMilliseconds int64
}

func (g *accountGuest) ReadStartup() (string, string, error) { return g.route, g.key, nil }

func (g *accountGuest) ReplyError(code jacinthtiller.ErrorCode, text string, retryAfterMilliseconds int64, state byte) error {
	g.record(text, retryAfterMilliseconds)
	return g.fakeGuest.ReplyError(code, text, retryAfterMilliseconds, state)
}

func (g *accountGuest) RejectStartup(code jacinthtiller.ErrorCode, text string) error {
	g.record(text, 0)
	return g.fakeGuest.RejectStartup(code, text)
}

func (g *accountGuest) record(text string, retryAfterMilliseconds int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.texts, g.retryAfterMilliseconds = append(g.texts, text), retryAfterMilliseconds
}

const (
	publicRoute  = jacinthtiller.ReadClass("public")
	primaryRoute = jacinthtiller.ClassPrimary
)

// setKeys applies an edition that requires keys and has the accounts with the given keys, and a public route.
func (ts *testServer) setKeys(accounts map[string][]string) {
	ts.setEdition(ts.editionWithKeys(accounts))
}

func (ts *testServer) editionWithKeys(accounts map[string][]string) jacinthtiller.Edition {
	e := *ts.view.Edition
	e.Number++
	e.RequiresKeys, e.Accounts, e.Routes = true, map[string]jacinthtiller.Account{}, maps.Clone(e.Routes)
	public := e.Routes[string(primaryRoute)]
	public.Name, public.Public = string(publicRoute), true
	e.Routes[public.Name] = public
	for name, keys := range accounts {
		a := jacinthtiller.Account{Name: name}
		for _, k := range keys {
			a.KeyDigests = append(a.KeyDigests, jacinthtiller.DigestKey(k))
		}
		e.Accounts[name] = a
	}
	return e
}

func (ts *testServer) setEdition(e jacinthtiller.Edition) {
	ts.view.Index++
	ts.view.Edition = &e
	ts.server.Apply(ts.view)
}

// accountGuest connects a guest with a key, whose startup has no answer yet.
func (ts *testServer) accountGuest(route jacinthtiller.ReadClass, key string) *accountGuest {
	g := &accountGuest{fakeGuest: newFakeGuest(route), key: key}
	ts.serve(g)
	return g
}

// job returns the job of a request of the only session, which must be idle.
func (ts *testServer) job() jacinthtiller.Job {
	ts.server.mu.Lock()
	defer ts.server.mu.Unlock()
	for n := range ts.server.sessions {
		return n.newJob(&request{}, jacinthtiller.Position{})
	}
	ts.t.Fatal("there is no session")
	return jacinthtiller.Job{}
}

// TestKeyAtStartup guards against guests without a valid key that are served or reach a target, and against guests with a valid key
// that are refused because the host lacks the latest configuration.
func TestKeyAtStartup(t *testing.T) {
	accounts := map[string][]string{"acme": {"k-acme", "k-acme-2"}, "keyless": nil}
	cases := map[string]struct {
		route jacinthtiller.ReadClass
		key   string
		// before runs before the guest connects, and later 300 ms after it.
		before, later func(ts *testServer)
		answer        string
		account       string
		// minWaitMilliseconds and maxWaitMilliseconds bound the time until the answer.
		minWaitMilliseconds, maxWaitMilliseconds int64
	}{
		"a known key":                       {primaryRoute, "k-acme", nil, nil, "welcome I", "acme", 0, 50},
		"another key of the account":        {primaryRoute, "k-acme-2", nil, nil, "welcome I", "acme", 0, 50},
		"an unknown key":                    {primaryRoute, "k-other", nil, nil, "refused no-account -", "", 0, 50},
		"the name of an account":            {primaryRoute, "acme", nil, nil, "refused no-account -", "", 0, 50},
		"no key":                            {primaryRoute, "", nil, nil, "refused no-account -", "", 0, 50},
		"an unknown route":                  {"nowhere", "k-acme", nil, nil, "refused no-route -", "", 0, 50},
		"a known key, public route":         {publicRoute, "k-acme", nil, nil, "welcome I", "acme", 0, 50},
		"an unknown key, public route":      {publicRoute, "k-other", nil, nil, "welcome I", "", 0, 50},
		"no key, public route":              {publicRoute, "", nil, nil, "welcome I", "", 0, 50},
		"an edition without any account":    {primaryRoute, "k-acme", func(ts *testServer) { ts.setKeys(nil) }, nil, "refused no-account -", "", 0, 50},
		"a known key, no lease":             {primaryRoute, "k-acme", func(ts *testServer) { ts.lease(-1) }, nil, "welcome I", "acme", 0, 50},
		"an unknown key, no lease":          {primaryRoute, "k-other", func(ts *testServer) { ts.lease(-1) }, nil, "refused busy -", "", 1650, 1800},
		"an unknown key, lease comes later": {primaryRoute, "k-other", func(ts *testServer) { ts.lease(-1) }, func(ts *testServer) { ts.lease(time.Hour) }, "refused no-account -", "", 1250, 1400},
		"a key is added, no lease": {primaryRoute, "k-new", func(ts *testServer) { ts.lease(-1) }, func(ts *testServer) {
			ts.setKeys(map[string][]string{"new": {"k-new"}})
		}, "welcome I", "new", 250, 400},
		"a key is added, after the lease has come": {primaryRoute, "k-new", func(ts *testServer) {
			ts.lease(-1)
			ts.lease(time.Hour) // a reconnected host gets its lease before the views that it missed
		}, func(ts *testServer) { ts.setKeys(map[string][]string{"new": {"k-new"}}) }, "welcome I", "new", 250, 400},
		"no edition":                   {primaryRoute, "k-acme", func(ts *testServer) { ts.server.Apply(jacinthtiller.View{}) }, nil, "refused busy -", "", 1650, 1800},
		"no edition, it comes later":   {primaryRoute, "k-acme", func(ts *testServer) { ts.server.Apply(jacinthtiller.View{}) }, func(ts *testServer) { ts.server.Apply(ts.view) }, "welcome I", "acme", 250, 400},
		"an edition that has no keys":  {primaryRoute, "k-other", func(ts *testServer) { e := *ts.view.Edition; e.RequiresKeys, e.Accounts = false, nil; ts.setEdition(e) }, nil, "welcome I", "", 0, 50},
		"no edition, unknown key then": {primaryRoute, "k-other", func(ts *testServer) { ts.server.Apply(jacinthtiller.View{}) }, func(ts *testServer) { ts.server.Apply(ts.view) }, "refused no-account -", "", 250, 400},
	}
	for name, c := range cases {
		var answer string
		var job jacinthtiller.Job
		var took time.Duration
		var log []string
		synctest.Test(t, func(t *testing.T) {
			ts := newTestServer(t)
			ts.lease(time.Hour)
			ts.setKeys(accounts)
			time.Sleep(2 * time.Second)
			if c.before != nil {
				c.before(ts)
			}
			ts.group.log()
			began := time.Now()
			g := ts.accountGuest(c.route, c.key)
			if c.later != nil {
				time.Sleep(300 * time.Millisecond)
				c.later(ts)
			}
			answer = <-g.answers
			took = time.Since(began)
			synctest.Wait()
			if strings.HasPrefix(answer, "welcome") {
				job = ts.job()
			}
			log = ts.group.log()
			g.leave()
			ts.close()
		})
		convey.Convey("A guest connects with "+name, t, func() {
			convey.So(answer, convey.ShouldEqual, c.answer)
			convey.So(job.Account, convey.ShouldEqual, c.account)
			convey.So(took.Milliseconds(), convey.ShouldBeBetweenOrEqual, c.minWaitMilliseconds, c.maxWaitMilliseconds)
			for _, line := range log {
				convey.So(line, convey.ShouldEndWith, "STATUS") // the host's own queries with a new lease
			}
		})
	}
}

// TestJobsOfAccounts guards against jobs that carry a key, or that queue by guest where they must queue by account, and
// against a change for deployments without accounts.
func TestJobsOfAccounts(t *testing.T) {
	convey.Convey("The jobs of a session", t, func() {
		ts := newTestServer(t)
		defer ts.close()
		convey.Convey("carry the guest's name in an edition without accounts", func() {
			g := ts.accountGuest(primaryRoute, "someone")
			defer g.leave()
			convey.So(<-g.answers, convey.ShouldEqual, "welcome I")
			convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
			convey.So(ts.job().Guest, convey.ShouldEqual, "someone")
			convey.So(ts.job().Account, convey.ShouldBeEmpty)
			convey.Convey("and none once an edition requires keys, before the next operation", func() {
				ts.setKeys(map[string][]string{"acme": {"someone"}})
				convey.So(ts.job().Guest, convey.ShouldBeEmpty)
				convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
				convey.So(ts.job().Guest, convey.ShouldEqual, "acme")
			})
		})
		convey.Convey("carry no name that may be a key after an edition without accounts has replaced one with them", func() {
			ts.setKeys(map[string][]string{"acme": {"k-acme"}})
			e := *ts.view.Edition
			e.Number, e.RequiresKeys, e.Accounts = e.Number+1, false, nil
			ts.setEdition(e)
			g := ts.accountGuest(primaryRoute, "k-acme")
			defer g.leave()
			convey.So(<-g.answers, convey.ShouldEqual, "welcome I")
			convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
			convey.So(ts.job().Guest, convey.ShouldBeEmpty)
			convey.So(ts.server.accounts.Load().loggedRoute("k-acme"), convey.ShouldBeEmpty)
			convey.So(ts.server.accounts.Load().loggedRoute(string(primaryRoute)), convey.ShouldEqual, string(primaryRoute))
		})
		convey.Convey("carry the account's name and no key where keys are required", func() {
			ts.setKeys(map[string][]string{"acme": {"k-acme"}})
			g := ts.accountGuest(primaryRoute, "k-acme")
			defer g.leave()
			convey.So(<-g.answers, convey.ShouldEqual, "welcome I")
			convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
			convey.So(ts.job().Guest, convey.ShouldEqual, "acme")
			convey.So(ts.job().Account, convey.ShouldEqual, "acme")
			convey.Convey("also after keys are required no more", func() {
				e := *ts.view.Edition
				e.Number, e.RequiresKeys, e.Accounts = e.Number+1, false, nil
				ts.setEdition(e)
				convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
				convey.So(ts.job().Guest, convey.ShouldEqual, "acme")
				convey.So(ts.job().Account, convey.ShouldBeEmpty)
			})
		})
		convey.Convey("carry nothing of a guest without an account on a public route", func() {
			ts.setKeys(map[string][]string{"acme": {"k-acme"}})
			g := ts.accountGuest(publicRoute, "k-other")
			defer g.leave()
			convey.So(<-g.answers, convey.ShouldEqual, "welcome I")
			convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
			convey.So(ts.job().Guest, convey.ShouldBeEmpty)
			convey.So(ts.job().Account, convey.ShouldBeEmpty)
		})
	})
}

// TestKeyOfOpenSession guards against sessions that go on under a removed key or a former account, and against transactions
// that a change of keys interrupts.
func TestKeyOfOpenSession(t *testing.T) {
	none := map[string][]string{}
	moved := map[string][]string{"beta": {"k-acme"}}
	ended := func(g *accountGuest) bool {
		_, open := g.askIfOpen("READ 1")
		return !open
	}
	convey.Convey("On an open session", t, func() {
		ts := newTestServer(t)
		defer ts.close()
		ts.server.leasedSince.Store(&time.Time{}) // the view has caught up
		ts.setKeys(map[string][]string{"acme": {"k-acme"}})
		g := ts.accountGuest(primaryRoute, "k-acme")
		convey.So(<-g.answers, convey.ShouldEqual, "welcome I")
		convey.Convey("a removed key ends the service with the next operation", func() {
			convey.So(g.ask("WRITE 1 x"), convey.ShouldEqual, "passed I")
			ts.group.log()
			ts.setKeys(none)
			convey.So(g.ask("WRITE 1 x"), convey.ShouldEqual, "no-account I")
			convey.So(ended(g), convey.ShouldBeTrue)
			convey.So(ts.group.log(), convey.ShouldBeEmpty)
		})
		convey.Convey("a removed key refuses a transaction", func() {
			ts.setKeys(none)
			convey.So(g.ask("BEGIN"), convey.ShouldEqual, "no-account I")
			convey.So(ended(g), convey.ShouldBeTrue)
			convey.So(ts.group.log(), convey.ShouldBeEmpty)
		})
		convey.Convey("an open transaction finishes under its account after the key was removed", func() {
			convey.So(g.ask("BEGIN"), convey.ShouldEqual, "done T")
			convey.So(g.ask("WRITE 1 x"), convey.ShouldEqual, "passed T")
			ts.setKeys(none)
			convey.So(g.ask("WRITE 1 y"), convey.ShouldEqual, "passed T")
			convey.So(ts.job().Account, convey.ShouldEqual, "acme")
			convey.So(g.ask("COMMIT"), convey.ShouldEqual, "passed I")
			convey.So(g.ask("READ 1"), convey.ShouldEqual, "no-account I")
			convey.So(ended(g), convey.ShouldBeTrue)
		})
		convey.Convey("a key that moves to another account changes the account of the next operation", func() {
			defer g.leave()
			ts.setKeys(moved)
			convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
			convey.So(ts.job().Account, convey.ShouldEqual, "beta")
			convey.So(ts.job().Guest, convey.ShouldEqual, "beta")
		})
		convey.Convey("a key that moves does not change the account of an open transaction", func() {
			defer g.leave()
			convey.So(g.ask("BEGIN"), convey.ShouldEqual, "done T")
			ts.setKeys(moved)
			convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed T")
			convey.So(ts.job().Account, convey.ShouldEqual, "acme")
			convey.So(g.ask("COMMIT"), convey.ShouldEqual, "passed I")
			convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
			convey.So(ts.job().Account, convey.ShouldEqual, "beta")
		})
		convey.Convey("a view that may be outdated ends no session: a key that it lacks may have been added again", func() {
			defer g.leave()
			ts.lease(-time.Second)
			ts.setKeys(none)
			convey.So(g.ask("WRITE 1 x"), convey.ShouldEqual, "busy I")
			convey.So(ts.group.log(), convey.ShouldBeEmpty)
			ts.setKeys(map[string][]string{"acme": {"k-acme"}})
			ts.lease(time.Minute)
			convey.So(g.ask("WRITE 1 x"), convey.ShouldEqual, "passed I")
		})
	})
	convey.Convey("On a public route, a guest whose key is removed is served without an account", t, func() {
		ts := newTestServer(t)
		defer ts.close()
		ts.setKeys(map[string][]string{"acme": {"k-acme"}})
		g := ts.accountGuest(publicRoute, "k-acme")
		defer g.leave()
		convey.So(<-g.answers, convey.ShouldEqual, "welcome I")
		convey.So(ts.job().Account, convey.ShouldEqual, "acme")
		ts.setKeys(none)
		convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
		convey.So(ts.job().Account, convey.ShouldBeEmpty)
	})
}

// TestAccountIndex guards against a look-up that is built with every view or session, of which there are many a second.
func TestAccountIndex(t *testing.T) {
	convey.Convey("The look-up of accounts", t, func() {
		ts := newTestServer(t)
		defer ts.close()
		ts.setKeys(map[string][]string{"acme": {"k-acme"}})
		first := ts.server.accounts.Load()
		convey.Convey("stays when other parts of the view change, and when sessions open", func() {
			ts.change(func(d jacinthtiller.Database) jacinthtiller.Database { return d.WithPrimary(2, "b") })
			g := ts.accountGuest(primaryRoute, "k-acme")
			defer g.leave()
			convey.So(<-g.answers, convey.ShouldEqual, "welcome I")
			convey.So(ts.server.accounts.Load() == first, convey.ShouldBeTrue)
		})
		convey.Convey("changes with the edition", func() {
			ts.setKeys(map[string][]string{"beta": {"k-beta"}})
			x := ts.server.accounts.Load()
			convey.So(x == first, convey.ShouldBeFalse)
			convey.So(x.access(string(primaryRoute), jacinthtiller.DigestKey("k-beta")).account, convey.ShouldEqual, "beta")
			convey.So(x.access(string(primaryRoute), jacinthtiller.DigestKey("k-acme")).refused, convey.ShouldEqual, jacinthtiller.ErrorCodeNoAccount)
		})
		convey.Convey("is not built for an edition without keys", func() {
			e := *ts.view.Edition
			e.RequiresKeys = false
			ts.setEdition(e)
			convey.So(ts.server.accounts.Load().byKey, convey.ShouldBeNil)
		})
	})
}

// TestTurnsByAccount guards against an account that gets more of a target because its requests come from many guests.
func TestTurnsByAccount(t *testing.T) {
	const guests, statementMilliseconds = 60, 10
	// wait returns how long a single guest of account beta waits at a target that many others ask at the same time.
	wait := func(accounts map[string][]string, keyOfOthers func(i int) string) (took time.Duration, answer string) {
		synctest.Test(t, func(t *testing.T) {
			ts := newTestServer(t)
			ts.lease(time.Hour)
			ts.setKeys(accounts)
			ts.group.set(func() {
				ts.group.receive = func(jacinthtiller.TargetRequest, time.Time) error {
					time.Sleep(statementMilliseconds * time.Millisecond)
					return nil
				}
			})
			others := make([]*accountGuest, guests)
			for i := range others {
				others[i] = ts.accountGuest(primaryRoute, keyOfOthers(i))
				<-others[i].answers
			}
			single := ts.accountGuest(primaryRoute, "k-beta")
			<-single.answers
			time.Sleep(time.Second)
			for _, g := range others {
				g.requests <- requestOf("WRITE 1 x")
			}
			synctest.Wait()
			began := time.Now()
			answer = single.ask("WRITE 1 x")
			took = time.Since(began)
			for _, g := range others {
				<-g.answers
				g.leave()
			}
			single.leave()
			ts.close()
		})
		return took, answer
	}
	manyAccounts := map[string][]string{"beta": {"k-beta"}}
	for i := range guests {
		manyAccounts[fmt.Sprint("acme-", i)] = []string{fmt.Sprint("k-", i)}
	}
	byAccount, first := wait(map[string][]string{"acme": {"k-acme"}, "beta": {"k-beta"}}, func(int) string { return "k-acme" })
	byGuest, second := wait(manyAccounts, func(i int) string { return fmt.Sprint("k-", i) })
	convey.Convey("A guest waits for one turn of an account with many guests, and for a turn of each of many accounts", t, func() {
		convey.So([]string{first, second}, convey.ShouldResemble, []string{"passed I", "passed I"})
		convey.So(byAccount.Milliseconds(), convey.ShouldBeLessThanOrEqualTo, 3*statementMilliseconds)
		convey.So(byGuest.Milliseconds(), convey.ShouldBeGreaterThanOrEqualTo, 5*statementMilliseconds)
	})
}
