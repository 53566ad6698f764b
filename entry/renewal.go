package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// askRenewal makes the host renew at once, so that control learns early which view is in force here.
func (h *Host) askRenewal() {
	select {
	case h.renewNow <- struct{}{}:
	default:
	}
}

// reportFaults names sections that control accepted and this host cannot read, as after an upgrade of control alone.
func (h *Host) reportFaults() {
	for team, faults := range h.config.Views.Directory().Faults() {
		h.config.Events.Emit(event.DocumentInvalid, event.Fields{"team": team, "fault": fmt.Sprint(faults)})
	}
}

// renew registers the host and keeps its lease until it is released.
func (h *Host) renew() {
	for h.ctx.Err() == nil && !h.isReleased() {
		if !h.isRegistered() {
			if err := h.register(); err != nil {
				h.pause(retryInterval)
				continue
			}
		}
		granted, err := h.renewOnce()
		if err != nil {
			h.noteLease()
			h.pause(retryInterval)
			continue
		}
		if !granted {
			h.pause(catchUpInterval)
			continue
		}
		if h.isBehind() {
			h.wait(behindInterval, h.renewNow)
			continue
		}
		// A tenth of jitter keeps the renewals of hosts that started together apart.
		h.wait(renewInterval-time.Duration(rand.Int64N(int64(renewInterval/10))), h.renewNow)
	}
}

func (h *Host) register() error {
	ctx, cancel := context.WithTimeout(h.ctx, 2*time.Second)
	defer cancel()
	r, err := h.config.Control.Register(ctx, h.config.Self)
	if err != nil {
		return fmt.Errorf("register host %s: %w", h.config.Self.Name, err)
	}
	h.mu.Lock()
	h.registered = true
	h.mu.Unlock()
	h.config.Events.Emit(event.HostRegistered, event.Fields{"index": r.Index, "incarnation": h.config.Self.Incarnation})
	return nil
}

// renewOnce asks for the lease once and reports whether it was granted. The deadline counts from before the request,
// so that it never lies after the one that the leader keeps.
func (h *Host) renewOnce() (bool, error) {
	ctx, cancel := context.WithTimeout(h.ctx, renewTimeout)
	defer cancel()
	asked := clock.Now()
	r, err := h.config.Control.Renew(ctx, jacinthtiller.RenewRequest{
		Host: h.config.Self.Name, Incarnation: h.config.Self.Incarnation, Index: h.appliedIndex(),
	})
	if err != nil {
		return false, fmt.Errorf("renew the host's lease: %w", err)
	}
	h.sawControl()
	if r.Unregistered {
		h.mu.Lock()
		h.registered = false
		h.mu.Unlock()
		return false, errors.New("control does not know this start of the host")
	}
	h.compareView(r.Index, time.Now())
	if r.LeaseMicroseconds == 0 {
		return false, nil // the view of the registration is not in force here yet
	}
	if h.viewOutdated(time.Now()) {
		h.noteLease()
		return true, nil // the lease that is held ends by itself; isBehind sets the pace of the next renewal
	}
	h.grant(asked.Add(time.Duration(r.LeaseMicroseconds) * time.Microsecond))
	return true, nil
}

func (h *Host) grant(deadline time.Time) {
	h.mu.Lock()
	if h.released || deadline.Before(h.lease.Deadline) {
		h.mu.Unlock()
		return
	}
	h.lease = jacinthtiller.Lease{
		Host: h.config.Self.Name, Incarnation: h.config.Self.Incarnation, Deadline: deadline,
	}
	h.leaseEnd = deadline
	lease := h.lease
	h.mu.Unlock()
	h.setLease(lease)
	if h.config.Events.Tracing() {
		h.config.Events.Emit(event.LeaseRenewed, event.Fields{"deadline": deadline})
	}
}

func (h *Host) setLease(l jacinthtiller.Lease) {
	for _, f := range h.config.Followers {
		f.SetLease(l)
	}
}

// noteLease reports the end of a lease once.
func (h *Host) noteLease() {
	h.mu.Lock()
	ended := !h.lease.Deadline.IsZero() && !h.lease.Valid(clock.Now())
	if ended {
		h.lease = jacinthtiller.Lease{}
	}
	h.mu.Unlock()
	if ended {
		h.config.Events.Emit(event.LeaseEnded, nil)
	}
}

// isReleased reports whether the host has given its lease back; it must not ask for another one while it stops.
func (h *Host) isReleased() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.released
}

func (h *Host) isRegistered() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registered
}

func (h *Host) sawControl() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.controlSeen = time.Now()
}
