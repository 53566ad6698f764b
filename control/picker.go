package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minBackoff and maxBackoff bound how long a process that did not answer, or could not reach the leader, is avoided;
	// the time doubles with each consecutive failure. minBackoff is longer than an attempt of a renewal; maxBackoff is
	// shorter than most failures, so that a recovered process is used again soon.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// leaderHintBackoff is how long after its last failure a process is asked again when another process names it as the
	// leader, which may have heard from it since.
	leaderHintBackoff = 300 * time.Millisecond
	// leaderlessBackoff is the backoff for a process that knows no leader: the group elects one within a second.
	leaderlessBackoff = 100 * time.Millisecond
)

// distance is how far a control process is from a client.
type distance int

// The distances, nearest first.
const (
	distanceDomain  distance = iota // the same failure domain
	distanceRegion                  // the same region
	distanceUnknown                 // nothing is known
	distanceFar                     // another region
)

// picker chooses among the control processes that a client knows. It does no I/O and reads no clock.
type picker struct {
	// urls holds each process once.
	urls []string
	// distances holds the known distances.
	distances map[string]distance
	// backoffs holds the processes whose last attempt failed.
	backoffs map[string]backoff
	// leader is the last known leader; empty when unknown.
	leader string
	// offset makes clients without any knowledge start at different processes.
	offset int
}

// backoff records the failures of a process and until when it is avoided.
type backoff struct {
	failedAt, retryAt time.Time
	failures          int
}

func newPicker(urls []string, offset int) *picker {
	return &picker{urls: slices.Clone(urls), distances: map[string]distance{}, backoffs: map[string]backoff{}, offset: offset}
}

// nearest returns the process for calls that every process answers: the nearest one without a backoff or, when all have
// one, the one whose backoff ends first. It is empty when no process is known.
func (p *picker) nearest(now time.Time) string {
	best := ""
	for i := range p.urls {
		u := p.urls[(i+p.offset)%len(p.urls)]
		if best == "" || p.compare(u, best, now) < 0 {
			best = u
		}
	}
	return best
}

// compare orders processes by preference.
func (p *picker) compare(a, b string, now time.Time) int {
	wait := func(u string) time.Duration { return max(0, p.backoffs[u].retryAt.Sub(now)) }
	return cmp.Or(cmp.Compare(wait(a), wait(b)), cmp.Compare(p.distance(a), p.distance(b)))
}

func (p *picker) distance(url string) distance {
	if d, ok := p.distances[url]; ok {
		return d
	}
	return distanceUnknown
}

// leaderOrNearest returns the process for calls that only the leader answers: the known leader or, without one, the
// nearest process.
func (p *picker) leaderOrNearest(now time.Time) string {
	if p.leader != "" && !now.Before(p.backoffs[p.leader].retryAt) {
		return p.leader
	}
	return p.nearest(now)
}

// setLeaderHint records that another process names this one as the leader.
func (p *picker) setLeaderHint(url string, now time.Time) {
	if b := p.backoffs[url]; now.Sub(b.failedAt) >= leaderHintBackoff {
		b.retryAt = time.Time{}
		p.backoffs[url] = b
	}
	p.setLeader(url)
}

// setLeader records a process as the leader.
func (p *picker) setLeader(url string) {
	p.leader = url
	if !slices.Contains(p.urls, url) && len(p.urls) < maxKnownURLs {
		p.urls = append(p.urls, url)
	}
}

// markAvailable records that a process answered.
func (p *picker) markAvailable(url string) { delete(p.backoffs, url) }

// markFailed records that a process did not answer or could not reach the leader.
func (p *picker) markFailed(url string, now time.Time) {
	n := p.backoffs[url].failures
	p.backoffs[url] = backoff{failedAt: now, retryAt: now.Add(min(maxBackoff, minBackoff<<min(n, 10))), failures: n + 1}
	if p.leader == url {
		p.leader = ""
	}
}

// markLeaderless records that a process knows no leader.
func (p *picker) markLeaderless(url string, now time.Time) {
	p.backoffs[url] = backoff{failedAt: now, retryAt: now.Add(leaderlessBackoff), failures: p.backoffs[url].failures}
	if p.leader == url {
		p.leader = ""
	}
}

// add adds processes.
func (p *picker) add(urls []string) {
	for _, u := range urls {
		if u != "" && !slices.Contains(p.urls, u) && len(p.urls) < maxKnownURLs {
			p.urls = append(p.urls, u)
		}
	}
}

// replace replaces the list of processes and keeps what is known of those that stay.
func (p *picker) replace(urls []string) {
	p.urls = slices.Clone(urls)
	for u := range p.distances {
		if !slices.Contains(p.urls, u) {
			delete(p.distances, u)
		}
	}
	for u := range p.backoffs {
		if !slices.Contains(p.urls, u) {
			delete(p.backoffs, u)
		}
	}
	if !slices.Contains(p.urls, p.leader) {
		p.leader = ""
	}
}

// nextUnknownDistance returns a process whose distance is not known and which has no backoff; empty when there is none,
// or when a process of the client's own failure domain is known already.
func (p *picker) nextUnknownDistance(now time.Time) string {
	out := ""
	for i := range p.urls {
		u := p.urls[(i+p.offset)%len(p.urls)]
		d := p.distance(u)
		if d == distanceDomain {
			return ""
		}
		if d == distanceUnknown && out == "" && !now.Before(p.backoffs[u].retryAt) {
			out = u
		}
	}
	return out
}

// fingerprint identifies a set of processes, so that a client that has the list already need not receive it.
func fingerprint(urls []string) uint64 {
	h := xxhash.New()
	for _, u := range slices.Sorted(slices.Values(urls)) {
		_, _ = h.WriteString(u + "\x00") // never fails
	}
	return h.Sum64()
}
