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

// requestRenewal makes the host renew its lease at once, so that control learns early which view this host has applied.
func (h *Host) requestRenewal() {
	select {
	case h.renewNow <- struct{}{}:
	default:
	}
}

// logDocumentFaults logs sections that control accepted but this host cannot parse, as after an upgrade of only control.
func (h *Host) logDocumentFaults() {
	for team, faults := range h.config.Views.Directory().Faults() {
		h.config.Events.Emit(event.DocumentInvalid, event.Fields{"team": team, "fault": fmt.Sprint(faults)})
	}
}

// maintainLease registers the host and renews its lease until the host is released.
func (h *Host) maintainLease() {
	for h.ctx.Err() == nil && !h.isReleased() {
		if !h.isRegistered() {
			if err := h.register(); err != nil {
				h.pause(retryInterval)
				continue
			}
		}
		granted, err := h.renewLease()
		if err != nil {
			h.clearExpiredLease()
			h.pause(retryInterval)
			continue
		}
		if !granted {
			h.pause(catchUpInterval)
			continue
		}
		if h.isViewBehind() {
			h.wait(laggingRenewInterval, h.renewNow)
			continue
		}
		// The jitter of up to a tenth spreads the renewals of hosts that started at the same time.
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

// renewLease requests the lease once and reports whether it was granted. The deadline counts from the start of the
// request, so that it is never later than the leader's.
func (h *Host) renewLease() (bool, error) {
	ctx, cancel := context.WithTimeout(h.ctx, renewTimeout)
	defer cancel()
	requestTime := clock.Now()
	index := h.appliedIndex() // before the commits, which then include all those under earlier views
	r, err := h.config.Control.Renew(ctx, jacinthtiller.RenewRequest{
		Host: h.config.Self.Name, Incarnation: h.config.Self.Incarnation, Index: index, Acknowledged: h.config.acknowledged(),
	})
	if err != nil {
		return false, fmt.Errorf("renew the host's lease: %w", err)
	}
	h.recordControlContact()
	if r.Unregistered {
		h.mu.Lock()
		h.registered = false
		h.mu.Unlock()
		return false, errors.New("control has no registration of this incarnation")
	}
	h.checkWatchLag(r.Index, time.Now())
	if r.LeaseMicroseconds == 0 {
		return false, nil // this host has not applied the view of its registration yet
	}
	if h.checkViewOutdated(time.Now()) {
		h.clearExpiredLease()
		return true, nil // the current lease expires by itself; isViewBehind shortens the pause before the next renewal
	}
	h.extendLease(requestTime.Add(time.Duration(r.LeaseMicroseconds)*time.Microsecond), r.SettledIndex)
	return true, nil
}

// extendLease moves the end of the lease to the deadline. The settled index stays when control sends a lower one, as a new
// leader does until it has heard from all hosts, because what an earlier leader has found holds under all later ones.
func (h *Host) extendLease(deadline time.Time, settledIndex uint64) {
	h.publishMu.Lock() // or a release in between would be followed by a lease that nothing ends
	defer h.publishMu.Unlock()
	h.mu.Lock()
	if h.released || deadline.Before(h.lease.Deadline) {
		h.mu.Unlock()
		return
	}
	h.settledIndex = max(h.settledIndex, settledIndex)
	h.lease = jacinthtiller.Lease{
		Host: h.config.Self.Name, Incarnation: h.config.Self.Incarnation, Deadline: deadline, SettledIndex: h.settledIndex,
	}
	h.leaseEnd = deadline
	lease := h.lease
	h.mu.Unlock()
	h.publishLease(lease)
	if h.config.Events.Tracing() {
		h.config.Events.Emit(event.LeaseRenewed, event.Fields{"deadline": deadline})
	}
}

func (h *Host) publishLease(l jacinthtiller.Lease) {
	for _, f := range h.config.Subscribers {
		f.SetLease(l)
	}
}

// clearExpiredLease clears the lease once its deadline has passed, and logs its end once.
func (h *Host) clearExpiredLease() {
	h.mu.Lock()
	expired := !h.lease.Deadline.IsZero() && !h.lease.Valid(clock.Now())
	if expired {
		h.lease = jacinthtiller.Lease{}
	}
	h.mu.Unlock()
	if expired {
		h.config.Events.Emit(event.LeaseEnded, nil)
	}
}

// isReleased reports whether the host has released its lease. It must not request another one while it stops.
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

func (h *Host) recordControlContact() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastControlContact = time.Now()
}
