package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstAvoid and longestAvoid bound how long a process that did not answer, or could not reach the leader, is passed
	// over; the time doubles with each failure in a row. The first is longer than an attempt of a renewal, the longest
	// shorter than most faults, so that a process which is back is used again soon.
	firstAvoid   = time.Second
	longestAvoid = 8 * time.Second
	// namedAfter is how long after its last failure a process is asked again when another one names it as the leader: the
	// other one may have heard of it since.
	namedAfter = 300 * time.Millisecond
	// leaderlessAvoid is the same for a process that knows no leader: the group elects one within a second.
	leaderlessAvoid = 100 * time.Millisecond
)

// distance says how far a control process is from a client.
type distance int

// The distances, the nearest first.
const (
	distanceDomain  distance = iota // the same failure domain
	distanceRegion                  // the same region
	distanceUnknown                 // nothing is known
	distanceFar                     // another region
)

// roster is the control processes that a client knows and what it has learned of them. It does no I/O and reads no clock.
type roster struct {
	// urls holds each process once.
	urls []string
	// distances holds those that are known.
	distances map[string]distance
	// avoided holds the processes that failed last.
	avoided map[string]avoidance
	// leader is the process that led last; empty when unknown.
	leader string
	// salt makes clients that know nothing begin at different processes.
	salt int
}

// avoidance is until when a process is passed over.
type avoidance struct {
	failed, until time.Time
	failures      int
}

func newRoster(urls []string, salt int) *roster {
	return &roster{urls: slices.Clone(urls), distances: map[string]distance{}, avoided: map[string]avoidance{}, salt: salt}
}

// near returns the process to ask for what each of them answers: the nearest one that has not failed a moment ago, or,
// when all have, the one that is due first. Empty means that none is known.
func (r *roster) near(now time.Time) string {
	best := ""
	for i := range r.urls {
		u := r.urls[(i+r.salt)%len(r.urls)]
		if best == "" || r.compare(u, best, now) < 0 {
			best = u
		}
	}
	return best
}

// compare orders processes by preference.
func (r *roster) compare(a, b string, now time.Time) int {
	wait := func(u string) time.Duration { return max(0, r.avoided[u].until.Sub(now)) }
	return cmp.Or(cmp.Compare(wait(a), wait(b)), cmp.Compare(r.distance(a), r.distance(b)))
}

func (r *roster) distance(url string) distance {
	if d, ok := r.distances[url]; ok {
		return d
	}
	return distanceUnknown
}

// lead returns the process to ask for what only the leader answers.
func (r *roster) lead(now time.Time) string {
	if r.leader != "" && !now.Before(r.avoided[r.leader].until) {
		return r.leader
	}
	return r.near(now)
}

// named notes that another process names this one as the leader.
func (r *roster) named(url string, now time.Time) {
	if a := r.avoided[url]; now.Sub(a.failed) >= namedAfter {
		a.until = time.Time{}
		r.avoided[url] = a
	}
	r.led(url)
}

// led notes that a process answered as the leader.
func (r *roster) led(url string) {
	r.leader = url
	if !slices.Contains(r.urls, url) && len(r.urls) < maxURLs {
		r.urls = append(r.urls, url)
	}
}

// worked notes that a process answered.
func (r *roster) worked(url string) { delete(r.avoided, url) }

// failed notes that a process did not answer or could not reach the leader.
func (r *roster) failed(url string, now time.Time) {
	n := r.avoided[url].failures
	r.avoided[url] = avoidance{failed: now, until: now.Add(min(longestAvoid, firstAvoid<<min(n, 10))), failures: n + 1}
	if r.leader == url {
		r.leader = ""
	}
}

// leaderless notes that a process knows no leader.
func (r *roster) leaderless(url string, now time.Time) {
	r.avoided[url] = avoidance{failed: now, until: now.Add(leaderlessAvoid), failures: r.avoided[url].failures}
	if r.leader == url {
		r.leader = ""
	}
}

// add names further processes.
func (r *roster) add(urls []string) {
	for _, u := range urls {
		if u != "" && !slices.Contains(r.urls, u) && len(r.urls) < maxURLs {
			r.urls = append(r.urls, u)
		}
	}
}

// replace names all processes. What is known of those that stay is kept.
func (r *roster) replace(urls []string) {
	r.urls = slices.Clone(urls)
	for u := range r.distances {
		if !slices.Contains(r.urls, u) {
			delete(r.distances, u)
		}
	}
	for u := range r.avoided {
		if !slices.Contains(r.urls, u) {
			delete(r.avoided, u)
		}
	}
	if !slices.Contains(r.urls, r.leader) {
		r.leader = ""
	}
}

// unplaced returns a process whose distance is not known and which has not failed; empty when there is none, or when a
// process of the own failure domain is known already.
func (r *roster) unplaced(now time.Time) string {
	out := ""
	for i := range r.urls {
		u := r.urls[(i+r.salt)%len(r.urls)]
		d := r.distance(u)
		if d == distanceDomain {
			return ""
		}
		if d == distanceUnknown && out == "" && !now.Before(r.avoided[u].until) {
			out = u
		}
	}
	return out
}

// fingerprint identifies the set of processes, so that a list which the client has already need not be sent.
func fingerprint(urls []string) uint64 {
	h := xxhash.New()
	for _, u := range slices.Sorted(slices.Values(urls)) {
		_, _ = h.WriteString(u + "\x00") // never fails
	}
	return h.Sum64()
}
