package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/jacinthtiller/jacinthtiller/event"
)

// markStopping makes the process not ready and reports whether it was the first call.
func (p *Process) markStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.stopping
	p.stopping = true
	return first
}

// markReleased reports whether it was the first call.
func (p *Process) markReleased() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.released
	p.released = true
	return first
}

// Stop ends the process gracefully: guests' statements in flight end, owned
// targets go to other hosts, and leadership of the control group is handed on.
// When ctx ends before that, what remains is cut and the error says so.
func (p *Process) Stop(ctx context.Context) error {
	if !p.markStopping() {
		return nil
	}
	p.events.Emit(event.ProcessStopping, nil)
	var errs []error
	switch {
	case p.statements != nil:
		errs = append(errs, p.stopDirect(ctx))
	case p.host != nil:
		errs = append(errs, p.stopEntry(ctx))
	}
	if p.control != nil {
		if err := p.control.Close(); err != nil {
			errs = append(errs, fmt.Errorf("close the control role: %w", err))
		}
	}
	if err := p.http.Shutdown(ctx); err != nil {
		errs = append(errs, fmt.Errorf("stop the service: %w", err))
	}
	err := errors.Join(errs...)
	p.events.Emit(event.ProcessStopped, nil)
	if p.markReleased() {
		p.release()
	}
	return err
}

// stopEntry first lets other hosts take over the targets, so that the host's own guests
// find new owners for what they still run.
func (p *Process) stopEntry(ctx context.Context) error {
	var errs []error
	if err := p.owner.Drain(ctx); err != nil {
		errs = append(errs, fmt.Errorf("drain owned targets: %w", err))
	}
	if err := p.host.Release(ctx); err != nil {
		errs = append(errs, err)
	}
	if err := p.sessions.Drain(ctx); err != nil {
		errs = append(errs, fmt.Errorf("drain guests: %w", err))
	}
	if err := p.server.Drain(ctx); err != nil {
		errs = append(errs, fmt.Errorf("drain statements of other hosts: %w", err))
	}
	return errors.Join(errs...)
}

// Kill ends the process at once, as a crash would, apart from the process's memory and goroutines.
func (p *Process) Kill() {
	p.markStopping()
	if !p.markReleased() {
		return
	}
	if p.http != nil {
		_ = p.http.Close()
	}
	p.closePages()
	if p.control != nil {
		_ = p.control.Abort()
	}
	p.release()
}

// release closes what is still open and waits for the goroutines.
func (p *Process) release() {
	if p.rpc != nil {
		_ = p.rpc.Close()
	}
	for _, l := range []net.Listener{p.guests, p.links} {
		if l != nil {
			_ = l.Close()
		}
	}
	p.closePages()
	if p.statements != nil {
		p.statements.Close()
	}
	if p.relays != nil {
		p.relays.Close()
		p.questions.Close()
	}
	if p.pool != nil {
		p.pool.Close()
	}
	if p.sessions != nil {
		p.sessions.Close()
	}
	if p.server != nil {
		_ = p.server.Close()
	}
	if p.marks != nil {
		p.marks.Close()
	}
	if p.opener != nil {
		_ = p.opener.Close()
	}
	if p.host != nil {
		p.host.Close()
	}
	if p.owner != nil {
		_ = p.owner.Close()
	}
	p.group.Wait()
	if p.trace != nil {
		_ = p.trace.Close()
	}
	if p.sink != nil {
		p.sink.Close()
	}
}
