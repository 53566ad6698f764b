package statement

import (
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

// With hundreds of hosts each of them sees so few requests for one database that it hardly ever knows how fresh a replica
// has to be, and every read would have to ask the primary. In each failure domain one host, the keeper, therefore asks
// for the others. What a keeper says is a fact about the past, proved under its own lease: that a position of a term
// includes every commit acknowledged before a time. It stays true whatever becomes of the primary or of the keeper.

const (
	// maxKeeperAttempts is how many hosts of the domain may be asked in turn: the keeper, and one more while it is away.
	maxKeeperAttempts = 2
	// keeperTimeout bounds one question: a way between regions and back with a wait for a gateway, for which a guest can wait.
	keeperTimeout = 120 * time.Millisecond
	// keeperAnswerPercent is the part of it, in percent, within which a keeper answers; the rest is for the way.
	keeperAnswerPercent = 80
	// keeperBackoff is how long a keeper that did not answer is passed over.
	keeperBackoff = 2 * time.Second
	// refreshAfter is the age from which on a keeper that is asked asks the primary again in the background, so that the
	// next question need not wait. It is a third of the least age that routes usually allow.
	refreshAfter = 500 * time.Millisecond
	// maxKeeperPositions is how many positions of different ages an answer holds at most.
	maxKeeperPositions = 5
	// clockRatePercent is added to an age because the clocks of two hosts may run at rates that differ by it.
	clockRatePercent = 2
)

// freshnessQuery is one question about the freshness of a database, for which all reads that allow the same age wait.
type freshnessQuery struct {
	done chan struct{}
}

// freshnessQueryKey names what a question is about.
type freshnessQueryKey struct {
	database string
	// maxAgeMilliseconds is the greatest age that the route of the reads allows.
	maxAgeMilliseconds int64
}

// keeperClient are the questions of one host to the keeperClient of its failure domain. The server's mutex guards it.
type keeperClient struct {
	// inFlight holds the questions under way.
	inFlight map[freshnessQueryKey]*freshnessQuery
	// backoffUntil holds until when a host is passed over.
	backoffUntil map[string]time.Time
}

// queryKeepers waits until a keeper has told the freshness of the route's database in the term, or could not, and reports whether
// one was asked.
func (s *Server) queryKeepers(route jacinthtiller.Route, term uint64) bool {
	age := (time.Duration(route.MaxAgeMilliseconds)*time.Millisecond - ageMargin) * (100 - clockRatePercent) / 100
	if s.asker == nil || age <= 0 {
		return false
	}
	list := s.pool.Placement().Keepers(s.domain, route.Database, maxKeeperAttempts)
	if len(list) == 0 || list[0].Name == s.host {
		return false
	}
	key := freshnessQueryKey{route.Database, route.MaxAgeMilliseconds}
	s.mu.Lock()
	query := s.keepers.inFlight[key]
	if query == nil {
		query = &freshnessQuery{done: make(chan struct{})}
		s.keepers.inFlight[key] = query
		q := jacinthtiller.FreshnessQuestion{Database: route.Database, Term: term, AgeMicroseconds: age.Microseconds()}
		s.runInBackground("ask a keeper for the freshness of a database", func() {
			defer s.endKeeperQuery(key, query)
			s.askKeepers(q, list)
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

// askKeepers asks one host after the other until one answers. One that this host would be itself ends the search.
func (s *Server) askKeepers(q jacinthtiller.FreshnessQuestion, list []jacinthtiller.Host) {
	for _, h := range list {
		at := time.Now()
		if h.Name == s.host {
			return
		}
		if h.Link == "" || s.keeperInBackoff(h.Name, at) {
			continue
		}
		asked := clock.Now()
		a, err := s.asker.AskFreshness(h.Link, q, at.Add(keeperTimeout))
		if err != nil {
			s.backOffKeeper(h.Name, at.Add(keeperBackoff))
			s.events.Emit(event.KeeperSilent, event.Fields{"database": q.Database, "keeper": h.Name, "error": err.Error()})
			continue
		}
		s.metrics.countKeeperAnswer(len(a.Known) > 0)
		for _, k := range a.Known {
			age := time.Duration(k.AgeMicroseconds) * time.Microsecond
			s.freshnessOf(q.Database).Attest(k.Position.Term, replica.Attested{
				At: asked.Add(-age - age*clockRatePercent/100), Position: k.Position,
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

// Freshness answers another host of the failure domain: from what is known here, or after asking the primary. It
// implements jacinthtiller.FreshnessSource.
func (s *Server) Freshness(q jacinthtiller.FreshnessQuestion, deadline time.Time) jacinthtiller.FreshnessAnswer {
	if q.Database == "" {
		return jacinthtiller.FreshnessAnswer{Leased: s.lease.Load().Valid(clock.Now())}
	}
	deadline = time.Now().Add(time.Until(deadline) * keeperAnswerPercent / 100)
	age := time.Duration(q.AgeMicroseconds) * time.Microsecond
	for {
		changed := s.changeSignal()
		at := clock.Now()
		if list := s.freshnessOf(q.Database).Within(q.Term, at.Add(-age), maxKeeperPositions); len(list) > 0 {
			if at.Sub(list[len(list)-1].At) > refreshAfter {
				s.refreshFreshness(q.Database)
			}
			var out jacinthtiller.FreshnessAnswer
			for _, a := range list {
				out.Known = append(out.Known, jacinthtiller.AgedPosition{
					Position: a.Position, AgeMicroseconds: at.Sub(a.At).Microseconds(),
				})
			}
			return out
		}
		s.refreshFreshness(q.Database)
		if !s.waitForChange(changed, deadline) {
			return jacinthtiller.FreshnessAnswer{}
		}
	}
}

// refreshFreshness asks the primary of a database for its position in the background, unless that is being done.
func (s *Server) refreshFreshness(database string) {
	if p, ok := s.currentPrimary(database); ok && s.beginPositionQuery(database) {
		s.runInBackground("ask a primary for its position", func() { s.queryPrimaryPosition(p) })
	}
}
