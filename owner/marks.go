package owner

import (
	"slices"
	"sync"

	"github.com/jacinthtiller/jacinthtiller"
)

// maxMarkedGuests bounds the table of marks; at 100,000 names of 20 bytes it takes about 10 MB.
const maxMarkedGuests = 100_000

// markTable holds, for one term of one primary, the position of each guest's newest write that is or may be acknowledged.
type markTable struct {
	// limit is the largest number of entries; the floor is raised when there are more.
	limit int

	mu sync.Mutex // guards the fields below
	// floor is at or after every write that was acknowledged to a guest without an entry; it never decreases.
	floor jacinthtiller.Position
	// guests maps guests to positions after floor.
	guests map[string]jacinthtiller.Position
}

// raiseFloor sets the floor, unless it would decrease, and deletes the entries that it covers.
func (m *markTable) raiseFloor(floor jacinthtiller.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.raiseFloorLocked(floor)
}

func (m *markTable) raiseFloorLocked(floor jacinthtiller.Position) {
	if m.floor.Covers(floor) {
		return
	}
	m.floor = floor
	for g, p := range m.guests {
		if floor.Covers(p) {
			delete(m.guests, g)
		}
	}
}

// record stores the position of a guest's write. It must be called before the write's answer is sent.
func (m *markTable) record(guest string, p jacinthtiller.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.floor.Covers(p) || m.guests[guest].Covers(p) {
		return
	}
	if m.guests == nil {
		m.guests = map[string]jacinthtiller.Position{}
	}
	m.guests[guest] = p
	if len(m.guests) > m.limit {
		m.evictOlderHalf()
	}
}

// evictOlderHalf raises the floor to the median, which deletes at least half of the entries.
func (m *markTable) evictOlderHalf() {
	all := make([]jacinthtiller.Position, 0, len(m.guests))
	for _, p := range m.guests {
		all = append(all, p)
	}
	slices.SortFunc(all, jacinthtiller.Position.Compare)
	m.raiseFloorLocked(all[len(all)/2])
}

// lookup returns the marks of the guests; a guest without an entry gets the floor.
func (m *markTable) lookup(guests []string) map[string]jacinthtiller.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]jacinthtiller.Position, len(guests))
	for _, g := range guests {
		out[g] = m.floor.Max(m.guests[g])
	}
	return out
}

func (m *markTable) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.guests)
}
