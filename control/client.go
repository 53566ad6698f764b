package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// callTimeout bounds one attempt, so that a process that hangs does not use up the caller's deadline.
	callTimeout = 500 * time.Millisecond
	// renewTimeout bounds one attempt to renew; four of them fit into a lease when the leader cannot be reached. While
	// control is busy it grows up to maxRenewTimeout, which leaves half of a lease.
	renewTimeout    = 250 * time.Millisecond
	maxRenewTimeout = 800 * time.Millisecond
	// lostTimeout bounds one attempt to report a lost target. It is short because a promotion waits for the report,
	// which is idempotent.
	lostTimeout = 250 * time.Millisecond
	// slowCallTimeout bounds an attempt that may have to wait for a lease to end.
	slowCallTimeout = 2*Lease + callTimeout
	// retryDelay is the delay after a round of attempts that found no leader.
	retryDelay = 50 * time.Millisecond
	// watchIdleTimeout ends a watch that receives no message; it tolerates three missing heartbeats.
	watchIdleTimeout = 4 * heartbeatInterval
)

// Client calls the control group and implements jacinthtiller.Control. Renewals and watches, which every process
// answers, go to the nearest available process; other calls go to the leader.
type Client struct {
	http *http.Client
	// domain and region are the client's location; empty when distances are not considered.
	domain, region string
	group          conc.WaitGroup
	events         *event.Log

	mu sync.Mutex // guards the fields below
	// picker knows the processes, including those learned from redirects.
	picker *picker
	// renewTimeouts adapts the timeout of renewals.
	renewTimeouts adaptiveTimeout
	// fetchingLocation is true while a process is asked for its location.
	fetchingLocation bool
	// watchedURL is the process of the open watch, and cancelWatch ends that watch in favour of a nearer process; zero
	// without a watch.
	watchedURL  string
	cancelWatch context.CancelCauseFunc
	endpoints   map[string]*endpoint
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithClientLocation sets the client's location; the client prefers processes of its failure domain, then of its region.
func WithClientLocation(domain, region string) ClientOption {
	return func(c *Client) { c.domain, c.region = domain, region }
}

// WithClientEvents sets the event log.
func WithClientEvents(l *event.Log) ClientOption { return func(c *Client) { c.events = l } }

// endpoint holds the RPC clients of one control process.
type endpoint struct {
	register       *connect.Client[jacinthtiller.Host, jacinthtiller.RegisterResponse]
	renew          *connect.Client[jacinthtiller.RenewRequest, jacinthtiller.RenewResponse]
	release        *connect.Client[jacinthtiller.ReleaseRequest, wire.Empty]
	observe        *connect.Client[jacinthtiller.ObserveRequest, wire.Empty]
	lost           *connect.Client[jacinthtiller.LostRequest, wire.Empty]
	overload       *connect.Client[jacinthtiller.OverloadReport, wire.Empty]
	watch          *connect.Client[WatchRequest, jacinthtiller.Delta]
	sectionGet     *connect.Client[SectionGetRequest, SectionGetResponse]
	sectionApply   *connect.Client[SectionApplyRequest, SectionApplyResponse]
	sectionHistory *connect.Client[SectionHistoryRequest, SectionHistoryResponse]
	join           *connect.Client[JoinRequest, JoinResponse]
	location       *connect.Client[wire.Empty, LocationResponse]
	status         *connect.Client[wire.Empty, StatusResponse]
	members        *connect.Client[wire.Empty, MembersResponse]
	memberChange   *connect.Client[MemberChangeRequest, MembersResponse]
	movePrimary    *connect.Client[MovePrimaryRequest, MovePrimaryResponse]
	targetLeave    *connect.Client[TargetLeaveRequest, wire.Empty]
}

func newEndpoint(h *http.Client, url string) *endpoint {
	o := wire.ClientOptions()
	return &endpoint{
		register:       connect.NewClient[jacinthtiller.Host, jacinthtiller.RegisterResponse](h, url+wire.ProcRegister, o...),
		renew:          connect.NewClient[jacinthtiller.RenewRequest, jacinthtiller.RenewResponse](h, url+wire.ProcRenew, o...),
		release:        connect.NewClient[jacinthtiller.ReleaseRequest, wire.Empty](h, url+wire.ProcRelease, o...),
		observe:        connect.NewClient[jacinthtiller.ObserveRequest, wire.Empty](h, url+wire.ProcObserve, o...),
		overload:       connect.NewClient[jacinthtiller.OverloadReport, wire.Empty](h, url+wire.ProcOverload, o...),
		lost:           connect.NewClient[jacinthtiller.LostRequest, wire.Empty](h, url+wire.ProcLost, o...),
		watch:          connect.NewClient[WatchRequest, jacinthtiller.Delta](h, url+wire.ProcWatch, o...),
		sectionGet:     connect.NewClient[SectionGetRequest, SectionGetResponse](h, url+wire.ProcSectionGet, o...),
		sectionApply:   connect.NewClient[SectionApplyRequest, SectionApplyResponse](h, url+wire.ProcSectionApply, o...),
		sectionHistory: connect.NewClient[SectionHistoryRequest, SectionHistoryResponse](h, url+wire.ProcSectionHistory, o...),
		join:           connect.NewClient[JoinRequest, JoinResponse](h, url+wire.ProcJoin, o...),
		location:       connect.NewClient[wire.Empty, LocationResponse](h, url+wire.ProcPlace, o...),
		status:         connect.NewClient[wire.Empty, StatusResponse](h, url+wire.ProcStatus, o...),
		members:        connect.NewClient[wire.Empty, MembersResponse](h, url+wire.ProcMembers, o...),
		memberChange:   connect.NewClient[MemberChangeRequest, MembersResponse](h, url+wire.ProcMemberChange, o...),
		movePrimary:    connect.NewClient[MovePrimaryRequest, MovePrimaryResponse](h, url+wire.ProcMovePrimary, o...),
		targetLeave:    connect.NewClient[TargetLeaveRequest, wire.Empty](h, url+wire.ProcTargetLeave, o...),
	}
}

// NewClient returns a client of the control processes at the URLs. A nil HTTP client means wire.NewHTTPClient.
func NewClient(urls []string, client *http.Client, opts ...ClientOption) *Client {
	if client == nil {
		client = wire.NewHTTPClient()
	}
	// A random offset spreads the hosts over the group.
	c := &Client{http: client, picker: newPicker(urls, rand.IntN(len(urls)+1)), endpoints: map[string]*endpoint{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// endpointFor returns the endpoint and URL of the process that choose returns; nil when no process is known.
func (c *Client) endpointFor(choose func(p *picker, now time.Time) string) (*endpoint, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	url := choose(c.picker, time.Now())
	if url == "" {
		return nil, ""
	}
	e, ok := c.endpoints[url]
	if !ok {
		e = newEndpoint(c.http, url)
		c.endpoints[url] = e
	}
	return e, url
}

// updatePicker applies a change to the picker under the lock.
func (c *Client) updatePicker(change func(p *picker, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.picker, time.Now())
}

// recordOutcome records the outcome of an attempt in the picker. leader is the leader that a refusal names; it is empty
// for other outcomes. viaNearest is true for an attempt at the nearest process, which may have forwarded the call.
func (c *Client) recordOutcome(url string, err error, leader string, viaNearest bool) {
	c.updatePicker(func(p *picker, now time.Time) {
		switch {
		case err == nil && !viaNearest:
			p.markAvailable(url)
			p.setLeader(url)
		case err == nil:
			p.markAvailable(url)
		case leader == leaderUnknown:
			p.markLeaderless(url, now)
		case leader != "" && viaNearest:
			p.markFailed(url, now) // the process could not reach the leader
			p.setLeaderHint(leader, now)
		case leader != "":
			p.markAvailable(url)
			p.setLeaderHint(leader, now)
		case retryable(err):
			// A process that did not answer before the deadline may be partitioned, so it is not asked first again.
			p.markFailed(url, now)
		}
	})
}

// errNoProcess reports that the client has no process to ask.
var errNoProcess = errors.New("no control process is known")

// callLeader calls the leader; see callWithRetry.
func (c *Client) callLeader(ctx context.Context, timeout time.Duration, idempotent bool, attempt func(context.Context, *endpoint) error) error {
	return c.callWithRetry(ctx, timeout, idempotent, false, attempt)
}

// callWithRetry makes attempts until one succeeds, fails permanently or ctx ends. A call that is not idempotent is
// retried only after a refusal that proves that it did not run. With preferNearest, the first attempt goes to the
// nearest process and the others to the leader.
func (c *Client) callWithRetry(ctx context.Context, timeout time.Duration, idempotent, preferNearest bool, attempt func(context.Context, *endpoint) error) error {
	for attempts := 1; ; attempts++ {
		choose := (*picker).leaderOrNearest
		if preferNearest {
			choose = (*picker).nearest
		}
		e, url := c.endpointFor(choose)
		if e == nil {
			return errNoProcess
		}
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		err := attempt(attemptCtx, e)
		cancel()
		leader := leaderFromError(err)
		c.recordOutcome(url, err, leader, preferNearest)
		if err == nil {
			return nil
		}
		preferNearest = false
		if ctx.Err() != nil || leader == "" && (!idempotent || !retryable(err)) {
			return err
		}
		if leader == leaderUnknown || leader == "" || attempts%4 == 0 {
			select {
			case <-ctx.Done():
				return err
			case <-time.After(retryDelay):
			}
			// When the pause ends with the time of the call, ctx may not have ended yet; another attempt would hide the cause.
			if end, ok := ctx.Deadline(); ok && !time.Now().Before(end) {
				return err
			}
		}
	}
}

// leaderFromError returns the URL of the leader, or leaderUnknown, from the refusal of a process that does not lead;
// empty for other errors.
func leaderFromError(err error) string {
	var e *connect.Error
	if errors.As(err, &e) {
		return e.Meta().Get(leaderHeader)
	}
	return ""
}

// retryable reports whether another attempt, possibly at another process, may succeed after the error.
func retryable(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodePermissionDenied, connect.CodeFailedPrecondition, connect.CodeUnimplemented:
		return false
	}
	return true
}

// Register registers the host, once the lease of a former process of the same name has ended.
func (c *Client) Register(ctx context.Context, h jacinthtiller.Host) (jacinthtiller.RegisterResponse, error) {
	var out jacinthtiller.RegisterResponse
	err := c.callLeader(ctx, slowCallTimeout, true, func(ctx context.Context, e *endpoint) error {
		r, err := e.register.CallUnary(ctx, connect.NewRequest(&h))
		if err != nil {
			return fmt.Errorf("register host %s: %w", h.Name, err)
		}
		out = *r.Msg
		return nil
	})
	return out, err
}

// Renew renews the host's lease. It asks the nearest process, which forwards the request when it does not lead. The
// members in the answer replace the known processes.
func (c *Client) Renew(ctx context.Context, m jacinthtiller.RenewRequest) (jacinthtiller.RenewResponse, error) {
	var timeout time.Duration
	var began time.Time
	c.updatePicker(func(p *picker, _ time.Time) {
		m.Members = fingerprint(p.urls)
		timeout = c.renewTimeouts.next(renewTimeout, maxRenewTimeout)
	})
	var out jacinthtiller.RenewResponse
	err := c.callWithRetry(ctx, timeout, true, true, func(ctx context.Context, e *endpoint) error {
		began = time.Now()
		r, err := e.renew.CallUnary(ctx, connect.NewRequest(&m))
		if err != nil {
			return fmt.Errorf("renew lease of %s: %w", m.Host, err)
		}
		out = *r.Msg
		return nil
	})
	c.updatePicker(func(p *picker, now time.Time) {
		c.renewTimeouts = c.renewTimeouts.recorded(err != nil, began, now)
		if err == nil && len(out.Members) > 0 {
			p.replace(out.Members)
		}
	})
	if err == nil {
		c.fetchNextLocation()
		c.mu.Lock()
		c.switchToNearer()
		c.mu.Unlock()
	}
	return out, err
}

// fetchNextLocation asks one process of unknown location for it, in the background. When that process is nearer than the
// watched one, the watch moves to it.
func (c *Client) fetchNextLocation() {
	if c.domain == "" {
		return
	}
	c.mu.Lock()
	url := c.picker.nextUnknownDistance(time.Now())
	starts := url != "" && !c.fetchingLocation
	c.fetchingLocation = c.fetchingLocation || starts
	c.mu.Unlock()
	if !starts {
		return
	}
	c.group.Go(func() {
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.fetchingLocation = false
		}()
		duty.Run(c.events, "fetch the location of a control process", nil, func() { c.fetchLocation(url) })
	})
}

// fetchLocation asks a process for its location and records the distance.
func (c *Client) fetchLocation(url string) {
	e, _ := c.endpointFor(func(*picker, time.Time) string { return url })
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := e.location.CallUnary(ctx, connect.NewRequest(&wire.Empty{}))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.picker.markFailed(url, time.Now())
		return
	}
	d := distanceFar
	switch {
	case r.Msg.Domain == c.domain:
		d = distanceDomain
	case r.Msg.Region == c.region && c.region != "":
		d = distanceRegion
	}
	c.picker.distances[url] = d
	c.switchToNearer()
}

// switchToNearer ends the watch if an available process is nearer than the watched one. The caller holds c.mu.
func (c *Client) switchToNearer() {
	if c.cancelWatch == nil {
		return
	}
	if near := c.picker.nearest(time.Now()); c.picker.distance(near) < c.picker.distance(c.watchedURL) {
		c.cancelWatch(errNearerProcess)
	}
}

// Release gives up the host's lease and targets. It is idempotent.
func (c *Client) Release(ctx context.Context, m jacinthtiller.ReleaseRequest) error {
	return c.callLeader(ctx, callTimeout, true, func(ctx context.Context, e *endpoint) error {
		if _, err := e.release.CallUnary(ctx, connect.NewRequest(&m)); err != nil {
			return fmt.Errorf("release host %s: %w", m.Host, err)
		}
		return nil
	})
}

// ReportObservation reports a target's announcement.
func (c *Client) ReportObservation(ctx context.Context, m jacinthtiller.ObserveRequest) error {
	return c.callLeader(ctx, callTimeout, true, func(ctx context.Context, e *endpoint) error {
		if _, err := e.observe.CallUnary(ctx, connect.NewRequest(&m)); err != nil {
			return fmt.Errorf("observe target %s: %w", m.Announcement.Target, err)
		}
		return nil
	})
}

// ReportLost reports a target as lost. It is idempotent, because a repeated report names a past epoch or a lost target.
func (c *Client) ReportLost(ctx context.Context, m jacinthtiller.LostRequest) error {
	return c.callLeader(ctx, lostTimeout, true, func(ctx context.Context, e *endpoint) error {
		if _, err := e.lost.CallUnary(ctx, connect.NewRequest(&m)); err != nil {
			return fmt.Errorf("report target %s as lost: %w", m.Target, err)
		}
		return nil
	})
}

// ReportOverload reports that the host refuses requests for a database. A report that is lost is followed by the next one.
func (c *Client) ReportOverload(ctx context.Context, m jacinthtiller.OverloadReport) error {
	return c.callLeader(ctx, callTimeout, true, func(ctx context.Context, e *endpoint) error {
		if _, err := e.overload.CallUnary(ctx, connect.NewRequest(&m)); err != nil {
			return fmt.Errorf("report the overload of database %s: %w", m.Database, err)
		}
		return nil
	})
}

// Watch calls apply for each delta until the stream fails or ctx ends. A delta whose From equals its Index is a
// heartbeat. Watch returns nil when a nearer process has become known, which the next call watches; after an error the
// next call watches another process.
func (c *Client) Watch(ctx context.Context, from uint64, apply func(jacinthtiller.Delta) error) error {
	e, url := c.endpointFor((*picker).nearest)
	if e == nil {
		return errNoProcess
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.setWatch(url, cancel)
	defer c.setWatch("", nil)
	err := e.streamDeltas(ctx, cancel, from, apply)
	if errors.Is(context.Cause(ctx), errNearerProcess) {
		return nil
	}
	c.updatePicker(func(p *picker, now time.Time) { p.markFailed(url, now) })
	return err
}

func (c *Client) setWatch(url string, cancel context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedURL, c.cancelWatch = url, cancel
}

// streamDeltas watches the process until the stream fails or ctx ends; cancel ends ctx.
func (e *endpoint) streamDeltas(ctx context.Context, cancel context.CancelCauseFunc, from uint64, apply func(jacinthtiller.Delta) error) error {
	idle := time.AfterFunc(watchIdleTimeout, func() { cancel(errNoHeartbeat) })
	defer idle.Stop()
	s, err := e.watch.CallServerStream(ctx, connect.NewRequest(&WatchRequest{From: from, AcceptsCompressed: true, AcceptsEditionDeltas: true}))
	if err != nil {
		return fmt.Errorf("watch: %w", errors.Join(err, context.Cause(ctx)))
	}
	defer func() { _ = s.Close() }()
	for s.Receive() {
		idle.Reset(watchIdleTimeout)
		d, err := decompressDelta(*s.Msg())
		if err != nil {
			return fmt.Errorf("read message of a watch: %w", err)
		}
		if err := apply(d); err != nil {
			return fmt.Errorf("apply delta at index %d: %w", d.Index, err)
		}
	}
	if err := errors.Join(s.Err(), context.Cause(ctx)); err != nil {
		return fmt.Errorf("watch ended: %w", err)
	}
	return errors.New("watch ended by the control process")
}

// errNearerProcess is the cause that ends a watch when a nearer process has become known.
var errNearerProcess = errors.New("a nearer control process is known")

// errNoHeartbeat is the cause that ends a watch whose process has stopped sending heartbeats.
var errNoHeartbeat = errors.New("no heartbeat from the control process")

var _ jacinthtiller.Control = (*Client)(nil)
