package replica

import (
	"slices"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// minAttestationInterval is the least time between two attestations that are kept. It bounds by how much a read asks for
	// a newer position than it has to.
	minAttestationInterval = 50 * time.Millisecond
	// maxAttestations bounds the attestations that are kept: with the spacing they reach back 6 s.
	maxAttestations = 120
)

// Attested says that every commit acknowledged before At is included at Position.
type Attested struct {
	// At is a time of package clock.
	At       time.Time
	Position jacinthtiller.Position
}

// Freshness knows which log positions of one database include every commit that was acknowledged before certain times.
// Attestations come from answers of the primary that arrived under a valid lease: the position in such an answer
// includes all that was acknowledged before its request was sent. It is safe for concurrent use.
type Freshness struct {
	mu sync.Mutex // guards the fields below
	// term is the term of all attestations; an older one says nothing about commits of a newer term.
	term uint64
	// attestations is ordered by At and, because logs only grow within a term, by Position.
	attestations []Attested
}

// Attest takes what an answer of the primary of the term proves.
func (f *Freshness) Attest(term uint64, a Attested) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if term < f.term {
		return
	}
	if term > f.term {
		f.term, f.attestations = term, nil
	}
	n := len(f.attestations)
	if n == 0 {
		f.attestations = append(f.attestations, a)
		return
	}
	last := f.attestations[n-1]
	if !a.At.After(last.At) || !a.Position.Covers(last.Position) {
		return
	}
	if n > 1 && a.At.Sub(f.attestations[n-2].At) < minAttestationInterval {
		f.attestations[n-1] = a
		return
	}
	if n >= maxAttestations {
		f.attestations = append(f.attestations[:0], f.attestations[1:]...)
	}
	f.attestations = append(f.attestations, a)
}

// Since returns the lowest known position in the term that includes every commit acknowledged before the time, with the
// time for which it is attested, and false when none is known. The lower the position, the more replicas hold it.
func (f *Freshness) Since(term uint64, at time.Time) (Attested, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if term != f.term {
		return Attested{}, false
	}
	for _, a := range f.attestations {
		if !a.At.Before(at) {
			return a, true
		}
	}
	return Attested{}, false
}

// Within returns at most count attestations of the term for times from at on, the oldest first: the oldest, the newest, and
// some that lie evenly between them.
func (f *Freshness) Within(term uint64, at time.Time, count int) []Attested {
	f.mu.Lock()
	defer f.mu.Unlock()
	if term != f.term {
		return nil
	}
	first := slices.IndexFunc(f.attestations, func(a Attested) bool { return !a.At.Before(at) })
	if first < 0 || count < 1 {
		return nil
	}
	eligible := f.attestations[first:]
	if len(eligible) <= count {
		return slices.Clone(eligible)
	}
	out := make([]Attested, 0, count)
	for i := range count - 1 {
		out = append(out, eligible[i*len(eligible)/(count-1)])
	}
	return append(out, eligible[len(eligible)-1])
}

// Lag returns by how much a log that ends at the position is behind the primary at the time, and false when nothing is
// known in the term. A log that holds the newest known position has no lag. Exact is false for a log that is older than
// all that is known: it is behind by at least the lag returned, which is no more than the host has known the primary for.
func (f *Freshness) Lag(term uint64, p jacinthtiller.Position, at time.Time) (lag time.Duration, exact, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if term != f.term || len(f.attestations) == 0 {
		return 0, false, false
	}
	for i, a := range f.attestations {
		if a.Position.Compare(p) > 0 {
			return max(0, at.Sub(a.At)), i > 0, true
		}
	}
	return 0, true, true
}

// Newest returns the newest attestation in the term.
func (f *Freshness) Newest(term uint64) (Attested, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if term != f.term || len(f.attestations) == 0 {
		return Attested{}, false
	}
	return f.attestations[len(f.attestations)-1], true
}
