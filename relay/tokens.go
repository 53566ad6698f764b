package relay

import (
	"net"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// tokenConnections is the database in the hello of a connection for token requests, which names no target. Hosts of earlier
// versions take such a connection as one for freshness queries, so that none is opened to them.
const tokenConnections = "\x00tokens"

// tokenRequest and tokenReply encode a jacinthtiller.TokenRequest and its reply.
type tokenRequest struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Share   int
	Tokens  int
}

type tokenReply struct {
	_              struct{} `cbor:",toarray"`
	Refusal        string
	Granted        int
	LifetimeMicros int64
	RetryMicros    int64
}

// LimitClient sends token requests to other hosts. It implements jacinthtiller.LimitClient and is safe for concurrent use.
type LimitClient struct{ conns *queryConns }

var _ jacinthtiller.LimitClient = (*LimitClient)(nil)

// NewLimitClient returns a client without connections.
func NewLimitClient() *LimitClient {
	return &LimitClient{conns: newQueryConns(hello{Database: tokenConnections})}
}

// RequestTokens sends the request to the host at the address.
func (x *LimitClient) RequestTokens(address string, r jacinthtiller.TokenRequest, deadline time.Time) (jacinthtiller.TokenReply, error) {
	var reply tokenReply
	if err := x.conns.ask(address, tokenRequest{Account: r.Account, Share: r.Share, Tokens: r.Tokens}, &reply, deadline); err != nil {
		return jacinthtiller.TokenReply{}, err
	}
	return jacinthtiller.TokenReply{
		Refusal: jacinthtiller.TokenRefusal(reply.Refusal), Granted: reply.Granted,
		LifetimeMicroseconds: reply.LifetimeMicros, RetryAfterMicroseconds: reply.RetryMicros,
	}, nil
}

// Close closes the idle connections.
func (x *LimitClient) Close() { x.conns.Close() }

// WithLimits sets the source of answers to token requests.
func WithLimits(l jacinthtiller.LimitSource) Option { return func(s *Server) { s.limits = l } }

// serveTokens answers token requests until the other host closes the connection.
func (s *Server) serveTokens(nc net.Conn, f *framer) {
	for s.limits != nil {
		_ = nc.SetReadDeadline(time.Time{})
		var r tokenRequest
		if err := f.read(&r); err != nil {
			return
		}
		a := s.limits.GrantTokens(jacinthtiller.TokenRequest{Account: r.Account, Share: r.Share, Tokens: r.Tokens})
		out := tokenReply{
			Refusal: string(a.Refusal), Granted: a.Granted,
			LifetimeMicros: a.LifetimeMicroseconds, RetryMicros: a.RetryAfterMicroseconds,
		}
		if err := f.write(time.Now().Add(replyTimeout), out); err != nil {
			return
		}
	}
}
