package wire

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// Empty is a message without content.
type Empty struct{}

// NewHostHandler serves the procedures of an entry host.
func NewHostHandler(p jacinthtiller.Peer, events *event.Log) http.Handler {
	mux := http.NewServeMux()
	opts := HandlerOptions(events)
	mux.Handle(ProcAnnounce, connect.NewUnaryHandler(ProcAnnounce,
		func(ctx context.Context, r *connect.Request[jacinthtiller.Announcement]) (*connect.Response[jacinthtiller.AnnounceResponse], error) {
			out, err := p.Announce(ctx, *r.Msg)
			if err != nil {
				return nil, asConnectError(err)
			}
			return connect.NewResponse(&out), nil
		}, opts...))
	mux.Handle(ProcFence, connect.NewUnaryHandler(ProcFence,
		func(ctx context.Context, r *connect.Request[jacinthtiller.FenceRequest]) (*connect.Response[jacinthtiller.FenceResponse], error) {
			out, err := p.Fence(ctx, *r.Msg)
			if err != nil {
				return nil, asConnectError(err)
			}
			return connect.NewResponse(&out), nil
		}, opts...))
	mux.Handle(ProcWaitPosition, connect.NewUnaryHandler(ProcWaitPosition,
		func(ctx context.Context, r *connect.Request[jacinthtiller.WaitPositionRequest]) (*connect.Response[jacinthtiller.WaitPositionResponse], error) {
			out, err := p.WaitPosition(ctx, *r.Msg)
			if err != nil {
				return nil, asConnectError(err)
			}
			return connect.NewResponse(&out), nil
		}, opts...))
	mux.Handle(ProcMark, connect.NewUnaryHandler(ProcMark,
		func(ctx context.Context, r *connect.Request[jacinthtiller.MarkRequest]) (*connect.Response[jacinthtiller.MarkResponse], error) {
			out, err := p.Mark(ctx, *r.Msg)
			if err != nil {
				return nil, asConnectError(err)
			}
			return connect.NewResponse(&out), nil
		}, opts...))
	mux.Handle(ProcView, connect.NewUnaryHandler(ProcView,
		func(ctx context.Context, _ *connect.Request[Empty]) (*connect.Response[jacinthtiller.View], error) {
			out, err := p.View(ctx)
			if err != nil {
				return nil, asConnectError(err)
			}
			return connect.NewResponse(&out), nil
		}, opts...))
	return mux
}

// asConnectError returns a connect error unchanged and wraps any other error with CodeUnavailable.
func asConnectError(err error) error {
	var c *connect.Error
	if errors.As(err, &c) {
		return err
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// InvalidArgument wraps an error caused by an invalid request with CodeInvalidArgument.
func InvalidArgument(err error) error { return connect.NewError(connect.CodeInvalidArgument, err) }

// HostPeers caches clients of entry hosts by URL. It is safe for concurrent use.
type HostPeers struct {
	client *http.Client

	mu    sync.Mutex // guards peers
	peers map[string]*HostClient
}

// NewHostPeers returns an empty cache whose peers call through client.
func NewHostPeers(client *http.Client) *HostPeers {
	return &HostPeers{client: client, peers: map[string]*HostClient{}}
}

// Peer returns the client for the URL of a host's service.
func (p *HostPeers) Peer(url string) jacinthtiller.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.peers[url]
	if !ok {
		c = NewHostClient(p.client, url)
		p.peers[url] = c
	}
	return c
}

// HostClient calls the procedures of one entry host.
type HostClient struct {
	announce     *connect.Client[jacinthtiller.Announcement, jacinthtiller.AnnounceResponse]
	fence        *connect.Client[jacinthtiller.FenceRequest, jacinthtiller.FenceResponse]
	waitPosition *connect.Client[jacinthtiller.WaitPositionRequest, jacinthtiller.WaitPositionResponse]
	mark         *connect.Client[jacinthtiller.MarkRequest, jacinthtiller.MarkResponse]
	view         *connect.Client[Empty, jacinthtiller.View]
}

// NewHostClient returns a client of the host whose service is at url.
func NewHostClient(client *http.Client, url string) *HostClient {
	opts := ClientOptions()
	return &HostClient{
		announce:     connect.NewClient[jacinthtiller.Announcement, jacinthtiller.AnnounceResponse](client, url+ProcAnnounce, opts...),
		fence:        connect.NewClient[jacinthtiller.FenceRequest, jacinthtiller.FenceResponse](client, url+ProcFence, opts...),
		waitPosition: connect.NewClient[jacinthtiller.WaitPositionRequest, jacinthtiller.WaitPositionResponse](client, url+ProcWaitPosition, opts...),
		mark:         connect.NewClient[jacinthtiller.MarkRequest, jacinthtiller.MarkResponse](client, url+ProcMark, opts...),
		view:         connect.NewClient[Empty, jacinthtiller.View](client, url+ProcView, opts...),
	}
}

// Announce sends a target's announcement to the host.
func (c *HostClient) Announce(ctx context.Context, a jacinthtiller.Announcement) (jacinthtiller.AnnounceResponse, error) {
	out, err := c.announce.CallUnary(ctx, connect.NewRequest(&a))
	if err != nil {
		return jacinthtiller.AnnounceResponse{}, fmt.Errorf("announce: %w", err)
	}
	return *out.Msg, nil
}

// Fence asks the host to fence a target that it owns.
func (c *HostClient) Fence(ctx context.Context, r jacinthtiller.FenceRequest) (jacinthtiller.FenceResponse, error) {
	out, err := c.fence.CallUnary(ctx, connect.NewRequest(&r))
	if err != nil {
		return jacinthtiller.FenceResponse{}, fmt.Errorf("fence: %w", err)
	}
	return *out.Msg, nil
}

// WaitPosition asks the host to wait until a replica that it owns reaches a position.
func (c *HostClient) WaitPosition(ctx context.Context, r jacinthtiller.WaitPositionRequest) (jacinthtiller.WaitPositionResponse, error) {
	out, err := c.waitPosition.CallUnary(ctx, connect.NewRequest(&r))
	if err != nil {
		return jacinthtiller.WaitPositionResponse{}, fmt.Errorf("wait-position: %w", err)
	}
	return *out.Msg, nil
}

// Mark asks the host that owns the primary for guests' marks.
func (c *HostClient) Mark(ctx context.Context, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	out, err := c.mark.CallUnary(ctx, connect.NewRequest(&r))
	if err != nil {
		return jacinthtiller.MarkResponse{}, fmt.Errorf("mark: %w", err)
	}
	return *out.Msg, nil
}

// View asks the host for its current view.
func (c *HostClient) View(ctx context.Context) (jacinthtiller.View, error) {
	out, err := c.view.CallUnary(ctx, connect.NewRequest(&Empty{}))
	if err != nil {
		return jacinthtiller.View{}, fmt.Errorf("view: %w", err)
	}
	return *out.Msg, nil
}
