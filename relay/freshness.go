package relay

import (
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// FreshnessClient sends freshness queries to other hosts. It implements jacinthtiller.FreshnessClient and is safe for
// concurrent use.
type FreshnessClient struct{ conns *queryConns }

var _ jacinthtiller.FreshnessClient = (*FreshnessClient)(nil)

// NewFreshnessClient returns a client without connections.
func NewFreshnessClient() *FreshnessClient { return &FreshnessClient{conns: newQueryConns(hello{})} }

// QueryFreshness sends the query to the host at the address.
func (x *FreshnessClient) QueryFreshness(address string, q jacinthtiller.FreshnessQuery, deadline time.Time) (jacinthtiller.FreshnessReply, error) {
	query := freshnessQuery{Database: q.Database, Term: q.Term, AgeMicros: q.AgeMicroseconds, RemainingMillis: remainingMillis(deadline, time.Now())}
	var reply freshnessReply
	if err := x.conns.ask(address, query, &reply, deadline); err != nil {
		return jacinthtiller.FreshnessReply{}, err
	}
	out := jacinthtiller.FreshnessReply{Leased: reply.Leased}
	for _, k := range reply.Positions {
		out.Positions = append(out.Positions, jacinthtiller.AgedPosition{
			Position: jacinthtiller.Position{Term: k.Term, Index: k.Idx}, AgeMicroseconds: k.AgeMicros,
		})
	}
	return out, nil
}

// Close closes the idle connections.
func (x *FreshnessClient) Close() { x.conns.Close() }
