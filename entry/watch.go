package entry

import (
	"context"
	"fmt"
	"maps"
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
	h.stopWatch, h.behindSince = cancel, time.Time{}
	return ctx
}

// compareView ends a watch that stays behind the leader: the process that is watched may be cut off from the group,
// which its silence would show only after seconds.
func (h *Host) compareView(leader uint64, now time.Time) {
	index := h.config.Views.View().Index
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case leader <= index:
		h.behindSince, h.behindStops = time.Time{}, 0
	// While hosts come and go the leader is always a little ahead. The watch works as long as it reaches what the leader had.
	case h.behindSince.IsZero() || index >= h.behindIndex:
		h.behindSince, h.behindIndex = now, leader
	case now.Sub(h.behindSince) >= behindLimit && h.stopWatch != nil && !now.Before(h.behindUntil):
		h.behindUntil = now.Add(min(longestBehindPause, behindPause<<min(h.behindStops, 10)))
		h.behindStops++
		h.stopWatch()
	}
}

// isBehind reports whether the last renewal showed a newer view than the one in force.
func (h *Host) isBehind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.behindSince.IsZero()
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
