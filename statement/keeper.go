package statement

import (
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

// With hundreds of hosts, each sees so few requests for one database that it rarely knows how fresh a replica has to be, and
// every read would have to ask the primary. So in each failure domain one host, the keeper, queries the primary for the
// others. Its answer states that a position of a term includes every commit acknowledged before a time, and is valid because
// the keeper held its own lease when it accepted the primary's response. The answer remains valid if the primary or the
// keeper fails later, because it is only about the past.

const (
	// maxKeeperAttempts is how many hosts of the domain are asked in turn: the keeper, and one more while it is unreachable.
	maxKeeperAttempts = 2
	// keeperTimeout bounds one query: a round trip between regions and a wait for a gateway. A guest's read waits for it.
	keeperTimeout = 120 * time.Millisecond
	// keeperAnswerPercent is the part of a query's time within which a keeper answers; the rest is for the network.
	keeperAnswerPercent = 80
	// keeperBackoff is how long a keeper that did not answer is not asked.
	keeperBackoff = 2 * time.Second
	// refreshAfter is the age above which a keeper that answers from what it knows also queries the primary in the
	// background, so that the next query need not wait. It is a third of the smallest age that routes usually allow.
	refreshAfter = 500 * time.Millisecond
	// maxKeeperPositions bounds the positions of different ages in one answer.
	maxKeeperPositions = 5
	// clockRatePercent is added to an age, because the clock rates of two hosts may differ by that much.
	clockRatePercent = 2
)

// freshnessQuery is a query to the keepers of a database. All reads that allow the same age wait for it.
type freshnessQuery struct {
	done chan struct{}
}

// freshnessQueryKey identifies a query that several reads can share.
type freshnessQueryKey struct {
	database string
	// maxAgeMilliseconds is the maximum age that the route of the reads allows.
	maxAgeMilliseconds int64
}

// keeperClient is the state of one host's queries to the keepers of its failure domain, guarded by the server's mutex.
type keeperClient struct {
	// inFlight holds the queries without an answer.
	inFlight map[freshnessQueryKey]*freshnessQuery
	// backoffUntil holds, by host, until when the host is not asked.
	backoffUntil map[string]time.Time
}

// queryKeepers asks the keepers for the freshness of the route's database in the term, or joins a query in flight, and waits
// for its end. It reports whether one was asked.
func (s *Server) queryKeepers(route jacinthtiller.Route, term uint64) bool {
	age := (time.Duration(route.MaxAgeMilliseconds)*time.Millisecond - ageMargin) * (100 - clockRatePercent) / 100
	if s.freshnessClient == nil || age <= 0 {
		return false
	}
	hosts := s.pool.Placement().FreshnessKeepers(s.domain, route.Database, maxKeeperAttempts)
	if len(hosts) == 0 || hosts[0].Name == s.host {
		return false
	}
	key := freshnessQueryKey{route.Database, route.MaxAgeMilliseconds}
	s.mu.Lock()
	query := s.keepers.inFlight[key]
	if query == nil {
		query = &freshnessQuery{done: make(chan struct{})}
		s.keepers.inFlight[key] = query
		q := jacinthtiller.FreshnessQuery{Database: route.Database, Term: term, AgeMicroseconds: age.Microseconds()}
		s.runInBackground("ask a keeper for the freshness of a database", func() {
			defer s.endKeeperQuery(key, query)
			s.queryEachKeeper(q, hosts)
		})
	}
	s.mu.Unlock()
	select {
	case <-query.done:
	case <-s.ctx.Done():
	}
	return true
}

func (s *Server) endKeeperQuery(key freshnessQueryKey, query *freshnessQuery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keepers.inFlight, key)
	close(query.done)
}

// queryEachKeeper asks one host after the other until one answers. It stops at an entry for this host itself.
func (s *Server) queryEachKeeper(q jacinthtiller.FreshnessQuery, hosts []jacinthtiller.Host) {
	for _, h := range hosts {
		start := time.Now()
		if h.Name == s.host {
			return
		}
		if h.Link == "" || s.keeperInBackoff(h.Name, start) {
			continue
		}
		sentAt := clock.Now()
		a, err := s.freshnessClient.QueryFreshness(h.Link, q, start.Add(keeperTimeout))
		if err != nil {
			s.backOffKeeper(h.Name, start.Add(keeperBackoff))
			s.events.Emit(event.KeeperSilent, event.Fields{"database": q.Database, "keeper": h.Name, "error": err.Error()})
			continue
		}
		s.metrics.countKeeperAnswer(len(a.Positions) > 0)
		for _, k := range a.Positions {
			age := time.Duration(k.AgeMicroseconds) * time.Microsecond
			s.freshnessOf(q.Database).Record(k.Position.Term, replica.Attestation{
				At: sentAt.Add(-age - age*clockRatePercent/100), Position: k.Position,
			})
		}
		return
	}
}

func (s *Server) keeperInBackoff(host string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.keepers.backoffUntil[host])
}

func (s *Server) backOffKeeper(host string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h, at := range s.keepers.backoffUntil {
		if at.Before(until.Add(-keeperBackoff)) {
			delete(s.keepers.backoffUntil, h)
		}
	}
	s.keepers.backoffUntil[host] = until
}

// Freshness answers a query of another host of the failure domain, from what is known here or after querying the primary. It
// implements jacinthtiller.FreshnessSource.
func (s *Server) Freshness(q jacinthtiller.FreshnessQuery, deadline time.Time) jacinthtiller.FreshnessReply {
	if q.Database == "" {
		return jacinthtiller.FreshnessReply{Leased: s.lease.Load().Valid(clock.Now())}
	}
	deadline = time.Now().Add(time.Until(deadline) * keeperAnswerPercent / 100)
	age := time.Duration(q.AgeMicroseconds) * time.Microsecond
	for {
		changed := s.changeSignal()
		at := clock.Now()
		if known := s.freshnessOf(q.Database).AttestationsSince(q.Term, at.Add(-age), maxKeeperPositions); len(known) > 0 {
			if at.Sub(known[len(known)-1].At) > refreshAfter {
				s.refreshPosition(q.Database)
			}
			var out jacinthtiller.FreshnessReply
			for _, a := range known {
				out.Positions = append(out.Positions, jacinthtiller.AgedPosition{
					Position: a.Position, AgeMicroseconds: at.Sub(a.At).Microseconds(),
				})
			}
			return out
		}
		s.refreshPosition(q.Database)
		if !s.waitForChange(changed, deadline) {
			return jacinthtiller.FreshnessReply{}
		}
	}
}

// refreshPosition queries the primary's position in the background, unless such a query is in flight.
func (s *Server) refreshPosition(database string) {
	if p, ok := s.currentPrimary(database); ok && s.beginPositionQuery(database) {
		s.runInBackground("ask a primary for its position", func() { s.queryPrimaryPosition(p) })
	}
}
