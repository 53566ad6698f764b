package replica

import (
	"slices"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// minAttestationInterval is the least time between two kept attestations. It bounds how much newer than necessary the
	// position required by a read can be.
	minAttestationInterval = 50 * time.Millisecond
	// maxAttestations bounds the kept attestations: at minAttestationInterval they cover 6 s.
	maxAttestations = 120
)

// Attestation states that Position includes every commit acknowledged before At.
type Attestation struct {
	// At is a time on the clock of package clock.
	At       time.Time
	Position jacinthtiller.Position
}

// Freshness records log positions of one database with the times before which all acknowledged commits are included.
// Attestations come from responses of the primary that arrived under a valid lease: the position in such a response
// includes all commits acknowledged before the request was sent. Freshness is safe for concurrent use.
type Freshness struct {
	mu sync.Mutex // guards the fields below
	// term is the term of all attestations; attestations of an older term say nothing about commits of a newer one.
	term uint64
	// attestations are ordered by At and, because logs only grow within a term, by Position.
	attestations []Attestation
}

// Record adds an attestation from a response of the primary of the term.
func (f *Freshness) Record(term uint64, a Attestation) {
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

// AttestationSince returns the attestation with the lowest position in the term that includes every commit acknowledged
// before the time, and false if none is known. The lower the position, the more replicas have reached it.
func (f *Freshness) AttestationSince(term uint64, at time.Time) (Attestation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if term != f.term {
		return Attestation{}, false
	}
	for _, a := range f.attestations {
		if !a.At.Before(at) {
			return a, true
		}
	}
	return Attestation{}, false
}

// AttestationsSince returns at most count attestations of the term for the given time or later, oldest first: the oldest,
// the newest, and others evenly distributed between them.
func (f *Freshness) AttestationsSince(term uint64, at time.Time, count int) []Attestation {
	f.mu.Lock()
	defer f.mu.Unlock()
	if term != f.term {
		return nil
	}
	first := slices.IndexFunc(f.attestations, func(a Attestation) bool { return !a.At.Before(at) })
	if first < 0 || count < 1 {
		return nil
	}
	eligible := f.attestations[first:]
	if len(eligible) <= count {
		return slices.Clone(eligible)
	}
	out := make([]Attestation, 0, count)
	for i := range count - 1 {
		out = append(out, eligible[i*len(eligible)/(count-1)])
	}
	return append(out, eligible[len(eligible)-1])
}

// Lag returns how far a log that ends at the position is behind the primary at the time, and ok is false if there is no
// attestation of the term. A log that has reached the newest attested position has no lag. If the log is behind all
// attestations, exact is false and the lag is a lower bound, which is no more than the host has known the primary for.
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
func (f *Freshness) Newest(term uint64) (Attestation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if term != f.term || len(f.attestations) == 0 {
		return Attestation{}, false
	}
	return f.attestations[len(f.attestations)-1], true
}
