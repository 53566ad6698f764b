package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/session"
)

const (
	// httpStopTimeout bounds the wait for the last HTTP requests, none of which waits for anything once the roles are closed.
	httpStopTimeout = 500 * time.Millisecond
	// httpStopMargin is the time to stop that is left after that wait, for the end of the process.
	httpStopMargin = 50 * time.Millisecond
)

// markStopping makes the process not ready and reports whether this is the first call.
func (p *Process) markStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.stopping
	p.stopping = true
	return first
}

// LogRepeatedSignal logs a signal that arrives while the process stops.
func (p *Process) LogRepeatedSignal(name string) {
	p.events.Emit(event.ProcessStopping, event.Fields{"signal": name, "repeated": true})
}

// markClosed reports whether this is the first call, so that resources are closed only once.
func (p *Process) markClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.closed
	p.closed = true
	return first
}

// Stop stops the process gracefully: it waits for guests' statements in flight,
// moves owned targets to other hosts and transfers leadership of the control
// group. If ctx ends first, Stop cuts off what remains and returns an error.
func (p *Process) Stop(ctx context.Context) error {
	if !p.markStopping() {
		return nil
	}
	p.events.Emit(event.ProcessStopping, nil)
	var errs []error
	switch {
	case p.statementServer != nil:
		errs = append(errs, p.stopDirect(ctx))
	case p.host != nil:
		errs = append(errs, p.stopEntry(ctx))
	}
	if p.control != nil {
		if err := p.control.Close(); err != nil {
			errs = append(errs, fmt.Errorf("close the control role: %w", err))
		}
	}
	p.stopHTTP(ctx)
	err := errors.Join(errs...)
	p.events.Emit(event.ProcessStopped, nil)
	if p.markClosed() {
		p.closeResources()
	}
	return err
}

// stopHTTP lets requests in progress end. Whoever has connected and sends nothing would keep it for 5 s.
func (p *Process) stopHTTP(ctx context.Context) {
	end := time.Now().Add(httpStopTimeout)
	if d, ok := ctx.Deadline(); ok && d.Add(-httpStopMargin).Before(end) {
		end = d.Add(-httpStopMargin)
	}
	shutdownCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := p.httpServer.Shutdown(shutdownCtx); err != nil {
		p.events.Emit(event.HTTPCutOff, event.Fields{"fault": err.Error()})
		_ = p.httpServer.Close()
	}
}

// stopEntry hands the owned targets over to other hosts, so that the remaining requests find new owners, while it drains
// the host's own guests. Transactions of all hosts end at the same time.
func (p *Process) stopEntry(ctx context.Context) error {
	start := time.Now()
	budget := time.Duration(p.settings.DrainMilliseconds) * time.Millisecond
	if end, ok := ctx.Deadline(); ok {
		budget = min(budget, time.Until(end))
	}
	times := session.StopTimes{
		CloseIdle: start, Refuse: start.Add(budget * refusePercent / 100), Answer: start.Add(budget * answerPercent / 100),
	}
	drainCtx, cancelDrain := context.WithDeadline(ctx, start.Add(budget*drainPercent/100))
	defer cancelDrain()
	var guestsErr error
	var guests conc.WaitGroup
	guests.Go(func() { guestsErr = p.sessionServer.Drain(drainCtx, times) })
	handOverErr := p.handOver(drainCtx, times.Refuse, times.Answer)
	guests.Wait()
	errs := []error{handOverErr}
	if guestsErr != nil {
		errs = append(errs, fmt.Errorf("drain guests: %w", guestsErr))
	}
	linkCtx, cancelLink := context.WithDeadline(ctx, start.Add(budget*relayDrainPercent/100))
	defer cancelLink()
	if err := p.linkServer.Drain(linkCtx); err != nil {
		errs = append(errs, fmt.Errorf("drain statements from other hosts: %w", err))
	}
	return errors.Join(errs...)
}

// handOver ends the work on the owned targets, transactions and units by the given times, and releases the host's lease.
func (p *Process) handOver(ctx context.Context, transactions, units time.Time) error {
	unitsCtx, cancel := context.WithDeadline(ctx, units)
	defer cancel()
	err := p.owner.Drain(unitsCtx, transactions)
	if err != nil {
		err = fmt.Errorf("drain owned targets: %w", err)
	}
	return errors.Join(err, p.host.Release(ctx))
}

// Kill stops the process without draining, as a crash would, except that it waits for its goroutines.
func (p *Process) Kill() {
	p.markStopping()
	if !p.markClosed() {
		return
	}
	if p.httpServer != nil {
		_ = p.httpServer.Close()
	}
	p.closeExtraServers()
	if p.control != nil {
		_ = p.control.Abort()
	}
	p.closeResources()
}

// closeResources closes what is still open and waits for the goroutines.
func (p *Process) closeResources() {
	if p.rpcListener != nil {
		_ = p.rpcListener.Close()
	}
	for _, l := range []net.Listener{p.guestListener, p.linkListener} {
		if l != nil {
			_ = l.Close()
		}
	}
	p.closeExtraServers()
	if p.pool != nil {
		p.pool.Close() // first, since the servers wait for what runs on its connections
	}
	if p.statementServer != nil {
		p.statementServer.Close()
	}
	if p.relayServer != nil {
		p.relayServer.Close()
		p.freshnessClient.Close()
		p.limiter.Close()
		p.limitClient.Close()
	}
	if p.sessionServer != nil {
		p.sessionServer.Close()
	}
	if p.linkServer != nil {
		_ = p.linkServer.Close()
	}
	if p.marks != nil {
		p.marks.Close()
	}
	if p.linkOpener != nil {
		_ = p.linkOpener.Close()
	}
	if p.host != nil {
		p.host.Close()
	}
	if p.owner != nil {
		_ = p.owner.Close()
	}
	p.goroutines.Wait()
	if p.traceFile != nil {
		_ = p.traceFile.Close()
	}
	if p.logSink != nil {
		p.logSink.Close()
	}
}
