package wire

import (
	"errors"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/event"
)

// listener accepts what its results say, one after another.
type listener struct {
	net.Listener
	results []error
}

func (l *listener) Accept() (net.Conn, error) {
	err := l.results[0]
	l.results = l.results[1:]
	if err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return c, nil
}

// TestAcceptAll guards against a host that takes no more connections after one failure, as when descriptors are used up.
func TestAcceptAll(t *testing.T) {
	convey.Convey("A listener fails between two connections and is then closed", t, func() {
		l := &listener{results: []error{nil, errors.New("too many open files"), nil, net.ErrClosed}}
		taken := 0
		AcceptAll(l, event.New("host", logrus.New()), func(c net.Conn) {
			taken++
			_ = c.Close()
		})
		convey.So(taken, convey.ShouldEqual, 2)
	})
}
