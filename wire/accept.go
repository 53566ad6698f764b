package wire

import (
	"errors"
	"net"
	"time"

	"github.com/jacinthtiller/jacinthtiller/event"
)

// acceptRetryDelay is the pause after a failed accept, such as one for want of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// AcceptAll passes each accepted connection to handle until the listener is closed. It logs other accept errors and goes on.
func AcceptAll(l net.Listener, events *event.Log, handle func(net.Conn)) {
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			handle(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			events.Emit(event.AcceptFailed, event.Fields{"error": err.Error()})
			time.Sleep(acceptRetryDelay)
		}
	}
}
