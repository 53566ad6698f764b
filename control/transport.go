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
	// ringMessages is how many messages wait for one control process; heartbeats alone fill it in 25 s.
	ringMessages = 256
	// maxRings bounds the peers of one process's life, each of which keeps a sender.
	maxRings = 64
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
	// found is true when a name that is not known is the address of its process.
	found bool

	mu sync.Mutex // guards the fields below
	// rings holds the messages for each peer. When one is full the oldest message
	// is dropped, which the log's own retries make up for.
	rings map[string]chan quorum.Message
}

// newTransport starts the senders in wg; they end with ctx.
func newTransport(ctx context.Context, wg *conc.WaitGroup, self string, members map[string]string, found bool, h *http.Client, events *event.Log) *transport {
	t := &transport{events: events, ctx: ctx, wg: wg, http: h, found: found, rings: map[string]chan quorum.Message{}}
	for name, url := range members {
		if name == self {
			continue
		}
		t.open(name, url)
	}
	return t
}

// open starts the sender for a peer. t.mu is held, or nobody else knows t yet.
func (t *transport) open(name, url string) chan quorum.Message {
	ring := make(chan quorum.Message, ringMessages)
	t.rings[name] = ring
	c := connect.NewClient[StepRequest, wire.Empty](t.http, url+wire.ProcStep, wire.ClientOptions()...)
	t.wg.Go(func() { duty.Keep(t.ctx, t.events, "send to a member", func() { t.send(t.ctx, c, ring) }) })
	return ring
}

// ring returns the ring of a peer; nil when it is not known how to reach it.
func (t *transport) ring(name string) chan quorum.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring, ok := t.rings[name]
	if !ok && t.found && len(t.rings) < maxRings {
		ring = t.open(name, "http://"+name)
	}
	return ring
}

// Send queues a message and never blocks.
func (t *transport) Send(to string, m quorum.Message) {
	ring := t.ring(to)
	if ring == nil {
		return
	}
	for {
		select {
		case ring <- m:
			return
		default:
		}
		select {
		case old := <-ring:
			t.events.Emit(event.ControlStepDropped, event.Fields{"to": to, "kind": string(old.Kind)})
		default:
		}
	}
}

// send passes on what waits in the ring, several messages in one call.
func (t *transport) send(ctx context.Context, c *connect.Client[StepRequest, wire.Empty], ring <-chan quorum.Message) {
	for {
		var r StepRequest
		select {
		case <-ctx.Done():
			return
		case m := <-ring:
			r.Messages = append(r.Messages, m)
		}
		for more := true; more && len(r.Messages) < ringMessages; {
			select {
			case m := <-ring:
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
