package jacinthtiller

import "context"

// Channel is the path of one guest's transactions to one owner host. It is used
// by one goroutine at a time. While a transaction is open all its units use the
// same channel.
type Channel interface {
	// Run runs one unit and passes the target's answer to sink. The error is nil when
	// the unit ran or was refused with a Result that says so; otherwise the channel is
	// broken and the unit's outcome is unknown unless the error says not run.
	Run(ctx context.Context, u Unit, sink Sink) (Result, error)
	// Cancel asks the target to cancel the unit that is running. It may be called by any goroutine.
	Cancel(ctx context.Context) error
	// Close rolls back an open transaction and frees what the channel holds.
	Close() error
}

// Opener opens channels to owner hosts by name.
type Opener interface {
	Open(ctx context.Context, host string) (Channel, error)
}

// Marker asks the owner of a primary for the marks of guests, by the name of the owner host.
type Marker interface {
	AskMarks(ctx context.Context, host string, r MarkRequest) (MarkResponse, error)
}

// Platform gives orders to one target.
type Platform interface {
	// Position asks for the position of the last applied entry.
	Position(ctx context.Context) (Position, error)
	// Fence makes the target refuse entries and writes of terms below term and returns its position.
	Fence(ctx context.Context, term uint64) (Position, error)
	// Promote makes the target the primary of the term.
	Promote(ctx context.Context, term uint64) (Position, error)
	// Follow makes the target replicate from the primary of the term at the address.
	Follow(ctx context.Context, term uint64, address string) error
}

// Control is the control group as an entry host uses it.
type Control interface {
	Register(ctx context.Context, h Host) (RegisterResponse, error)
	Renew(ctx context.Context, r RenewRequest) (RenewResponse, error)
	Release(ctx context.Context, r ReleaseRequest) error
	Observe(ctx context.Context, r ObserveRequest) error
	Lost(ctx context.Context, r LostRequest) error
	// Watch passes deltas to apply until it fails or ctx ends. The first delta starts at from or is a full view. It returns
	// nil when the caller should watch again at once, at a process that is nearer.
	Watch(ctx context.Context, from uint64, apply func(Delta) error) error
}

// Peer is another entry host as its peers and the control group use it.
type Peer interface {
	Fence(ctx context.Context, r FenceRequest) (FenceResponse, error)
	WaitPosition(ctx context.Context, r WaitPositionRequest) (WaitPositionResponse, error)
	Mark(ctx context.Context, r MarkRequest) (MarkResponse, error)
	View(ctx context.Context) (View, error)
	Announce(ctx context.Context, a Announcement) (AnnounceResponse, error)
}

// ViewFollower acts on the views and the lease of a host.
type ViewFollower interface {
	// Apply puts a view in force. When it returns, nothing is done under an earlier one any more.
	Apply(v View)
	// SetLease replaces the host's lease, whose deadline is one of package clock.
	SetLease(l Lease)
}

// Peers finds a peer by its service's URL.
type Peers interface {
	Peer(url string) Peer
}
