package daemon

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/account"
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
	// maxLeaseGap is how long the host stays ready without a lease. Shorter gaps end before the load balancer has moved
	// any guest; during longer ones the host cannot reach primaries.
	maxLeaseGap = 3 * time.Second
	// balancerNoticePeriod is how long a stopping host serves guests as before: after two readiness checks, a second
	// apart, the load balancer sends no new guests.
	balancerNoticePeriod = 2200 * time.Millisecond
	// refusePercent is the share of the stop time, in percent, after which open transactions are aborted and no request is
	// taken any more. Requests taken before it may run until answerPercent.
	refusePercent = 50
	// answerPercent is the share of the stop time, in percent, after which the remaining sessions are closed. The platform
	// expects a host to wait for targets until the last sixth of the time.
	answerPercent = 86
	// drainPercent is the share of the stop time, in percent, after which the remaining guests are cut off, so that the
	// process ends in time.
	drainPercent = 90
	// relayDrainPercent is the share of the stop time, in percent, after which statements and transactions of other hosts are cut
	// off.
	relayDrainPercent = 96
	// minFinishTimeout is how long a stop that is late waits for answers that are being written.
	minFinishTimeout = 100 * time.Millisecond
	// leaseReleaseTimeout bounds the release of the host's lease during a stop.
	leaseReleaseTimeout = 300 * time.Millisecond
	// settingsPollInterval is the time between checks of the settings file, which may change without a signal.
	settingsPollInterval = time.Second
)

// startDirect serves guests of direct groups through the adapter.
func (p *Process) startDirect(mux *http.ServeMux, client *http.Client) error {
	var err error
	if p.guestListener, err = net.Listen("tcp", p.settings.GuestListen); err != nil {
		return fmt.Errorf("listen for guests: %w", err)
	}
	if p.linkListener, err = net.Listen("tcp", p.settings.LinkListen); err != nil {
		return fmt.Errorf("listen for statements from other hosts: %w", err)
	}
	self := jacinthtiller.Host{
		Name: p.settings.Name, Domain: p.settings.Domain, Region: p.settings.Region,
		RPC: p.RPCURL(), Link: p.linkListener.Addr().String(), Guests: p.guestListener.Addr().String(), Incarnation: newIncarnation(), Exclusive: true,
		RelayCompression: true, ServesAccounts: true,
	}
	p.controlClient = control.NewClient(slices.Sorted(maps.Values(p.settings.Control)), client,
		control.WithClientLocation(p.settings.Domain, p.settings.Region), control.WithClientEvents(p.events))
	dialect := p.adapter.Dialect()
	poolOptions := []pool.Option{
		pool.WithHost(self.Name), pool.WithRelays(relay.Dialer{}), pool.WithLocation(p.settings.Domain, p.settings.Regions), pool.WithEvents(p.events),
	}
	if p.settings.LearnCapacity {
		poolOptions = append(poolOptions, pool.WithLearnedCapacity())
	}
	p.pool = pool.New(p.adapter, dialect, poolOptions...)
	p.freshnessClient = relay.NewFreshnessClient()
	p.limitClient = relay.NewLimitClient()
	p.limiter = account.New(account.Config{
		Self: self.Name, Region: self.Region, Client: p.limitClient, Allowance: p.settings.Allowance, Events: p.events,
		RenewLease: func() { p.host.RenewNow() },
	})
	p.statementServer = statement.New(p.pool, dialect, p.adapter.Guest,
		statement.WithHost(self.Name), statement.WithControl(p.controlClient), statement.WithEvents(p.events),
		statement.WithFreshnessKeepers(p.settings.Domain, p.freshnessClient), statement.WithLimiter(p.limiter))
	p.relayServer = relay.NewServer(p.pool, dialect.Rollback(), p.events, relay.WithFreshness(p.statementServer),
		relay.WithLimits(p.limiter))
	p.host = entry.Start(entry.Config{
		Self: self, Control: p.controlClient, Views: entry.NewViewStore(), Events: p.events,
		// The limiter is first, so that no operation begins under a limit of an earlier view.
		Subscribers:         []jacinthtiller.ViewSubscriber{p.limiter, p.statementServer},
		AcknowledgedCommits: p.statementServer.AcknowledgedCommits,
	})
	p.goroutines.Go(func() {
		duty.RunWithRestart(context.Background(), p.events, "serve other hosts", func() { p.relayServer.Serve(p.linkListener) })
	})
	p.goroutines.Go(func() {
		duty.RunWithRestart(context.Background(), p.events, "serve guests", func() { p.statementServer.Serve(p.guestListener) })
	})
	return nil
}

// directReady reports whether the host can serve guests of direct groups. The caller holds p.mu.
func (p *Process) directReady() bool {
	return p.host.Ready() && p.statementServer.Configured() && !p.statementServer.Isolated() && clock.Now().Before(p.host.LeaseDeadline().Add(maxLeaseGap))
}

// startExtraServers serves readiness and metrics on addresses of their own, if the settings name any.
func (p *Process) startExtraServers(mux *http.ServeMux) error {
	handlers := map[string]http.Handler{}
	if p.settings.MetricsListen != "" {
		handlers[p.settings.MetricsListen] = mux
	}
	if p.settings.ReadyListen != "" && p.adapter != nil {
		handlers[p.settings.ReadyListen] = wire.RecoverPanics(p.events, p.adapter.Ready(p.Ready))
	}
	for address, h := range handlers {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen for readiness and metrics: %w", err)
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
		p.extraServers = append(p.extraServers, s)
		p.goroutines.Go(func() { _ = s.Serve(l) })
	}
	return nil
}

func (p *Process) closeExtraServers() {
	for _, s := range p.extraServers {
		_ = s.Close()
	}
}

// stopDirect drains the guests of direct groups and releases the lease within the time of ctx. Other hosts, which learn from the
// release to go elsewhere, are served until then with what ends in time.
func (p *Process) stopDirect(ctx context.Context) error {
	start := time.Now()
	budget := time.Duration(p.settings.DrainMilliseconds) * time.Millisecond
	if end, ok := ctx.Deadline(); ok {
		budget = min(budget, time.Until(end))
	}
	relayEnd := start.Add(budget * relayDrainPercent / 100)
	p.relayServer.BeginStop(relay.StopTimes{Refuse: start.Add(budget * refusePercent / 100), End: relayEnd})
	drainCtx, cancel := context.WithDeadline(ctx, start.Add(budget*drainPercent/100))
	defer cancel()
	err := p.statementServer.Drain(drainCtx, statement.StopTimes{
		CloseIdle: start.Add(min(balancerNoticePeriod, budget*refusePercent/100)),
		Refuse:    start.Add(budget * refusePercent / 100),
		Answer:    start.Add(budget * answerPercent / 100),
	})
	releaseCtx, cancelRelease := context.WithTimeout(ctx, leaseReleaseTimeout)
	defer cancelRelease()
	if releaseErr := p.host.Release(releaseCtx); releaseErr != nil {
		p.events.Emit(event.ControlLost, event.Fields{"fault": releaseErr.Error()})
	}
	relayCtx, cancelRelay := context.WithDeadline(ctx, relayEnd)
	defer cancelRelay()
	if err != nil {
		err = fmt.Errorf("drain guests: %w", err)
	}
	if relayErr := p.relayServer.Drain(relayCtx); relayErr != nil {
		// What is left waits for a silent target or for a resting guest. The other hosts answer their guests once their
		// connections end.
		p.events.Emit(event.RelayCutOff, event.Fields{"fault": relayErr.Error()})
		p.pool.Close()
		p.relayServer.Close()
	}
	finishDeadline := start.Add(budget * relayDrainPercent / 100)
	if end := time.Now().Add(minFinishTimeout); end.After(finishDeadline) {
		finishDeadline = end
	}
	finishCtx, cancelFinish := context.WithDeadline(context.WithoutCancel(ctx), finishDeadline)
	defer cancelFinish()
	return errors.Join(err, p.statementServer.FinishAnswers(finishCtx))
}

// Reload applies the settings that may change while the process runs: the seeds.
func (p *Process) Reload(s *Settings) {
	urls := make([]string, 0, len(s.Seeds))
	for _, a := range s.Seeds {
		urls = append(urls, "http://"+a)
	}
	p.events.Emit(event.SettingsReloaded, event.Fields{"seeds": s.Seeds})
	if p.control != nil {
		p.control.SetSeeds(urls)
	}
	if p.controlClient != nil {
		p.controlClient.AddURLs(urls)
	}
}

// LogReloadFailure logs that the settings were read again and are invalid.
func (p *Process) LogReloadFailure(err error) {
	p.events.Emit(event.SettingsRefused, event.Fields{"fault": err.Error()})
}

// WatchSettings calls onChange for each signal in reloads and whenever the settings file has changed, until ctx ends. Calls do
// not overlap. The file may be slow to read; nothing else waits for it.
func (p *Process) WatchSettings(ctx context.Context, reloads <-chan os.Signal, onChange func()) {
	duty.RunWithRestart(ctx, p.events, "watch the settings", func() { p.watchSettings(ctx, reloads, onChange) })
}

func (p *Process) watchSettings(ctx context.Context, reloads <-chan os.Signal, onChange func()) {
	path := p.settings.SettingsFile
	last, _ := os.ReadFile(path) // a file that cannot be read now counts as changed once it can be read
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			onChange()
			continue
		case <-ticker.C:
		}
		current, err := os.ReadFile(path)
		if err != nil || string(current) == string(last) {
			continue
		}
		last = current
		onChange()
	}
}
