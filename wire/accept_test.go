package wire

import (
	"errors"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/event"
)

// fakeListener returns a connection for each nil result, and otherwise the error.
type fakeListener struct {
	net.Listener
	results []error
}

func (l *fakeListener) Accept() (net.Conn, error) {
	err := l.results[0]
	l.results = l.results[1:]
	if err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return c, nil
}

// TestAcceptAll guards against a host that stops accepting connections after one error, such as exhausted file descriptors.
func TestAcceptAll(t *testing.T) {
	convey.Convey("A listener fails between two connections and is then closed", t, func() {
		l := &fakeListener{results: []error{nil, errors.New("too many open files"), nil, net.ErrClosed}}
		accepted := 0
		AcceptAll(l, event.New("host", logrus.New()), func(c net.Conn) {
			accepted++
			_ = c.Close()
		})
		convey.So(accepted, convey.ShouldEqual, 2)
	})
}
