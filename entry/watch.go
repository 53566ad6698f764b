package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// watchViews keeps the view in force up to date from control, or from peers while control is away.
func (h *Host) watchViews() {
	lost := false
	for h.ctx.Err() == nil {
		err := h.config.Control.Watch(h.newWatchContext(), h.config.Views.View().Index, func(d jacinthtiller.Delta) error {
			if lost {
				lost = false
				h.config.Events.Emit(event.ControlFound, event.Fields{"index": d.Index})
			}
			h.recordControlContact()
			if !h.config.Views.Apply(d) && d.Index > h.config.Views.View().Index {
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

// newWatchContext returns the context of a new watch.
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

// lag is a view that the leader had and the view in force has not reached.
type lag struct {
	// since is when the leader had the view with the index; zero when the view in force is not behind.
	since time.Time
	index uint64
}

// update returns the lag when the leader has one view now and another is in force.
func (l lag) update(leaderIndex, currentIndex uint64, now time.Time) lag {
	switch {
	case leaderIndex <= currentIndex:
		return lag{}
	// While hosts come and go the leader is always a little ahead.
	case l.since.IsZero() || currentIndex >= l.index:
		return lag{since: now, index: leaderIndex}
	}
	return l
}

// atLeast reports whether the view in force has been behind for at least so long.
func (l lag) atLeast(limit time.Duration, now time.Time) bool {
	return !l.since.IsZero() && now.Sub(l.since) >= limit
}

// lagHistory are views that the leader had and the view in force has not reached, the oldest first.
type lagHistory []lag

// maxLags bounds lags; at a renewal each 120 ms they reach back 8 s.
const maxLags = 64

// update returns the lags when the leader has one view now and another is in force.
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

// checkWatchLag ends a watch that stays behind the leader: the process that is watched may be cut off from the group,
// which its silence would show only after seconds.
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

// isViewBehind reports whether the last renewal showed a newer view than the one in force.
func (h *Host) isViewBehind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.viewLags) > 0
}

// checkViewOutdated reports whether the view in force is too old for another lease, and logs when that begins.
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

// fetchPeerViews takes the newest view that the peers of the domain have.
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

// applyViews passes each new view to the owner.
func (h *Host) applyViews() {
	var lastDocument uint64
	var owned, suspended map[string]uint64
	for {
		changed := h.config.Views.Changed()
		view := h.config.Views.View()
		if view.Index > 0 {
			if view.Document != lastDocument {
				lastDocument = view.Document
				h.logDocumentFaults()
			}
			for _, f := range h.config.Followers {
				f.Apply(view)
			}
			h.setAppliedIndex(view.Index)
			if newOwned, newSuspended := h.ownedTargets(view), suspendedGroups(view); !maps.Equal(owned, newOwned) ||
				!maps.Equal(suspended, newSuspended) {
				owned, suspended = newOwned, newSuspended
				h.requestRenewal()
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

// ownedTargets returns the epochs of the targets that the view gives to this host, by database and target.
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

// suspendedGroups returns the direct groups whose primary is being replaced, by the index at which it was taken out of
// service. The replacement waits until every host has that index in force.
func suspendedGroups(view jacinthtiller.View) map[string]uint64 {
	out := map[string]uint64{}
	for name, d := range view.Databases {
		if d.Direct && d.Primary == "" {
			out[name] = d.Changed
		}
	}
	return out
}
