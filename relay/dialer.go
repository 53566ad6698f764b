package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// tcpUserTimeout is how long sent data may stay unacknowledged before the kernel closes the connection.
const tcpUserTimeout = 3 * time.Second

// Dialer opens relay connections through other hosts. It implements jacinthtiller.RelayDialer.
type Dialer struct{}

var _ jacinthtiller.RelayDialer = Dialer{}

// DialRelay opens a connection to the target through the host at the address.
func (Dialer) DialRelay(ctx context.Context, address string, t jacinthtiller.Target, compress bool) (jacinthtiller.RelayConn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to host at %s: %w", address, err)
	}
	wire.SetDeadPeerTimeouts(nc, tcpUserTimeout)
	c := &clientConn{nc: nc, f: newFramer(nc)}
	deadline, _ := ctx.Deadline()
	if err := c.sendHello(deadline, t, compress); err != nil {
		_ = nc.Close()
		return nil, fmt.Errorf("open a path through host at %s: %w", address, err)
	}
	return c, nil
}

// clientConn is the end of a relay connection at the host that sends jobs.
type clientConn struct {
	nc net.Conn
	f  *framer
}

func (c *clientConn) sendHello(deadline time.Time, t jacinthtiller.Target, compress bool) error {
	write := c.f.write
	if compress {
		write = c.f.writeCompressed
	}
	if err := write(deadline, hello{Database: t.Database, Target: t.Name}); err != nil {
		return err
	}
	_ = c.nc.SetReadDeadline(deadline)
	var reply helloReply
	if err := c.f.read(&reply); err != nil {
		return err
	}
	if reply.Error != "" {
		return errors.New(reply.Error)
	}
	return nil
}

// Start sends the job.
func (c *clientConn) Start(j jacinthtiller.Job) error {
	out := encodeJob(j, time.Now())
	if j.Account == "" {
		return c.f.write(j.Deadline, out)
	}
	return c.f.write(j.Deadline, accountJob{Job: out, Account: j.Account})
}

// Receive reads the reply to the job.
func (c *clientConn) Receive(deadline time.Time) (jacinthtiller.Reply, error) {
	_ = c.nc.SetReadDeadline(deadline)
	var reply jobReply
	if err := c.f.read(&reply); err != nil {
		return jacinthtiller.Reply{}, err
	}
	switch reply.Outcome {
	case outcomeReply:
		return jacinthtiller.Reply{
			Body: reply.Body, ErrorCode: jacinthtiller.ErrorCode(reply.ErrorCode), ErrorText: reply.Text, State: reply.State,
			Position: jacinthtiller.Position{Term: reply.Term, Index: reply.Idx},
		}, nil
	case outcomeNotSent, outcomeUnreachable, outcomeQueueFull:
		return jacinthtiller.Reply{}, &jacinthtiller.NotSentError{
			Cause: errors.New(reply.Text), TargetUnreachable: reply.Outcome == outcomeUnreachable, QueueFull: reply.Outcome == outcomeQueueFull,
		}
	}
	return jacinthtiller.Reply{}, fmt.Errorf("the relaying host got no answer: %s", reply.Text)
}

// Unusable reports whether the other end has closed the connection or sent unsolicited data.
func (c *clientConn) Unusable() bool { return c.f.partial() || wire.ClosedOrReadable(c.nc) }

// Close closes the connection.
func (c *clientConn) Close() error { return c.nc.Close() }
