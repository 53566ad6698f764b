package entry

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// watchViews keeps the current view up to date from control, or from peers while control is unreachable.
func (h *Host) watchViews() {
	lost, mismatch := false, false
	for h.ctx.Err() == nil {
		view := h.config.Views.View()
		from := view.Index
		if view.Edition != nil && view.Edition.RequiresKeys && !view.HostsComplete() {
			from = 0 // the process that sent the view was of a previous version
		}
		if mismatch {
			from = 0 // the next delta from the same view would not apply either, so ask for a full view
		}
		err := h.config.Control.Watch(h.newWatchContext(), from, func(d jacinthtiller.Delta) error {
			if lost {
				lost = false
				h.config.Events.Emit(event.ControlFound, event.Fields{"index": d.Index})
			}
			h.recordControlContact()
			applied := h.config.Views.Apply(d)
			mismatch = !applied && d.Index > h.config.Views.View().Index
			if mismatch {
				return fmt.Errorf("delta from index %d does not apply", d.From)
			}
			return nil
		})
		if h.ctx.Err() != nil {
			return
		}
		if err == nil {
			continue // the client has found a nearer control process and watches that one next
		}
		if !lost {
			lost = true
			h.config.Events.Emit(event.ControlLost, event.Fields{
				"index": h.config.Views.View().Index, "fault": fmt.Sprint(err),
			})
		}
		h.fetchPeerViews()
		h.pause(retryInterval)
	}
}

// newWatchContext cancels the current watch and returns the context of a new one.
func (h *Host) newWatchContext() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancelWatch != nil {
		h.cancelWatch()
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.cancelWatch, h.watchLag = cancel, lag{}
	return ctx
}

// lag is a view that the leader has had and the current view has not reached.
type lag struct {
	// since is when the leader was seen to have the view with the index; zero if the current view is not behind.
	since time.Time
	index uint64
}

// update returns the lag after the leader was seen at leaderIndex while the current view was at currentIndex.
func (l lag) update(leaderIndex, currentIndex uint64, now time.Time) lag {
	switch {
	case leaderIndex <= currentIndex:
		return lag{}
	// The lag starts anew once its view has been reached: while hosts come and go, the leader is always a little ahead.
	case l.since.IsZero() || currentIndex >= l.index:
		return lag{since: now, index: leaderIndex}
	}
	return l
}

// atLeast reports whether the current view has been behind for at least limit.
func (l lag) atLeast(limit time.Duration, now time.Time) bool {
	return !l.since.IsZero() && now.Sub(l.since) >= limit
}

// lagHistory lists the views that the leader has had and the current view has not reached, the oldest first.
type lagHistory []lag

// maxLags bounds lagHistory; with a renewal every 120 ms it covers 8 s.
const maxLags = 64

// update returns the lags after the leader was seen at leaderIndex while the current view was at currentIndex.
func (l lagHistory) update(leaderIndex, currentIndex uint64, now time.Time) lagHistory {
	l = slices.DeleteFunc(slices.Clone(l), func(x lag) bool { return x.index <= currentIndex })
	n := len(l)
	switch {
	case leaderIndex <= currentIndex || n > 0 && leaderIndex <= l[n-1].index:
		return l
	case n >= maxLags:
		l[n-1].index = leaderIndex // the leader's view then counts as older than it is
		return l
	}
	return append(l, lag{since: now, index: leaderIndex})
}

// checkWatchLag cancels a watch that stays behind the leader: the watched process may be cut off from the control group,
// which its silence would reveal only after seconds.
func (h *Host) checkWatchLag(leaderIndex uint64, now time.Time) {
	currentIndex := h.config.Views.View().Index
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchLag, h.viewLags = h.watchLag.update(leaderIndex, currentIndex, now), h.viewLags.update(leaderIndex, currentIndex, now)
	switch {
	case leaderIndex <= currentIndex:
		h.laggingWatchStops = 0
	case h.watchLag.atLeast(watchLagLimit, now) && h.cancelWatch != nil && !now.Before(h.nextWatchStop):
		h.nextWatchStop = now.Add(min(maxWatchStopInterval, minWatchStopInterval<<min(h.laggingWatchStops, 10)))
		h.laggingWatchStops++
		h.cancelWatch()
	}
}

// isViewBehind reports whether the last renewal showed that the leader has a newer view than the current one.
func (h *Host) isViewBehind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.viewLags) > 0
}

// checkViewOutdated reports whether the current view is too old for another lease, and logs when it becomes so.
func (h *Host) checkViewOutdated(now time.Time) bool {
	h.mu.Lock()
	wasOutdated := h.outdated
	var oldest lag
	if len(h.viewLags) > 0 {
		oldest = h.viewLags[0]
	}
	outdated := oldest.atLeast(viewLagLimit, now)
	h.outdated = outdated
	h.mu.Unlock()
	if outdated && !wasOutdated {
		h.config.Events.Emit(event.ViewOutdated, event.Fields{
			"index": h.config.Views.View().Index, "leader": oldest.index, "age-ms": now.Sub(oldest.since).Milliseconds(),
		})
	}
	return outdated
}

// fetchPeerViews adopts the newest view of the peers in the failure domain.
func (h *Host) fetchPeerViews() {
	for _, url := range h.config.PeerURLs {
		ctx, cancel := context.WithTimeout(h.ctx, peerTimeout)
		view, err := h.config.Peers.Peer(url).View(ctx)
		cancel()
		if err == nil && h.config.Views.ReplaceIfNewer(view) {
			h.config.Events.Emit(event.ViewFromPeer, event.Fields{"index": view.Index, "peer": url})
		}
	}
}

// applyViews passes each new view to the subscribers.
func (h *Host) applyViews() {
	var lastDocument uint64
	var owned, suspended map[string]uint64
	var hosts map[string]jacinthtiller.Host
	for {
		changed := h.config.Views.Changed()
		view := h.config.Views.View()
		if view.Index > 0 {
			if view.Document != lastDocument {
				lastDocument = view.Document
				h.logDocumentFaults()
			}
			for _, f := range h.config.Subscribers {
				f.Apply(view)
			}
			h.setAppliedIndex(view.Index)
			if newOwned, newSuspended := h.ownedTargets(view), suspendedGroups(view); !maps.Equal(owned, newOwned) ||
				!maps.Equal(suspended, newSuspended) {
				owned, suspended = newOwned, newSuspended
				h.requestRenewal()
			}
			if !maps.Equal(hosts, view.Hosts) {
				hosts = view.Hosts
				h.reportHostChange(view)
			}
			h.config.Events.Emit(event.ViewApplied, event.Fields{"index": view.Index, "document": view.Document})
		}
		select {
		case <-changed:
		case <-h.ctx.Done():
			return
		}
	}
}

// reportHostChange makes the host renew its lease early if limits of accounts depend on it: their new administrators grant
// nothing until control knows that all hosts have the view in force. Changes in the meantime share a renewal. In a large
// deployment the regular renewals are as early as maxEarlyRenewals allows.
func (h *Host) reportHostChange(view jacinthtiller.View) {
	if view.Edition == nil || !view.Edition.RequiresKeys {
		return
	}
	delay := time.Duration(len(view.Hosts)) * time.Second / maxEarlyRenewals
	if delay >= renewInterval/2 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := time.Now(); !now.Before(h.hostChangeDue) {
		delay = delay/2 + rand.N(delay/2+1)
		h.hostChangeDue = now.Add(delay)
		time.AfterFunc(delay, h.requestRenewal)
	}
}

func (h *Host) setAppliedIndex(index uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = index
}

func (h *Host) appliedIndex() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.applied
}

// ownedTargets returns the epochs of the targets that the view assigns to this host, by database and target.
func (h *Host) ownedTargets(view jacinthtiller.View) map[string]uint64 {
	out := map[string]uint64{}
	if h.config.Owner == nil {
		return out
	}
	for name, d := range view.Databases {
		for _, t := range d.Targets {
			if t.Owner == h.config.Self.Name {
				out[name+"/"+t.Name] = t.Epoch
			}
		}
	}
	return out
}

// suspendedGroups returns the direct groups whose primary is being replaced, with the index at which the primary was
// taken out of service. Control replaces the primary only when every host has applied that index.
func suspendedGroups(view jacinthtiller.View) map[string]uint64 {
	out := map[string]uint64{}
	for name, d := range view.Databases {
		if d.Direct && d.Primary == "" {
			out[name] = d.PrimaryChangedIndex
		}
	}
	return out
}
