package control

import (
	"context"
	"errors"
	"fmt"
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
	// batchDelay is how long a renewal waits for others to the same leader, so that the hosts of a failure domain cost
	// the leader and the links between regions one message instead of one each. It is a fortieth of a lease, which the
	// host counts from before it asked.
	batchDelay = 40 * time.Millisecond
	// forwardTimeout bounds one call to the leader. Together with batchDelay it is shorter than a host's attempt, so
	// that the host learns in time that it has to ask elsewhere.
	forwardTimeout = 170 * time.Millisecond
	// maxForwardTimeout is the bound for a busy leader, which the hosts should not ask directly.
	maxForwardTimeout = 640 * time.Millisecond
	// forwardConcurrency is the number of concurrent calls to a leader.
	forwardConcurrency = 2
	// forwardQueueSize bounds the renewals that wait for a call; when the queue is full, hosts are redirected to the
	// leader.
	forwardQueueSize = 1024
	// maxForwardBatch bounds the renewals in one call.
	maxForwardBatch = 256
)

// RenewManyRequest carries the renewals of several hosts, which a control process forwards to the leader.
type RenewManyRequest struct {
	Renewals []jacinthtiller.RenewRequest `cbor:"renewals"`
}

// RenewManyResponse holds the answers in the order of the renewals.
type RenewManyResponse struct {
	Answers []jacinthtiller.RenewResponse `cbor:"answers"`
}

// forwarder forwards renewals to the leader in batches. It keeps no leases: a host counts its lease from before it
// asked, so a forwarder can only shorten a lease, and a host whose forwarder fails asks the leader directly.
type forwarder struct {
	// call sends a batch to the leader at the URL.
	call   forwardCall
	events *event.Log
	ctx    context.Context
	wg     *conc.WaitGroup

	mu sync.Mutex // guards the fields below
	// queues holds the waiting renewals by the leader's URL.
	queues map[string]chan *pendingRenewal
	// callTimeouts adapts the timeout of calls to the leader.
	callTimeouts adaptiveTimeout
	// viewIndexes holds the index of the view that each host last reported.
	viewIndexes map[string]uint64
}

// forwardCall requests the leases of several hosts from the leader at the URL.
type forwardCall func(ctx context.Context, url string, m RenewManyRequest) (RenewManyResponse, error)

// httpForwardCall returns a forwardCall over HTTP.
func httpForwardCall(h *http.Client) forwardCall {
	return func(ctx context.Context, url string, m RenewManyRequest) (RenewManyResponse, error) {
		c := connect.NewClient[RenewManyRequest, RenewManyResponse](h, url+wire.ProcRenewMany, wire.ClientOptions()...)
		r, err := c.CallUnary(ctx, connect.NewRequest(&m))
		if err != nil {
			return RenewManyResponse{}, fmt.Errorf("renew %d leases: %w", len(m.Renewals), err)
		}
		return *r.Msg, nil
	}
}

// pendingRenewal is one renewal that waits for the leader's answer.
type pendingRenewal struct {
	request jacinthtiller.RenewRequest
	// urgent is true when the host has put a new view in force, which a change of primary may wait for.
	urgent bool
	done   chan struct{}
	// answer and err are set before done is closed.
	answer jacinthtiller.RenewResponse
	err    error
}

func newForwarder(ctx context.Context, wg *conc.WaitGroup, call forwardCall, events *event.Log) *forwarder {
	return &forwarder{
		call: call, events: events, ctx: ctx, wg: wg, queues: map[string]chan *pendingRenewal{}, viewIndexes: map[string]uint64{},
	}
}

var (
	errForwardQueueFull = errors.New("the queue of renewals for the leader is full")
	errNotForwarded     = errors.New("the renewal was not forwarded")
)

// renew forwards a renewal to the leader at the URL and waits for the answer.
func (f *forwarder) renew(ctx context.Context, url string, r jacinthtiller.RenewRequest) (jacinthtiller.RenewResponse, error) {
	w := &pendingRenewal{request: r, done: make(chan struct{}), err: errNotForwarded}
	queue := f.queue(url)
	f.mu.Lock()
	w.urgent = f.viewIndexes[r.Host] != r.Index
	f.viewIndexes[r.Host] = r.Index
	f.mu.Unlock()
	select {
	case queue <- w:
	default:
		return jacinthtiller.RenewResponse{}, errForwardQueueFull
	}
	select {
	case <-w.done:
		return w.answer, w.err
	case <-ctx.Done():
		return jacinthtiller.RenewResponse{}, fmt.Errorf("wait for the leader's answer: %w", ctx.Err())
	}
}

// queue returns the queue of a leader and starts its senders at the first call.
func (f *forwarder) queue(url string) chan *pendingRenewal {
	f.mu.Lock()
	defer f.mu.Unlock()
	queue, ok := f.queues[url]
	if ok {
		return queue
	}
	queue = make(chan *pendingRenewal, forwardQueueSize)
	f.queues[url] = queue
	for range forwardConcurrency {
		f.wg.Go(func() {
			duty.RunWithRestart(f.ctx, f.events, "forward renewals", func() {
				for f.ctx.Err() == nil {
					f.send(url, f.nextBatch(queue))
				}
			})
		})
	}
	return queue
}

// nextBatch waits for a renewal and collects others for batchDelay, or until one of them is urgent or the batch is full.
func (f *forwarder) nextBatch(queue <-chan *pendingRenewal) []*pendingRenewal {
	var out []*pendingRenewal
	var end <-chan time.Time
	for len(out) < maxForwardBatch {
		select {
		case w := <-queue:
			out = append(out, w)
			if end == nil {
				end = time.After(batchDelay)
			}
			if w.urgent {
				return drainQueue(out, queue)
			}
		case <-end:
			return out
		case <-f.ctx.Done():
			return out
		}
	}
	return out
}

// drainQueue adds the renewals that are queued already.
func drainQueue(out []*pendingRenewal, queue <-chan *pendingRenewal) []*pendingRenewal {
	for len(out) < maxForwardBatch {
		select {
		case w := <-queue:
			out = append(out, w)
		default:
			return out
		}
	}
	return out
}

// timeout returns the timeout of the next call.
func (f *forwarder) timeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.callTimeouts.next(forwardTimeout, maxForwardTimeout)
}

// recordCall records the outcome of a call for the timeout of the next one.
func (f *forwarder) recordCall(err error, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callTimeouts = f.callTimeouts.recorded(err != nil, began, time.Now())
}

// send sends one batch and delivers the answers.
func (f *forwarder) send(url string, batch []*pendingRenewal) {
	if len(batch) == 0 {
		return
	}
	defer func() {
		for _, w := range batch {
			close(w.done)
		}
	}()
	var m RenewManyRequest
	for _, w := range batch {
		m.Renewals = append(m.Renewals, w.request)
	}
	ctx, cancel := context.WithTimeout(f.ctx, f.timeout())
	defer cancel()
	began := time.Now()
	r, err := f.call(ctx, url, m)
	f.recordCall(err, began)
	if err == nil && len(r.Answers) != len(batch) {
		err = fmt.Errorf("%d answers to %d renewals", len(r.Answers), len(batch))
	}
	if err != nil && f.ctx.Err() == nil {
		f.events.Emit(event.ControlForwardFailed, event.Fields{"renewals": len(batch), "error": err.Error()})
	}
	for i, w := range batch {
		if w.err = err; err == nil {
			w.answer = r.Answers[i]
		}
	}
}
