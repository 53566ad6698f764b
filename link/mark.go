package link

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// MarkFunc returns the marks of guests on a primary that this host owns.
type MarkFunc func(ctx context.Context, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error)

// WithMarks answers other hosts' requests for marks with f. Without it they are refused.
func WithMarks(f MarkFunc) ServerOption { return func(s *Server) { s.marks = f } }

// WithLocalMarks answers this host's own requests with f.
func WithLocalMarks(f MarkFunc) OpenerOption { return func(o *Opener) { o.localMarks = f } }

// markReply is the reply to a request for marks.
type markReply struct {
	jacinthtiller.MarkResponse
	// Fault is the reason why there are no marks; empty otherwise.
	Fault string `cbor:"fault,omitempty"`
}

var _ jacinthtiller.Marker = (*Opener)(nil)

// RequestMarks asks the host for the marks of guests. The request takes a connection of the statement path, since an HTTP
// call for each batch of reads cost several times the processor time of the request itself.
func (o *Opener) RequestMarks(ctx context.Context, host string, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	if host == o.self && o.localMarks != nil {
		return o.localMarks(ctx, r)
	}
	c, err := o.connect(ctx, host)
	if err != nil {
		return jacinthtiller.MarkResponse{}, fmt.Errorf("ask for marks: %w", err)
	}
	stop := context.AfterFunc(ctx, c.close)
	a, goAway, err := c.requestMarks(r)
	if !stop() || err != nil || goAway {
		c.close()
	} else {
		o.putIdle(c)
	}
	if err == nil && a.Fault != "" {
		err = errors.New(a.Fault)
	}
	if err != nil {
		return jacinthtiller.MarkResponse{}, fmt.Errorf("ask host %s for marks: %w", host, err)
	}
	return a.MarkResponse, nil
}

// requestMarks sends a request for marks and reads the reply. goAway is true when the host asked for
// another connection.
func (c *peerConn) requestMarks(r jacinthtiller.MarkRequest) (a markReply, goAway bool, err error) {
	b, err := appendFrame(c.out, frameMarkRequest, r)
	if err != nil {
		return a, false, err
	}
	_ = c.conn.SetDeadline(time.Now().Add(peerTimeout))
	if _, err := c.conn.Write(b); err != nil {
		return a, false, fmt.Errorf("send request for marks: %w", err)
	}
	c.out = b[:0]
	for {
		typ, p, err := c.reader.read()
		if err != nil {
			return a, false, err
		}
		switch typ {
		case frameGoAway:
			goAway = true
		case frameMarkResponse:
			if err := wire.Decode(p, &a); err != nil {
				return a, goAway, fmt.Errorf("decode marks: %w", err)
			}
			return a, goAway, nil
		default:
			return a, goAway, fmt.Errorf("expected marks, got frame %q", typ)
		}
	}
}

// answerMarks answers a request for marks. They are in memory, so the connection's reader does not wait.
func (c *serverConn) answerMarks(p []byte) error {
	var r jacinthtiller.MarkRequest
	if err := wire.Decode(p, &r); err != nil {
		return fmt.Errorf("decode request for marks: %w", err)
	}
	var a markReply
	if c.server.marks == nil {
		a.Fault = "the host answers no questions for marks"
	} else if m, err := c.server.marks(c.ctx, r); err != nil {
		a.Fault = err.Error()
	} else {
		a.MarkResponse = m
	}
	b, err := appendFrame(nil, frameMarkResponse, a)
	if err != nil {
		return err
	}
	return c.withWriter(func() error {
		if _, err := c.writer.Write(b); err != nil {
			return fmt.Errorf("write marks: %w", err)
		}
		return c.flush()
	})
}
