package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/owner"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// renewInterval leaves time for three attempts within one lease of 1.5 s.
	renewInterval = 400 * time.Millisecond
	// renewTimeout bounds all attempts of one renewal; the client tries another control process after 250 ms.
	renewTimeout = 800 * time.Millisecond
	// catchUpInterval is the pause after a renewal that granted no lease because this host lacks the view of its
	// registration.
	catchUpInterval = 20 * time.Millisecond
	// watchLagLimit is how long a watch may take to deliver a view that the leader has: control delays updates about hosts
	// by 50 ms, and the latency between regions and of a busy process adds as much.
	watchLagLimit = 150 * time.Millisecond
	// viewLagLimit is how long the current view may be behind the leader before the host takes no further lease. Together
	// with the rest of a lease, 1.5 s, this ensures that within the 3 s that the strictest known deployment allows, the host
	// either applies a new edition or has no lease.
	viewLagLimit = time.Second
	// minWatchStopInterval and maxWatchStopInterval bound the time between two watches that are cancelled because they lag; it
	// doubles until a watch keeps up. An overloaded control process is late for all hosts, and new watches would add load.
	minWatchStopInterval = time.Second
	maxWatchStopInterval = 8 * time.Second
	// maxEarlyRenewals bounds the renewals a second, of all hosts together, that report a change of hosts. Control sends each of
	// them to the leader at once, because it tells of a new view in force; with 300 hosts at 10 a second each, the leader did
	// not keep up with a mass registration.
	maxEarlyRenewals = 800
	// laggingRenewInterval is the pause before the next renewal while the current view is behind; that renewal shows whether
	// it still is.
	laggingRenewInterval = 120 * time.Millisecond
	// retryInterval is the pause after a failed call to control.
	retryInterval = 100 * time.Millisecond
	// observeTimeout bounds the report of one announcement to control; the next announcement repeats the report.
	observeTimeout = time.Second
	// forwardTimeout bounds forwarding an announcement to the owner.
	forwardTimeout = 400 * time.Millisecond
	// peerTimeout bounds the request for one peer's view.
	peerTimeout = 500 * time.Millisecond
	// ownedAnnounceIntervalMilliseconds is the interval of announcements to a target's owner, which probes the target itself.
	// At 500 ms they took 5 of the 8 KB/s that control may cost a host.
	ownedAnnounceIntervalMilliseconds = 2000
	// observationQueueSize bounds the reports that wait for control. When the queue is full, a report is dropped,
	// because the target announces itself again 500 ms later.
	observationQueueSize = 256
)

// Config configures a Host.
type Config struct {
	// Self is the host as it registers, with the addresses of its listeners.
	Self    jacinthtiller.Host
	Control jacinthtiller.Control
	Peers   jacinthtiller.Peers
	// PeerURLs are other hosts of the failure domain, asked for their view when control is unreachable.
	PeerURLs []string
	Views    *ViewStore
	// Owner handles the calls about owned targets; nil when the host owns none because all groups are direct.
	Owner *owner.Owner
	// Subscribers receive each view and lease in the order of this slice. The owner has to be among them.
	Subscribers []jacinthtiller.ViewSubscriber
	// AcknowledgedCommits returns what the host knows of acknowledged commits; nil if it serves no direct groups.
	AcknowledgedCommits func() []jacinthtiller.AcknowledgedCommits
	Events              *event.Log
}

// acknowledged returns what the host knows of acknowledged commits.
func (c Config) acknowledged() []jacinthtiller.AcknowledgedCommits {
	if c.AcknowledgedCommits == nil {
		return nil
	}
	return c.AcknowledgedCommits()
}

// Host runs the background work of the entry role and handles the calls of peers.
// Guests are served elsewhere. Host implements jacinthtiller.Peer.
type Host struct {
	config     Config
	cancel     context.CancelFunc
	ctx        context.Context
	goroutines conc.WaitGroup

	// renewNow requests an immediate renewal. It has capacity 1 and is full while a request is pending.
	renewNow chan struct{}
	// observations queues reports of announcements for sendObservations.
	observations chan jacinthtiller.ObserveRequest

	publishMu sync.Mutex // held while lease changes and is published, so that both happen in the same order

	mu sync.Mutex // guards the fields below
	// lease is the newest lease granted; its deadline never moves back.
	lease jacinthtiller.Lease
	// leaseEnd is the newest deadline that was granted, also after the lease has ended.
	leaseEnd time.Time
	// hostChangeDue is when the renewal that reports the last change of hosts is made.
	hostChangeDue time.Time
	// settledIndex is the highest index that control has sent as Lease.SettledIndex.
	settledIndex uint64
	// applied is the index of the newest view that the subscribers have applied. Control assigns a target to another
	// host only after this host has reported the index of the view that takes the target away.
	applied uint64
	// cancelWatch ends the current watch; nil before the first one.
	cancelWatch context.CancelFunc
	// watchLag is how far the current watch is behind the leader, and viewLags how far the current view is, whichever watch
	// delivered it.
	watchLag lag
	viewLags lagHistory
	// outdated is true while the host takes no lease because of viewLags.
	outdated bool
	// laggingWatchStops counts the consecutive watches that were cancelled because they lagged; no further one is cancelled
	// before nextWatchStop.
	laggingWatchStops int
	nextWatchStop     time.Time
	// lastControlContact is when control last answered a renewal or sent a delta.
	lastControlContact time.Time
	// registered is true once control has recorded this incarnation.
	registered bool
	// released is true once Release has been called.
	released bool
}

// Start starts the background work of a host, which registers the host with control.
func Start(c Config) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		config: c, ctx: ctx, cancel: cancel,
		observations: make(chan jacinthtiller.ObserveRequest, observationQueueSize), renewNow: make(chan struct{}, 1),
	}
	for name, f := range map[string]func(){
		"watch views": h.watchViews, "apply views": h.applyViews, "renew the lease": h.maintainLease, "report targets": h.sendObservations,
	} {
		h.goroutines.Go(func() { duty.RunWithRestart(h.ctx, c.Events, name, f) })
	}
	return h
}

// Close stops the background work without releasing the lease.
func (h *Host) Close() {
	h.cancel()
	h.goroutines.Wait()
}

// Release returns the lease and the ownership of targets to control. It is called after the owner has drained.
func (h *Host) Release(ctx context.Context) error {
	h.publishMu.Lock()
	h.mu.Lock()
	h.released = true
	h.lease = jacinthtiller.Lease{}
	h.mu.Unlock()
	h.publishLease(jacinthtiller.Lease{})
	h.publishMu.Unlock()
	r := jacinthtiller.ReleaseRequest{
		Host: h.config.Self.Name, Incarnation: h.config.Self.Incarnation, Acknowledged: h.config.acknowledged(),
	}
	if err := h.config.Control.Release(ctx, r); err != nil {
		return fmt.Errorf("release the host's lease: %w", err)
	}
	return nil
}

// Ready reports whether the host is registered, has applied a view, and has not been released.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registered && h.applied > 0 && !h.released
}

// LeaseDeadline returns the end of the newest lease, on the clock of package clock; zero if there has been none.
func (h *Host) LeaseDeadline() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaseEnd
}

// RenewNow requests an immediate renewal of the lease.
func (h *Host) RenewNow() { h.requestRenewal() }

// pause waits for d or until the host is closed.
func (h *Host) pause(d time.Duration) { h.wait(d, nil) }

// wait waits for d, for a value from wake, which may be nil, or until the host is closed.
func (h *Host) wait(d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-h.ctx.Done():
	}
}

// Announce handles a target's announcement: the owner uses it, any other host forwards it to the owner.
func (h *Host) Announce(ctx context.Context, a jacinthtiller.Announcement) (jacinthtiller.AnnounceResponse, error) {
	if err := a.Validate(); err != nil {
		h.config.Events.Emit(event.AnnouncementRefused, event.Fields{"target": a.Target, "fault": err.Error()})
		return jacinthtiller.AnnounceResponse{}, wire.InvalidArgument(err)
	}
	if a.Domain != h.config.Self.Domain && !a.Forwarded {
		err := fmt.Errorf("target %s of failure domain %s announces itself to a host of %s",
			a.Target, a.Domain, h.config.Self.Domain)
		h.config.Events.Emit(event.AnnouncementRefused, event.Fields{"target": a.Target, "fault": err.Error()})
		return jacinthtiller.AnnounceResponse{}, wire.InvalidArgument(err)
	}
	view := h.config.Views.View()
	if h.config.Owner.HandleAnnouncement(a) {
		h.queueObservation(view, a, false)
		r := jacinthtiller.AnnounceResponse{Owner: h.config.Self.RPC}
		if !needsObservation(view, a) {
			r.NextMilliseconds = ownedAnnounceIntervalMilliseconds
		}
		return r, nil
	}
	ownerHost, ok := view.Owner(a.Database, a.Target)
	if !ok || a.Forwarded || ownerHost.Name == h.config.Self.Name {
		h.queueObservation(view, a, false)
		return jacinthtiller.AnnounceResponse{}, nil
	}
	forwarded := a
	forwarded.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r, err := h.config.Peers.Peer(ownerHost.RPC).Announce(ctx, forwarded)
	h.queueObservation(view, a, err != nil)
	return r, nil
}

// queueObservation queues a report of the announcement to control, if it differs from the view or the owner is unreachable.
// It drops the report when the queue is full.
func (h *Host) queueObservation(view jacinthtiller.View, a jacinthtiller.Announcement, ownerUnreachable bool) {
	if !ownerUnreachable && !needsObservation(view, a) {
		return
	}
	select {
	case h.observations <- jacinthtiller.ObserveRequest{
		Host: h.config.Self.Name, Announcement: a, OwnerUnreachable: ownerUnreachable,
	}:
	default:
	}
}

// needsObservation reports whether the announcement differs from the view, so that control has to learn of it.
func needsObservation(view jacinthtiller.View, a jacinthtiller.Announcement) bool {
	d, ok := view.Databases[a.Database]
	if !ok || d.Primary == "" || a.GroupSize > d.GroupSize {
		return true
	}
	t, ok := d.Targets[a.Target]
	if !ok || t.Owner == "" || t.Lost || t.State != a.State || t.Address != a.Address || t.Domain != a.Domain {
		return true
	}
	o, ok := view.Hosts[t.Owner]
	return !ok || o.LeaseEnded
}

// sendObservations sends the queued reports to control, one after another.
func (h *Host) sendObservations() {
	for {
		select {
		case r := <-h.observations:
			ctx, cancel := context.WithTimeout(h.ctx, observeTimeout)
			if err := h.config.Control.ReportObservation(ctx, r); err != nil && h.ctx.Err() == nil {
				h.config.Events.Emit(event.ObserveFailed, event.Fields{
					"target": r.Announcement.Target, "fault": err.Error(),
				})
			}
			cancel()
		case <-h.ctx.Done():
			return
		}
	}
}

// Fence fences a target that this host owns.
func (h *Host) Fence(ctx context.Context, r jacinthtiller.FenceRequest) (jacinthtiller.FenceResponse, error) {
	return h.config.Owner.Fence(ctx, r)
}

// WaitPosition waits until a replica that this host owns has reached a position.
func (h *Host) WaitPosition(ctx context.Context, r jacinthtiller.WaitPositionRequest) (jacinthtiller.WaitPositionResponse, error) {
	return h.config.Owner.WaitPosition(ctx, r)
}

// Mark returns the marks of guests for a primary that this host owns.
func (h *Host) Mark(ctx context.Context, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	return h.config.Owner.Mark(ctx, r)
}

// View returns the current view.
func (h *Host) View(context.Context) (jacinthtiller.View, error) { return h.config.Views.View(), nil }

// State is the part of a process's dump that describes a Host.
type State struct {
	Host          jacinthtiller.Host `json:"host"`
	Index         uint64             `json:"index"`
	Document      uint64             `json:"document"`
	LeaseDeadline time.Time          `json:"lease-deadline"`
	ControlSeen   time.Time          `json:"control-seen"`
	Registered    bool               `json:"registered"`
	View          jacinthtiller.View `json:"view"`
}

// Dump returns the host's state. The text of sections is omitted, because it contains password verifiers.
func (h *Host) Dump() State {
	view := h.config.Views.View().WithoutTexts()
	h.mu.Lock()
	defer h.mu.Unlock()
	return State{
		Host: h.config.Self, Index: view.Index, Document: view.Document, LeaseDeadline: h.lease.Deadline,
		ControlSeen: h.lastControlContact, Registered: h.registered, View: view,
	}
}
