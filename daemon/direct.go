package daemon

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/control"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/entry"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/pool"
	"github.com/jacinthtiller/jacinthtiller/relay"
	"github.com/jacinthtiller/jacinthtiller/statement"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// unreadyAfter is how long the host stays ready without a lease: shorter gaps pass before the balancer has moved
	// any guest, longer ones leave primaries out of the host's reach.
	unreadyAfter = 3 * time.Second
	// noticeTime is how long a stopping host goes on as before, until the balancer has asked twice, a second apart,
	// and sends no new guests.
	noticeTime = 2200 * time.Millisecond
	// abortShare is the part of a stop, in percent, that open transactions have to end.
	abortShare = 50
	// lastPercent is the part of a stop after which what is left is cut, so that the process ends in time.
	lastPercent = 88
	// releaseTimeout bounds the return of the host's lease at a stop.
	releaseTimeout = 300 * time.Millisecond
	// reloadEvery is the time between looks at the settings file, which may change without a signal.
	reloadEvery = time.Second
)

// startDirect serves guests of direct groups through the adapter.
func (p *Process) startDirect(mux *http.ServeMux, client *http.Client) error {
	var err error
	if p.guests, err = net.Listen("tcp", p.settings.GuestListen); err != nil {
		return fmt.Errorf("listen for guests: %w", err)
	}
	if p.links, err = net.Listen("tcp", p.settings.LinkListen); err != nil {
		return fmt.Errorf("listen for statements of other hosts: %w", err)
	}
	self := jacinthtiller.Host{
		Name: p.settings.Name, Domain: p.settings.Domain, Region: p.settings.Region,
		RPC: p.RPCURL(), Link: p.links.Addr().String(), Guests: p.guests.Addr().String(), Incarnation: incarnation(), Exclusive: true,
	}
	p.groupClient = control.NewClient(slices.Sorted(maps.Values(p.settings.Control)), client,
		control.WithClientPlace(p.settings.Domain, p.settings.Region), control.WithClientEvents(p.events))
	dialect := p.adapter.Dialect()
	p.pool = pool.New(p.adapter, dialect, pool.WithHost(self.Name), pool.WithRelays(relay.Dialer{}),
		pool.WithPlace(p.settings.Domain, p.settings.Regions), pool.WithEvents(p.events))
	p.questions = relay.NewQuestioner()
	p.statements = statement.New(p.pool, dialect, p.adapter.Guest,
		statement.WithHost(self.Name), statement.WithControl(p.groupClient), statement.WithEvents(p.events),
		statement.WithKeepers(p.settings.Domain, p.questions))
	p.relays = relay.NewServer(p.pool, dialect.Rollback(), p.events, relay.WithFreshness(p.statements))
	p.host = entry.Start(entry.Config{
		Self: self, Control: p.groupClient, Views: entry.NewViewStore(), Events: p.events,
		Followers: []jacinthtiller.ViewFollower{p.statements},
	})
	p.group.Go(func() {
		duty.Keep(context.Background(), p.events, "take other hosts", func() { p.relays.Serve(p.links) })
	})
	p.group.Go(func() {
		duty.Keep(context.Background(), p.events, "take guests", func() { p.statements.Serve(p.guests) })
	})
	return nil
}

// directReady reports whether the host can serve guests of direct groups. The caller holds p.mu.
func (p *Process) directReady() bool {
	return p.host.Ready() && p.statements.Configured() && !p.statements.Isolated() && clock.Now().Before(p.host.LeaseDeadline().Add(unreadyAfter))
}

// openPages serves readiness and metrics at addresses of their own.
func (p *Process) openPages(mux *http.ServeMux) error {
	pages := map[string]http.Handler{}
	if p.settings.MetricsListen != "" {
		pages[p.settings.MetricsListen] = mux
	}
	if p.settings.ReadyListen != "" && p.adapter != nil {
		pages[p.settings.ReadyListen] = wire.Recovered(p.events, p.adapter.Ready(p.Ready))
	}
	for address, h := range pages {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen for pages: %w", err)
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
		p.pages = append(p.pages, s)
		p.group.Go(func() { _ = s.Serve(l) })
	}
	return nil
}

func (p *Process) closePages() {
	for _, s := range p.pages {
		_ = s.Close()
	}
}

// stopDirect ends the service of guests of direct groups within the time of ctx.
func (p *Process) stopDirect(ctx context.Context) error {
	began := time.Now()
	whole := time.Duration(p.settings.DrainMilliseconds) * time.Millisecond
	if end, ok := ctx.Deadline(); ok {
		whole = min(whole, time.Until(end))
	}
	drain, cancel := context.WithDeadline(ctx, began.Add(whole*lastPercent/100))
	defer cancel()
	err := p.statements.Drain(drain, began.Add(min(noticeTime, whole*abortShare/100)), began.Add(whole*abortShare/100))
	release, done := context.WithTimeout(ctx, releaseTimeout)
	defer done()
	if rerr := p.host.Release(release); rerr != nil {
		p.events.Emit(event.ControlLost, event.Fields{"fault": rerr.Error()})
	}
	if err != nil {
		return fmt.Errorf("drain guests: %w", err)
	}
	return nil
}

// Reload takes over what may change while the process runs: the seeds.
func (p *Process) Reload(s *Settings) {
	urls := make([]string, 0, len(s.Seeds))
	for _, a := range s.Seeds {
		urls = append(urls, "http://"+a)
	}
	p.events.Emit(event.SettingsReloaded, event.Fields{"seeds": s.Seeds})
	if p.control != nil {
		p.control.SetSeeds(urls)
	}
	if p.groupClient != nil {
		p.groupClient.AddURLs(urls)
	}
}

// RefuseReload reports settings that were read again and have faults.
func (p *Process) RefuseReload(err error) {
	p.events.Emit(event.SettingsRefused, event.Fields{"fault": err.Error()})
}

// WatchSettings calls changed whenever the settings file has changed, until ctx ends.
func (p *Process) WatchSettings(ctx context.Context, changed func()) {
	path := p.settings.SettingsFile
	if path == "" {
		return
	}
	last, _ := os.ReadFile(path) // a file that cannot be read now counts as changed once it can be
	ticks := time.NewTicker(reloadEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		now, err := os.ReadFile(path)
		if err != nil || string(now) == string(last) {
			continue
		}
		last = now
		changed()
	}
}
