package control

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/quorum"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// ringMessages is how many messages wait for one control process; heartbeats alone fill it in 25 s.
	ringMessages = 256
	// stepTimeout bounds one step call. It is below the least election timeout, so that a
	// connection that hangs does not cost a follower its leader.
	stepTimeout = 300 * time.Millisecond
)

// transport sends the log's messages, with one goroutine and one bounded ring for
// each peer. It implements quorum.Transport.
type transport struct {
	events *event.Log
	// rings holds the messages for each peer. When one is full the oldest message
	// is dropped, which the log's own retries make up for.
	rings map[string]chan quorum.Message
}

// newTransport starts the senders in wg; they end with ctx.
func newTransport(ctx context.Context, wg *conc.WaitGroup, self string, members map[string]string, h *http.Client, events *event.Log) *transport {
	t := &transport{events: events, rings: map[string]chan quorum.Message{}}
	for name, url := range members {
		if name == self {
			continue
		}
		ring := make(chan quorum.Message, ringMessages)
		t.rings[name] = ring
		c := connect.NewClient[StepRequest, wire.Empty](h, url+wire.ProcStep, wire.ClientOptions()...)
		wg.Go(func() { t.send(ctx, c, ring) })
	}
	return t
}

// Send queues a message and never blocks.
func (t *transport) Send(to string, m quorum.Message) {
	ring, ok := t.rings[to]
	if !ok {
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
