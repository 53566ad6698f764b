package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/quorum"
)

// reopenInterval is the time between attempts to reopen the log after its storage has failed. A full disk lasts for
// seconds, and the group works without this process meanwhile.
const reopenInterval = 300 * time.Millisecond

// stoppableNode is a node that stops when its storage fails.
type stoppableNode interface {
	node
	Stopped() <-chan struct{}
	Err() error
}

// reopeningNode is a node that reopens its folder after a storage failure, as a restart of the process would. Results
// that the failed node had not saved were not sent to any caller.
type reopeningNode struct {
	open   func() (stoppableNode, error)
	reset  func()
	events *event.Log
	cancel context.CancelFunc
	group  conc.WaitGroup

	mu sync.Mutex // guards the fields below
	n  stoppableNode
	// replaced is closed and replaced when n is replaced.
	replaced chan struct{}
}

// newReopeningNode opens the log. reset empties the state machine before the log is opened again.
func newReopeningNode(ctx context.Context, open func() (stoppableNode, error), reset func(), events *event.Log) (*reopeningNode, error) {
	n, err := open()
	if err != nil {
		return nil, err
	}
	r := &reopeningNode{open: open, reset: reset, events: events, n: n, replaced: make(chan struct{})}
	ctx, r.cancel = context.WithCancel(ctx)
	r.group.Go(func() { duty.RunWithRestart(ctx, events, "reopen the log", func() { r.reopenOnFailure(ctx) }) })
	return r, nil
}

func (r *reopeningNode) current() stoppableNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// reopenOnFailure replaces a node that has stopped because of a storage failure.
func (r *reopeningNode) reopenOnFailure(ctx context.Context) {
	for {
		n := r.current()
		select {
		case <-ctx.Done():
			return
		case <-n.Stopped():
		}
		// The node has stopped already; an error of closing its file adds no information.
		_ = n.Close()
		for {
			timer := time.NewTimer(reopenInterval)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
			r.reset()
			next, err := r.open()
			if err == nil {
				r.replace(next)
				break
			}
			r.events.Emit(event.ControlReopenFailed, event.Fields{"error": err.Error()})
		}
	}
}

func (r *reopeningNode) replace(n stoppableNode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n = n
	close(r.replaced)
	r.replaced = make(chan struct{})
	r.events.Emit(event.ControlReopened, event.Fields{"last": n.Status().Last})
}

// Changed returns a channel that is closed at the next change of the node, or when a stopped node is replaced.
func (r *reopeningNode) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.n.Stopped():
		return r.replaced
	default:
		return r.n.Changed()
	}
}

func (r *reopeningNode) Propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	return r.current().Propose(ctx, command)
}

func (r *reopeningNode) ConfirmLeader(ctx context.Context) error {
	return r.current().ConfirmLeader(ctx)
}

func (r *reopeningNode) Leadership() (leader string, term uint64, isLeader bool) {
	n := r.current()
	select {
	case <-n.Stopped():
		return "", 0, false
	default:
		return n.Leadership()
	}
}
func (r *reopeningNode) LeaderSince() (time.Time, bool) { return r.current().LeaderSince() }
func (r *reopeningNode) ConfirmedAt() time.Time {
	n := r.current()
	select {
	case <-n.Stopped():
		return time.Time{}
	default:
		return n.ConfirmedAt()
	}
}
func (r *reopeningNode) Status() quorum.Status { return r.current().Status() }
func (r *reopeningNode) AddMember(ctx context.Context, name string) error {
	return r.current().AddMember(ctx, name)
}

func (r *reopeningNode) PromoteMember(ctx context.Context, name string) error {
	return r.current().PromoteMember(ctx, name)
}

func (r *reopeningNode) RemoveMember(ctx context.Context, name string) error {
	return r.current().RemoveMember(ctx, name)
}

func (r *reopeningNode) TransferLeadership(ctx context.Context) error {
	return r.current().TransferLeadership(ctx)
}
func (r *reopeningNode) Receive(m quorum.Message) { r.current().Receive(m) }

// Close stops the node permanently.
func (r *reopeningNode) Close() error {
	r.cancel()
	r.group.Wait()
	var closed *quorum.ClosedError
	if err := r.current().Close(); err != nil && !errors.As(err, &closed) {
		return fmt.Errorf("close node: %w", err)
	}
	return nil
}
