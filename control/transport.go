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
	// peerQueueSize bounds the messages that wait for one control process; heartbeats alone fill the queue in 25 s.
	peerQueueSize = 256
	// maxPeers bounds the peers over the life of a process; each peer keeps a sender.
	maxPeers = 64
	// stepTimeout bounds one step call. It is below the shortest election timeout, so that a hanging connection does not
	// cost a follower its leader.
	stepTimeout = 300 * time.Millisecond
)

// transport sends the log's messages. It has one goroutine and one bounded queue for each peer and implements
// quorum.Transport.
type transport struct {
	events *event.Log
	ctx    context.Context
	wg     *conc.WaitGroup
	http   *http.Client
	// namesAreAddresses is true when the name of an unknown peer is its address.
	namesAreAddresses bool

	mu sync.Mutex // guards the fields below
	// queues holds the messages for each peer. When a queue is full the oldest message is dropped; the log retransmits.
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

// startSender starts the sender for a peer. The caller holds t.mu or has not shared t yet.
func (t *transport) startSender(name, url string) chan quorum.Message {
	queue := make(chan quorum.Message, peerQueueSize)
	t.queues[name] = queue
	c := connect.NewClient[StepRequest, wire.Empty](t.http, url+wire.ProcStep, wire.ClientOptions()...)
	t.wg.Go(func() { duty.RunWithRestart(t.ctx, t.events, "send to a member", func() { t.send(t.ctx, c, queue) }) })
	return queue
}

// queue returns the queue of a peer; nil when its URL is not known or there are too many peers.
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

// send sends the queued messages, several in one call.
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
		// The log retransmits lost messages, so the error is ignored.
		_, _ = c.CallUnary(call, connect.NewRequest(&r))
		cancel()
	}
}
