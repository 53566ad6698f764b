package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// silenceLimit makes the system drop a path whose other end does not acknowledge data.
const silenceLimit = 3 * time.Second

// Dialer opens paths through other hosts. It implements jacinthtiller.RelayDialer.
type Dialer struct{}

var _ jacinthtiller.RelayDialer = Dialer{}

// DialRelay opens a path to the target through the host at the address.
func (Dialer) DialRelay(ctx context.Context, address string, t jacinthtiller.Target) (jacinthtiller.RelayConn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to host at %s: %w", address, err)
	}
	tune(nc)
	p := &path{nc: nc, f: newFramer(nc)}
	deadline, _ := ctx.Deadline()
	if err := p.greet(deadline, t); err != nil {
		_ = nc.Close()
		return nil, fmt.Errorf("open a path through host at %s: %w", address, err)
	}
	return p, nil
}

// path is one end of a path at the host that sends errands.
type path struct {
	nc net.Conn
	f  *framer
}

func (p *path) greet(deadline time.Time, t jacinthtiller.Target) error {
	if err := p.f.write(deadline, hello{Database: t.Database, Target: t.Name}); err != nil {
		return err
	}
	_ = p.nc.SetReadDeadline(deadline)
	var a helloAnswer
	if err := p.f.read(&a); err != nil {
		return err
	}
	if a.Fault != "" {
		return errors.New(a.Fault)
	}
	return nil
}

// Start sends an errand.
func (p *path) Start(e jacinthtiller.Errand) error {
	return p.f.write(e.Deadline, encodeErrand(e, time.Now()))
}

// Receive reads the answer.
func (p *path) Receive(deadline time.Time) (jacinthtiller.Reply, error) {
	_ = p.nc.SetReadDeadline(deadline)
	var a answer
	if err := p.f.read(&a); err != nil {
		return jacinthtiller.Reply{}, err
	}
	switch a.Outcome {
	case outcomeReply:
		return jacinthtiller.Reply{
			Body: a.Body, Fail: jacinthtiller.FailCode(a.Fail), FailText: a.Text, State: a.State,
			Position: jacinthtiller.Position{Term: a.Term, Index: a.Idx},
		}, nil
	case outcomeNotSent, outcomeUnreached:
		return jacinthtiller.Reply{}, &jacinthtiller.NotSentError{
			Cause: errors.New(a.Text), Unreached: a.Outcome == outcomeUnreached,
		}
	}
	return jacinthtiller.Reply{}, fmt.Errorf("the relaying host got no answer: %s", a.Text)
}

// Stale reports whether the path was closed or holds something unasked.
func (p *path) Stale() bool {
	s, ok := p.nc.(syscall.Conn)
	if !ok || p.f.partial() {
		return p.f.partial()
	}
	// A deadline that has passed since the last answer would end the look below at once.
	if err := p.nc.SetReadDeadline(time.Time{}); err != nil {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peek, syscall.EAGAIN)
		return true
	})
	return err != nil || !quiet
}

// Close closes the path.
func (p *path) Close() error { return p.nc.Close() }

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package does not name.
const tcpUserTimeout = 18

// tune makes the system notice that the other end is gone.
func tune(nc net.Conn) {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceLimit.Milliseconds()))
	})
}
