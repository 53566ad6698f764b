package wire

import (
	"errors"
	"net"
	"time"

	"github.com/jacinthtiller/jacinthtiller/event"
)

// acceptPause is the wait after a connection could not be accepted, as when descriptors are used up.
const acceptPause = 50 * time.Millisecond

// AcceptAll hands each connection to take until the listener is closed. Other failures to accept are logged and passed over.
func AcceptAll(l net.Listener, events *event.Log, take func(net.Conn)) {
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			take(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			events.Emit(event.AcceptFailed, event.Fields{"error": err.Error()})
			time.Sleep(acceptPause)
		}
	}
}
