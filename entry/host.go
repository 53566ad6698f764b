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
	// renewInterval leaves three tries within one lease of 1.5 s.
	renewInterval = 400 * time.Millisecond
	// renewTimeout bounds the tries of one renewal; the client asks another control process after 250 ms.
	renewTimeout = 800 * time.Millisecond
	// catchUpInterval is the pause before a renewal after one that waits for a newer view.
	catchUpInterval = 20 * time.Millisecond
	// watchLagLimit is how long a watch may take to reach a view that the leader had: control holds messages about hosts back
	// for 50 ms, and the way between regions and a busy process take as long.
	watchLagLimit = 150 * time.Millisecond
	// viewLagLimit is how long the view in force may lack what the leader had before the host takes no further lease: with the rest
	// of a lease, 1.5 s, an edition is in force or not obeyed within the 3 s that the strictest known deployment allows.
	viewLagLimit = time.Second
	// minWatchStopInterval and maxWatchStopInterval bound the time between two watches that are given up because they are behind; it
	// doubles until one is not. Control that is overloaded is late for all hosts, and new watches would only add to its work.
	minWatchStopInterval = time.Second
	maxWatchStopInterval = 8 * time.Second
	// laggingRenewInterval is the pause before the renewal that decides whether the watch is still behind.
	laggingRenewInterval = 120 * time.Millisecond
	// retryInterval is the pause after a failed call to control.
	retryInterval = 100 * time.Millisecond
	// observeTimeout bounds the report of a target; the next announcement repeats it.
	observeTimeout = time.Second
	// forwardTimeout bounds passing an announcement on to the owner.
	forwardTimeout = 400 * time.Millisecond
	// peerTimeout bounds asking one peer for its view.
	peerTimeout = 500 * time.Millisecond
	// ownedAnnounceIntervalMilliseconds is the interval of announcements to a target's owner, which probes the target itself. At
	// 500 ms they took 5 of the 8 KB/s that control may cost a host.
	ownedAnnounceIntervalMilliseconds = 2000
	// observationQueueSize bounds the reports that wait for control; when it is full the report is dropped,
	// because the target announces itself again 500 ms later.
	observationQueueSize = 256
)

// Config is what a Host is made of.
type Config struct {
	// Self is the host as it registers; its addresses are those the listeners have.
	Self    jacinthtiller.Host
	Control jacinthtiller.Control
	Peers   jacinthtiller.Peers
	// PeerURLs are the services of other hosts of the failure domain, asked for their view when control is away.
	PeerURLs []string
	Views    *ViewStore
	// Owner takes the calls about owned targets; nil when the host owns none because all groups are direct.
	Owner *owner.Owner
	// Followers act on views and on the lease, in this order. The owner has to be among them.
	Followers []jacinthtiller.ViewFollower
	Events    *event.Log
}

// Host runs the duties of the entry role apart from serving guests. It
// implements jacinthtiller.Peer.
type Host struct {
	config     Config
	cancel     context.CancelFunc
	ctx        context.Context
	goroutines conc.WaitGroup

	// renewNow has capacity 1 and asks for a renewal at once; it is full when one has been asked for already.
	renewNow chan struct{}
	// observations carries reports to the goroutine that sends them to control.
	observations chan jacinthtiller.ObserveRequest

	mu sync.Mutex // guards the fields below
	// lease is the newest lease granted; its deadline never goes back.
	lease jacinthtiller.Lease
	// leaseEnd is the newest deadline that was granted, also after the lease has ended.
	leaseEnd time.Time
	// applied is the index of the newest view that the owner has taken; control hands a target to another
	// host only after this host has reported the index of the view that takes it away.
	applied uint64
	// cancelWatch ends the present watch; nil before the first one.
	cancelWatch context.CancelFunc
	// watchLag is what the present watch has not brought yet, and viewLags what the view in force lacks, whichever watch brought it.
	watchLag lag
	viewLags lagHistory
	// outdated is true while no lease is taken because of viewLags.
	outdated bool
	// laggingWatchStops counts the watches given up in a row because they were behind, and nextWatchStop is until when no other is.
	laggingWatchStops int
	nextWatchStop     time.Time
	// lastControlContact is when control last answered.
	lastControlContact time.Time
	// registered is true once control recorded this incarnation.
	registered bool
	// released is true once Release has been called.
	released bool
}

// Start registers the host and begins its duties.
func Start(c Config) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		config: c, ctx: ctx, cancel: cancel,
		observations: make(chan jacinthtiller.ObserveRequest, observationQueueSize), renewNow: make(chan struct{}, 1),
	}
	for name, f := range map[string]func(){
		"watch views": h.watchViews, "apply views": h.applyViews, "renew the lease": h.maintainLease, "report targets": h.sendObservations,
	} {
		h.goroutines.Go(func() { duty.Keep(h.ctx, c.Events, name, f) })
	}
	return h
}

// Close ends the duties without releasing the lease.
func (h *Host) Close() {
	h.cancel()
	h.goroutines.Wait()
}

// Release gives the lease and the ownership of targets back to control. It is called after the owner has drained.
func (h *Host) Release(ctx context.Context) error {
	h.mu.Lock()
	h.released = true
	h.lease = jacinthtiller.Lease{}
	h.mu.Unlock()
	h.publishLease(jacinthtiller.Lease{})
	r := jacinthtiller.ReleaseRequest{Host: h.config.Self.Name, Incarnation: h.config.Self.Incarnation}
	if err := h.config.Control.Release(ctx, r); err != nil {
		return fmt.Errorf("release the host's lease: %w", err)
	}
	return nil
}

// Ready reports whether the host has a view and has registered.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registered && !h.released
}

// LeaseDeadline returns the end of the newest lease, on the clock of package clock; zero when there was none.
func (h *Host) LeaseDeadline() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaseEnd
}

// RenewNow asks for a renewal before the next one is due.
func (h *Host) RenewNow() { h.requestRenewal() }

// pause waits for d or the end of the host.
func (h *Host) pause(d time.Duration) { h.wait(d, nil) }

// wait waits for d, for early, which may be nil, or for the end of the host.
func (h *Host) wait(d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-h.ctx.Done():
	}
}

// Announce takes a target's announcement: the owner uses it, any other host passes it on.
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
	if h.config.Owner.Announced(a) {
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

// queueObservation reports to control what an announcement adds to the view.
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

// needsObservation reports whether control should hear of the announcement.
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
	return !ok || o.Gone
}

// sendObservations sends observations to control, one after another.
func (h *Host) sendObservations() {
	for {
		select {
		case r := <-h.observations:
			ctx, cancel := context.WithTimeout(h.ctx, observeTimeout)
			if err := h.config.Control.Observe(ctx, r); err != nil && h.ctx.Err() == nil {
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

// WaitPosition waits until a replica that this host owns reaches a position.
func (h *Host) WaitPosition(ctx context.Context, r jacinthtiller.WaitPositionRequest) (jacinthtiller.WaitPositionResponse, error) {
	return h.config.Owner.WaitPosition(ctx, r)
}

// Mark gives the marks of guests for a primary that this host owns.
func (h *Host) Mark(ctx context.Context, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	return h.config.Owner.Mark(ctx, r)
}

// View returns the view in force.
func (h *Host) View(context.Context) (jacinthtiller.View, error) { return h.config.Views.View(), nil }

// State is a Host's part of a process's dump.
type State struct {
	Host          jacinthtiller.Host `json:"host"`
	Index         uint64             `json:"index"`
	Document      uint64             `json:"document"`
	LeaseDeadline time.Time          `json:"lease-deadline"`
	ControlSeen   time.Time          `json:"control-seen"`
	Registered    bool               `json:"registered"`
	View          jacinthtiller.View `json:"view"`
}

// Dump returns the host's state. The text of sections is left out, because it holds password verifiers.
func (h *Host) Dump() State {
	view := h.config.Views.View().WithoutTexts()
	h.mu.Lock()
	defer h.mu.Unlock()
	return State{
		Host: h.config.Self, Index: view.Index, Document: view.Document, LeaseDeadline: h.lease.Deadline,
		ControlSeen: h.lastControlContact, Registered: h.registered, View: view,
	}
}
