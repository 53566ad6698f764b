package e2e_test

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// limitWindow, limitOverage and limitSlack are the platform's bounds: in no window may more than (rate x window + burst) x
	// overage + slack operations of an account reach databases.
	limitWindow  = 5 * time.Second
	limitOverage = 1.1
	limitSlack   = 20
	// resumeDeadline is how long after the loss of a host an account is served at half of its limit again.
	resumeDeadline = 4 * time.Second
	// resumeWindow is how long the rate after resumeDeadline is measured.
	resumeWindow = 4 * time.Second
	// pressPause is the time between the requests of a guest.
	pressPause = 40 * time.Millisecond
)

// limitedAccount is an account with a limit, and the number of its guests at each host. There are more guests than operations
// that may wait for tokens until the route's timeout, so that the others are refused and ask for several times the limit.
type limitedAccount struct {
	limit  jacinthtiller.RateLimit
	guests int
}

// limitedAccounts have limits of different sizes: in the window, the slack is half of the bound of the small account. A second burst
// of a half of the limit of the medium account, in the same window, would exceed its bound.
var limitedAccounts = map[string]limitedAccount{
	"small":  {jacinthtiller.RateLimit{PerSecond: 4}, 3},
	"medium": {jacinthtiller.RateLimit{PerSecond: 30, Burst: 150}, 12},
	"large":  {jacinthtiller.RateLimit{PerSecond: 80, Burst: 40}, 30},
}

// pressure counts what the guests of one account are answered.
type pressure struct {
	// paused makes the guests wait before their next operation.
	paused   *atomic.Bool
	mu       sync.Mutex // guards the fields below
	answered int        // operations
	// refused counts the errors by their code and reason.
	refused map[string]int
}

// record counts an answer and reports whether it is an error. Only the last answer of a transaction counts as an operation.
func (p *pressure) record(line, state string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state == "I" {
		p.answered++
	}
	if !strings.HasPrefix(line, "ERROR ") {
		return false
	}
	code := strings.Fields(line)[1]
	_, reason, _ := strings.Cut(line, "not run: ")
	p.refused[code+" "+reason]++
	return true
}

// counts returns what has been counted until now.
func (p *pressure) counts() (answered int, refused map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered, maps.Clone(p.refused)
}

// press sends operations to a host until stop is closed and does not wait as refusals advise. It connects again when the host has
// closed the session, or left a transaction open after an error.
func (p *pressure) press(address, database, key string, texts []string, stop <-chan struct{}) {
	for {
		if g, err := dialGuestAs(address, database, key); err == nil {
			p.pressSession(g, texts, stop)
			g.conn.Close()
		}
		if !p.pause(stop) {
			return
		}
	}
}

func (p *pressure) pressSession(g *lineGuest, texts []string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		lines, state, err := g.queryLines(texts[i%len(texts)])
		if err != nil {
			return
		}
		if p.record(lines[0], state) {
			if state != "I" {
				return
			}
			i = -1
		}
		if state != "I" {
			continue // the statements of a transaction follow each other at once
		}
		if !p.pause(stop) {
			return
		}
	}
}

// pause waits for the next operation of a guest and returns false when it is to stop.
func (p *pressure) pause(stop <-chan struct{}) bool {
	for {
		select {
		case <-stop:
			return false
		case <-time.After(pressPause):
		}
		if !p.paused.Load() {
			return true
		}
	}
}

// countBetween returns how many of the sorted times are at or after from and before to.
func countBetween(times []time.Time, from, to time.Time) int {
	index := func(at time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(at) })
	}
	return max(0, index(to)-index(from))
}

// fullestWindow returns the largest number of the sorted times in any window, and where this window begins.
func fullestWindow(times []time.Time, window time.Duration) (most int, at time.Time) {
	for _, from := range times {
		if c := countBetween(times, from, from.Add(window)); c > most {
			most, at = c, from
		}
	}
	return most, at
}

// limitAdministrators returns the hosts that administer the shares of an account's limit while all hosts are live.
func (n *platformInstallation) limitAdministrators(account string) []string {
	v := jacinthtiller.View{Hosts: map[string]jacinthtiller.Host{}}
	for name := range n.hosts {
		v.Hosts[name] = jacinthtiller.Host{Name: name, ServesAccounts: true}
	}
	var out []string
	for _, a := range v.LimitPlacement().LimitAdministrators(account) {
		out = append(out, a.Host)
	}
	return out
}

// startLimits starts three hosts with the limited accounts, whose keys are their names with "key-" before them, and waits until
// each host knows all accounts.
func startLimits(t testing.TB) *platformInstallation {
	n := startPlatform(t)
	n.databases.recordAccounts()
	var tenants []tenantConfig
	for _, name := range slices.Sorted(maps.Keys(limitedAccounts)) {
		l := limitedAccounts[name].limit
		tenants = append(tenants, tenantConfig{Name: name, APIKeys: []string{"key-" + name}, RatePerS: &l.PerSecond, Burst: l.Burst})
	}
	n.putConfig(strings.ReplaceAll(accountsConfig(2, tenants...), `"timeout_ms":2000`, `"timeout_ms":800`))
	for host := range n.hosts {
		for name := range limitedAccounts {
			n.eventually(host+" accepts the key of "+name, func(context.Context) error {
				g, err := dialGuestAs(n.hosts[host].guestAddress, "strict", "key-"+name)
				if err == nil {
					g.conn.Close()
				}
				return err
			})
		}
	}
	return n
}

// TestLimits guards against more operations of an account at the databases than its limit allows, when guests press on all hosts
// at once, after a host that had tokens or gave them to others was frozen, or while a new host takes the place of a killed one;
// and against accounts that are not served after the loss of a host that administers their limit.
func TestLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("presses for 26 s in each case")
	}
	// The times are milliseconds after the begin of the pressure. From pauseFrom to pauseTo, no guest asks, so that the accounts may
	// spend their bursts shortly before hosts are lost.
	const pauseFrom, pauseTo = 7000, 12500
	cases := map[string]struct{ freezeAt, continueAt, killAt, endAt int64 }{
		"one host frozen and another one killed later":       {freezeAt: 13200, continueAt: 16000, killAt: 18000, endAt: 26500},
		"both administrators lost, of which one comes again": {freezeAt: 13200, killAt: 13500, continueAt: 22000, endAt: 25000},
	}
	convey.Convey("The limits of accounts hold", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				n := startLimits(t)
				administrators := n.limitAdministrators("medium")
				convey.So(administrators[0], convey.ShouldNotEqual, administrators[1])
				frozen, killed := n.hosts[administrators[0]], n.hosts[administrators[1]]
				t.Logf("%s: %s is frozen, %s killed; administrators of large are %v, of small %v", name, frozen.name, killed.name,
					n.limitAdministrators("large"), n.limitAdministrators("small"))

				pressures := map[string]*pressure{}
				stop := make(chan struct{})
				var paused atomic.Bool
				var group conc.WaitGroup
				for account, a := range limitedAccounts {
					p := &pressure{paused: &paused, refused: map[string]int{}}
					pressures[account] = p
					for _, h := range n.hosts {
						for i := range a.guests {
							database, texts := "own", []string{"READ 1", "WRITE 2 " + account}
							if i%3 == 0 {
								database, texts = "strict", []string{"BEGIN", "READ 3", "WRITE 3 " + account, "COMMIT"}
							}
							group.Go(func() { p.press(h.guestAddress, database, "key-"+account, texts, stop) })
						}
					}
				}
				began := time.Now()
				at := func(milliseconds int64) time.Time { return began.Add(time.Duration(milliseconds) * time.Millisecond) }
				steadyFrom, steadyTo := at(2000), at(pauseFrom)
				time.Sleep(time.Until(steadyFrom))
				answeredBefore := map[string]int{}
				for account, p := range pressures {
					answeredBefore[account], _ = p.counts()
				}
				time.Sleep(time.Until(steadyTo))
				answered, refused := map[string]int{}, map[string]map[string]int{}
				for account, p := range pressures {
					count, codes := p.counts()
					answered[account], refused[account] = count-answeredBefore[account], codes
				}
				paused.Store(true)
				time.Sleep(time.Until(at(pauseTo)))
				paused.Store(false)
				time.Sleep(time.Until(at(c.freezeAt)))
				frozen.signal(syscall.SIGSTOP)
				var killedAt time.Time
				kill := func() {
					time.Sleep(time.Until(at(c.killAt)))
					killedAt = time.Now()
					killed.kill()
				}
				if c.killAt < c.continueAt {
					kill()
				}
				time.Sleep(time.Until(at(c.continueAt)))
				frozen.signal(syscall.SIGCONT)
				if killedAt.IsZero() {
					kill()
				}
				time.Sleep(time.Until(at(c.endAt)))
				close(stop)
				group.Wait()
				delete(n.hosts, killed.name)

				for _, account := range slices.Sorted(maps.Keys(limitedAccounts)) {
					l := limitedAccounts[account].limit
					times := n.databases.operationTimes(account)
					bound := (l.PerSecond*limitWindow.Seconds()+l.Burst)*limitOverage + limitSlack
					most, from := fullestWindow(times, limitWindow)
					steadySeconds := steadyTo.Sub(steadyFrom).Seconds()
					steady := countBetween(times, steadyFrom, steadyTo)
					resumeAt := killedAt.Add(resumeDeadline)
					resumed := countBetween(times, resumeAt, resumeAt.Add(resumeWindow))
					var seconds []int
					for s := began; s.Before(at(c.endAt)); s = s.Add(time.Second) {
						seconds = append(seconds, countBetween(times, s, s.Add(time.Second)))
					}
					_, all := pressures[account].counts()
					t.Logf("%s, %s: fullest window %d of %.0f at %.1f s; per second %v; steady: asked %.0f/s, ran %.1f/s of %v/s; after the loss %.1f/s; refused %v",
						name, account, most, bound, from.Sub(began).Seconds(), seconds, float64(answered[account])/steadySeconds,
						float64(steady)/steadySeconds, l.PerSecond, float64(resumed)/resumeWindow.Seconds(), all)
					convey.So(float64(most), convey.ShouldBeLessThanOrEqualTo, bound)
					convey.So(float64(answered[account]), convey.ShouldBeGreaterThan, 2*l.PerSecond*steadySeconds)
					convey.So(float64(steady), convey.ShouldBeGreaterThanOrEqualTo, l.PerSecond*steadySeconds/2)
					convey.So(float64(resumed), convey.ShouldBeGreaterThanOrEqualTo, l.PerSecond*resumeWindow.Seconds()/2)
					for answer := range refused[account] {
						convey.So(answer, convey.ShouldStartWith, "RETRYLATER ")
					}
				}
				n.databases.mu.Lock()
				defer n.databases.mu.Unlock()
				t.Logf("%s: hosts sent %d operations again", name, n.databases.record.repeated)
			})
		}
	})
}
