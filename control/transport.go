package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/quorum"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// peerQueueSize is how many messages wait for one control process; heartbeats alone fill it in 25 s.
	peerQueueSize = 256
	// maxPeers bounds the peers of one process's life, each of which keeps a sender.
	maxPeers = 64
	// stepTimeout bounds one step call. It is below the least election timeout, so that a
	// connection that hangs does not cost a follower its leader.
	stepTimeout = 300 * time.Millisecond
)

// transport sends the log's messages, with one goroutine and one bounded ring for
// each peer. It implements quorum.Transport.
type transport struct {
	events *event.Log
	ctx    context.Context
	wg     *conc.WaitGroup
	http   *http.Client
	// namesAreAddresses is true when a name that is not known is the address of its process.
	namesAreAddresses bool

	mu sync.Mutex // guards the fields below
	// queues holds the messages for each peer. When one is full the oldest message
	// is dropped, which the log's own retries make up for.
	queues map[string]chan quorum.Message
}

// newTransport starts the senders in wg; they end with ctx.
func newTransport(ctx context.Context, wg *conc.WaitGroup, self string, members map[string]string, namesAreAddresses bool, h *http.Client, events *event.Log) *transport {
	t := &transport{events: events, ctx: ctx, wg: wg, http: h, namesAreAddresses: namesAreAddresses, queues: map[string]chan quorum.Message{}}
	for name, url := range members {
		if name == self {
			continue
		}
		t.startSender(name, url)
	}
	return t
}

// startSender starts the sender for a peer. t.mu is held, or nobody else knows t yet.
func (t *transport) startSender(name, url string) chan quorum.Message {
	queue := make(chan quorum.Message, peerQueueSize)
	t.queues[name] = queue
	c := connect.NewClient[StepRequest, wire.Empty](t.http, url+wire.ProcStep, wire.ClientOptions()...)
	t.wg.Go(func() { duty.Keep(t.ctx, t.events, "send to a member", func() { t.send(t.ctx, c, queue) }) })
	return queue
}

// queue returns the queue of a peer; nil when it is not known how to reach it.
func (t *transport) queue(name string) chan quorum.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.queues[name]
	if !ok && t.namesAreAddresses && len(t.queues) < maxPeers {
		queue = t.startSender(name, "http://"+name)
	}
	return queue
}

// Send queues a message and never blocks.
func (t *transport) Send(to string, m quorum.Message) {
	queue := t.queue(to)
	if queue == nil {
		return
	}
	for {
		select {
		case queue <- m:
			return
		default:
		}
		select {
		case old := <-queue:
			t.events.Emit(event.ControlStepDropped, event.Fields{"to": to, "kind": string(old.Kind)})
		default:
		}
	}
}

// send passes on what waits in the ring, several messages in one call.
func (t *transport) send(ctx context.Context, c *connect.Client[StepRequest, wire.Empty], queue <-chan quorum.Message) {
	for {
		var r StepRequest
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			r.Messages = append(r.Messages, m)
		}
		for more := true; more && len(r.Messages) < peerQueueSize; {
			select {
			case m := <-queue:
				r.Messages = append(r.Messages, m)
			default:
				more = false
			}
		}
		call, cancel := context.WithTimeout(ctx, stepTimeout)
		// A lost message is sent again by the log, so the error changes nothing here.
		_, _ = c.CallUnary(call, connect.NewRequest(&r))
		cancel()
	}
}
