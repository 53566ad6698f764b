package jacinthtiller

import "context"

// Channel carries one guest's transactions to one owner host. It is used by one
// goroutine at a time. All units of an open transaction use the same channel.
type Channel interface {
	// Run runs one unit and passes the target's answer to sink. The error is nil when the
	// Result tells whether the unit ran or was refused. Otherwise the channel is broken, and the
	// unit's outcome is unknown unless the error contains an *Error with OutcomeNotRun.
	Run(ctx context.Context, u Unit, sink Sink) (Result, error)
	// Cancel asks the target to cancel the unit that is running. It may be called by any goroutine.
	Cancel(ctx context.Context) error
	// Close rolls back an open transaction and releases the channel's resources.
	Close() error
}

// Opener opens channels to owner hosts by name.
type Opener interface {
	Open(ctx context.Context, host string) (Channel, error)
}

// Marker requests the marks of guests from the owner of a primary, given the name of the owner host.
type Marker interface {
	RequestMarks(ctx context.Context, host string, r MarkRequest) (MarkResponse, error)
}

// Platform gives orders to one target.
type Platform interface {
	// Position returns the position of the last applied entry.
	Position(ctx context.Context) (Position, error)
	// Fence makes the target refuse entries and writes of terms below term and returns its position.
	Fence(ctx context.Context, term uint64) (Position, error)
	// Promote makes the target the primary of the term.
	Promote(ctx context.Context, term uint64) (Position, error)
	// Follow makes the target replicate from the primary of the term at the address.
	Follow(ctx context.Context, term uint64, address string) error
}

// Control is the interface of the control group for entry hosts.
type Control interface {
	Register(ctx context.Context, h Host) (RegisterResponse, error)
	Renew(ctx context.Context, r RenewRequest) (RenewResponse, error)
	Release(ctx context.Context, r ReleaseRequest) error
	ReportObservation(ctx context.Context, r ObserveRequest) error
	ReportLost(ctx context.Context, r LostRequest) error
	ReportOverload(ctx context.Context, r OverloadReport) error
	// Watch passes deltas to apply until it fails or ctx ends. The first delta starts at from or is a full view. Watch returns
	// nil when the caller should watch again at once, because a nearer process is available.
	Watch(ctx context.Context, from uint64, apply func(Delta) error) error
}

// Peer is the interface of an entry host for other hosts and for the control group.
type Peer interface {
	Fence(ctx context.Context, r FenceRequest) (FenceResponse, error)
	WaitPosition(ctx context.Context, r WaitPositionRequest) (WaitPositionResponse, error)
	Mark(ctx context.Context, r MarkRequest) (MarkResponse, error)
	View(ctx context.Context) (View, error)
	Announce(ctx context.Context, a Announcement) (AnnounceResponse, error)
}

// ViewSubscriber receives the views and the lease of a host.
type ViewSubscriber interface {
	// Apply puts a view in force. When it returns, no work is begun or acknowledged under an earlier view.
	Apply(v View)
	// SetLease replaces the host's lease, whose deadline is a time of package clock.
	SetLease(l Lease)
}

// Peers returns the Peer for the URL of a host's service.
type Peers interface {
	Peer(url string) Peer
}
