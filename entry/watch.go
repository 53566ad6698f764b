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

// follow keeps the view in force up to date from control, or from peers while control is away.
func (h *Host) follow() {
	lost := false
	for h.ctx.Err() == nil {
		err := h.config.Control.Watch(h.beginWatch(), h.config.Views.View().Index, func(d jacinthtiller.Delta) error {
			if lost {
				lost = false
				h.config.Events.Emit(event.ControlFound, event.Fields{"index": d.Index})
			}
			h.sawControl()
			if !h.config.Views.Apply(d) && d.Index > h.config.Views.View().Index {
				return fmt.Errorf("delta from index %d does not apply", d.From)
			}
			return nil
		})
		if h.ctx.Err() != nil {
			return
		}
		if err == nil {
			continue // a nearer control process is known
		}
		if !lost {
			lost = true
			h.config.Events.Emit(event.ControlLost, event.Fields{
				"index": h.config.Views.View().Index, "fault": fmt.Sprint(err),
			})
		}
		h.askPeers()
		h.pause(retryInterval)
	}
}

// beginWatch returns the context of a new watch.
func (h *Host) beginWatch() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopWatch != nil {
		h.stopWatch()
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.stopWatch, h.watchLag = cancel, lag{}
	return ctx
}

// lag is a view that the leader had and the view in force has not reached.
type lag struct {
	// since is when the leader had the view with the index; zero when the view in force is not behind.
	since time.Time
	index uint64
}

// after returns the lag when the leader has one view now and another is in force.
func (l lag) after(leader, inForce uint64, now time.Time) lag {
	switch {
	case leader <= inForce:
		return lag{}
	// While hosts come and go the leader is always a little ahead.
	case l.since.IsZero() || inForce >= l.index:
		return lag{since: now, index: leader}
	}
	return l
}

// longer reports whether the view in force has been behind for at least so long.
func (l lag) longer(limit time.Duration, now time.Time) bool {
	return !l.since.IsZero() && now.Sub(l.since) >= limit
}

// lags are views that the leader had and the view in force has not reached, the oldest first.
type lags []lag

// keptLags bounds lags; at a renewal each 120 ms they reach back 8 s.
const keptLags = 64

// after returns the lags when the leader has one view now and another is in force.
func (l lags) after(leader, inForce uint64, now time.Time) lags {
	l = slices.DeleteFunc(slices.Clone(l), func(x lag) bool { return x.index <= inForce })
	n := len(l)
	switch {
	case leader <= inForce || n > 0 && leader <= l[n-1].index:
		return l
	case n >= keptLags:
		l[n-1].index = leader // the view counts as older than it is
		return l
	}
	return append(l, lag{since: now, index: leader})
}

// compareView ends a watch that stays behind the leader: the process that is watched may be cut off from the group,
// which its silence would show only after seconds.
func (h *Host) compareView(leader uint64, now time.Time) {
	index := h.config.Views.View().Index
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchLag, h.viewLags = h.watchLag.after(leader, index, now), h.viewLags.after(leader, index, now)
	switch {
	case leader <= index:
		h.behindStops = 0
	case h.watchLag.longer(behindLimit, now) && h.stopWatch != nil && !now.Before(h.behindUntil):
		h.behindUntil = now.Add(min(longestBehindPause, behindPause<<min(h.behindStops, 10)))
		h.behindStops++
		h.stopWatch()
	}
}

// isBehind reports whether the last renewal showed a newer view than the one in force.
func (h *Host) isBehind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.viewLags) > 0
}

// viewOutdated reports whether the view in force is too old for another lease, and logs when that begins.
func (h *Host) viewOutdated(now time.Time) bool {
	h.mu.Lock()
	was := h.outdated
	var l lag
	if len(h.viewLags) > 0 {
		l = h.viewLags[0]
	}
	outdated := l.longer(viewLimit, now)
	h.outdated = outdated
	h.mu.Unlock()
	if outdated && !was {
		h.config.Events.Emit(event.ViewOutdated, event.Fields{
			"index": h.config.Views.View().Index, "leader": l.index, "age-ms": now.Sub(l.since).Milliseconds(),
		})
	}
	return outdated
}

// askPeers takes the newest view that the peers of the domain have.
func (h *Host) askPeers() {
	for _, url := range h.config.PeerURLs {
		ctx, cancel := context.WithTimeout(h.ctx, peerTimeout)
		view, err := h.config.Peers.Peer(url).View(ctx)
		cancel()
		if err == nil && h.config.Views.Offer(view) {
			h.config.Events.Emit(event.ViewFromPeer, event.Fields{"index": view.Index, "peer": url})
		}
	}
}

// apply passes each new view to the owner.
func (h *Host) apply() {
	var seen uint64
	var owned, suspended map[string]uint64
	for {
		changed := h.config.Views.Changed()
		view := h.config.Views.View()
		if view.Index > 0 {
			if view.Document != seen {
				seen = view.Document
				h.reportFaults()
			}
			for _, f := range h.config.Followers {
				f.Apply(view)
			}
			h.noteApplied(view.Index)
			if now, gone := h.owned(view), withoutPrimary(view); !maps.Equal(owned, now) || !maps.Equal(suspended, gone) {
				owned, suspended = now, gone
				h.askRenewal()
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

func (h *Host) noteApplied(index uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = index
}

func (h *Host) appliedIndex() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.applied
}

// owned returns the epochs of the targets that the view gives to this host, by database and target.
func (h *Host) owned(view jacinthtiller.View) map[string]uint64 {
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

// withoutPrimary returns the direct groups whose primary is being replaced, by the index at which it was taken out of
// service. The replacement waits until every host has that index in force.
func withoutPrimary(view jacinthtiller.View) map[string]uint64 {
	out := map[string]uint64{}
	for name, d := range view.Databases {
		if d.Direct && d.Primary == "" {
			out[name] = d.Changed
		}
	}
	return out
}
