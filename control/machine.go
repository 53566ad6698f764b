package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// maxRecentChanges is how many indexes a watcher may lag behind and still get a delta; at most twice as many are kept.
// At 670 configuration changes a day this covers more than a day.
const maxRecentChanges = 1024

// machine is the replicated state machine. It implements quorum.Machine.
type machine struct {
	events *event.Log

	mu      sync.Mutex // guards the fields below
	current *state
	// base is the index of the oldest view for which the last maxRecentChanges of recent give a delta.
	base   uint64
	recent []changes
	// changed is closed and replaced when the view changes.
	changed chan struct{}
	// urgent is closed and replaced at changes whose delivery must not be delayed.
	urgent chan struct{}
	// encoded holds the deltas to the current view, by their starting index, in the form with edition deltas.
	encoded map[uint64]*encodedDelta
}

func newMachine(events *event.Log) *machine {
	return &machine{
		events: events, current: newState(), changed: make(chan struct{}), urgent: make(chan struct{}),
		encoded: map[uint64]*encodedDelta{},
	}
}

// Apply applies one log entry and returns the encoded result.
func (m *machine) Apply(index uint64, command []byte) []byte {
	var c Command
	unreadable := decode(command, &c)
	if unreadable != nil {
		m.events.Emit(event.ControlCommandUnreadable, event.Fields{"index": index, "error": unreadable.Error()})
		c = Command{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.current
	next, out, ch := before, commandResult{Code: codeFailed}, changes{index: index}
	// A command whose application panics changes nothing on any member: it would panic again after a restart.
	duty.Run(m.events, "apply a command", event.Fields{"index": index}, func() { next, out, ch = apply(before, index, c) })
	if unreadable != nil {
		out.Code = codeFailed
	}
	m.current = next
	if !ch.empty() {
		m.recent = append(m.recent, ch)
		if n := len(m.recent) - maxRecentChanges; n > 0 {
			m.base = m.recent[n-1].index
			if n >= maxRecentChanges { // trimmed rarely, because each trim copies the remaining entries
				m.recent = slices.Clone(m.recent[n:])
			}
		}
		m.notifyWatchers(ch.urgent)
	}
	emitEvents(m.events, before, next, ch)
	b, err := encode(out)
	if err != nil {
		m.events.Emit(event.ControlCommandUnreadable, event.Fields{"index": index, "error": err.Error()})
	}
	return b
}

func (m *machine) notifyWatchers(urgent bool) {
	close(m.changed)
	m.changed = make(chan struct{})
	if urgent {
		close(m.urgent)
		m.urgent = make(chan struct{})
	}
	m.encoded = map[uint64]*encodedDelta{}
}

// Snapshot returns the encoded state; equal states have equal bytes.
func (m *machine) Snapshot() ([]byte, error) { return encode(m.state()) }

// Restore replaces the state by a snapshot.
func (m *machine) Restore(snapshot []byte) error {
	s := newState()
	if err := decode(snapshot, s); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current, m.recent, m.base = s, nil, s.View.Index
	m.notifyWatchers(true)
	return nil
}

// reset empties the state, before the log is applied from its beginning again.
func (m *machine) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current, m.recent, m.base = newState(), nil, 0
	m.notifyWatchers(true)
}

func (m *machine) state() *state {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// watch returns the state and a channel that is closed when the view changes.
func (m *machine) watch() (*state, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current, m.changed
}

// urgentChange returns a channel that is closed at the next change whose delivery must not be delayed.
func (m *machine) urgentChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.urgent
}

// delta returns the delta from the view at from to the current one, and a channel that is closed when the view changes.
// The delta is nil for a watcher that is up to date or ahead of this process. A watcher that does not accept edition deltas
// gets the whole edition when it has changed.
func (m *machine) delta(from uint64, acceptsEditionDeltas bool) (*encodedDelta, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from >= m.current.View.Index {
		return nil, m.changed
	}
	d, ok := m.encoded[from]
	if !ok {
		d = m.buildDelta(from)
		m.encoded[from] = d
	}
	if !acceptsEditionDeltas {
		d = m.withWholeEdition(d)
	}
	return d, m.changed
}

// heartbeat returns an empty delta for a watcher at from; nil when the watcher is ahead of this process or about to get
// a delta.
func (m *machine) heartbeat(from uint64) *encodedDelta {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from != m.current.View.Index {
		return nil
	}
	d, ok := m.encoded[from]
	if !ok {
		d = &encodedDelta{delta: jacinthtiller.Delta{From: from, Index: from, Document: m.current.View.Document}}
		m.encoded[from] = d
	}
	return d
}

// withWholeEdition returns the form of a delta to the current view for watchers that do not accept edition deltas. All of
// them share it. The caller holds m.mu.
func (m *machine) withWholeEdition(d *encodedDelta) *encodedDelta {
	if d.delta.EditionDelta == nil {
		return d
	}
	if d.wholeEdition == nil {
		d.wholeEdition = &encodedDelta{delta: d.delta, urgent: d.urgent}
		d.wholeEdition.delta.EditionDelta, d.wholeEdition.delta.Edition = nil, m.current.View.Edition
	}
	return d.wholeEdition
}

// buildDelta builds the delta from the names of the entries that changed since from, or a full view when these are no
// longer known.
func (m *machine) buildDelta(from uint64) *encodedDelta {
	v := m.current.View
	if from == 0 || from < m.base {
		return &encodedDelta{urgent: true, delta: jacinthtiller.Delta{
			Index: v.Index, Document: v.Document, Hosts: v.Hosts, Databases: v.Databases, Sections: v.Sections,
			Edition: v.Edition,
		}}
	}
	urgent := false
	d := jacinthtiller.Delta{
		From: from, Index: v.Index, Document: v.Document,
		Hosts: map[string]jacinthtiller.Host{}, Databases: map[string]jacinthtiller.Database{},
		Sections: map[string]jacinthtiller.Section{},
	}
	removed := map[string]bool{}
	var editions []*editionChange
	for i := len(m.recent) - 1; i >= 0 && m.recent[i].index > from; i-- {
		urgent = urgent || m.recent[i].urgent
		for _, n := range m.recent[i].hosts {
			if h, ok := v.Hosts[n]; ok {
				d.Hosts[n] = h
			} else {
				removed[n] = true
			}
		}
		for _, n := range m.recent[i].databases {
			d.Databases[n] = v.Databases[n]
		}
		if c := m.recent[i].edition; c != nil {
			editions = append(editions, c)
		}
		for _, n := range m.recent[i].sections {
			d.Sections[n] = v.Sections[n]
		}
	}
	d.RemovedHosts = slices.Sorted(maps.Keys(removed))
	d.Edition, d.EditionDelta = editionDelta(editions, v.Edition)
	return &encodedDelta{delta: d, urgent: urgent}
}

// compressMinBytes is the size from which a delta is compressed; smaller ones fit into three packets.
const compressMinBytes = 4096

// encodedDelta is a delta that is encoded and compressed once for all watchers.
type encodedDelta struct {
	delta jacinthtiller.Delta
	// urgent is true when delivery of the delta must not be delayed.
	urgent bool
	// wholeEdition is the form for watchers that do not accept edition deltas; nil until one of them asks. It is guarded by
	// the lock of the machine.
	wholeEdition *encodedDelta

	once sync.Once
	raw  []byte
	err  error
	// compressOnce guards compressed and compressErr. A small delta is its own compressed form.
	compressOnce sync.Once
	compressed   *encodedDelta
	compressErr  error
}

// MarshalCBOR returns the encoded delta.
func (d *encodedDelta) MarshalCBOR() ([]byte, error) {
	d.once.Do(func() { d.raw, d.err = encode(d.delta) })
	return d.raw, d.err
}

// compress returns the compressed form of the delta, for watchers that accept it. A compressor for each watcher would
// use more resources than the rest of a control process when hundreds of hosts or targets register at once.
func (d *encodedDelta) compress() (*encodedDelta, error) {
	d.compressOnce.Do(func() {
		raw, err := d.MarshalCBOR()
		if err != nil {
			d.compressErr = err
			return
		}
		if len(raw) < compressMinBytes {
			d.compressed = d
			return
		}
		b, err := compress(raw)
		d.compressed, d.compressErr = &encodedDelta{delta: jacinthtiller.Delta{Compressed: b}}, err
	})
	return d.compressed, d.compressErr
}

// decompressDelta returns the delta that a message of a watch holds.
func decompressDelta(d jacinthtiller.Delta) (jacinthtiller.Delta, error) {
	if len(d.Compressed) == 0 {
		return d, nil
	}
	raw, err := decompress(d.Compressed)
	if err != nil {
		return d, err
	}
	var out jacinthtiller.Delta
	if err := decode(raw, &out); err != nil {
		return d, err
	}
	return out, nil
}

// MarshalJSON returns the delta for plain HTTP clients.
func (d *encodedDelta) MarshalJSON() ([]byte, error) {
	b, err := json.Marshal(d.delta)
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	return b, nil
}

// emitEvents emits the events of one applied entry.
func emitEvents(events *event.Log, before, after *state, ch changes) {
	for _, n := range ch.hosts {
		old, h := before.View.Hosts[n], after.View.Hosts[n]
		f := event.Fields{"name": n, "domain": h.Domain, "incarnation": h.Incarnation, "index": ch.index}
		switch {
		case h.LeaseEnded && !old.LeaseEnded:
			events.Emit(event.ControlHostGone, f)
		case h.Name != "" && !h.LeaseEnded:
			events.Emit(event.ControlHostRegistered, f)
		}
	}
	if ch.edition != nil {
		events.Emit(event.ControlEditionApplied, event.Fields{
			"number": after.View.Edition.Number, "routes": len(after.View.Edition.Routes),
			"accounts": len(after.View.Edition.Accounts), "index": ch.index,
		})
	}
	for _, n := range ch.databases {
		if after.View.Databases[n].Direct {
			emitDirectEvents(events, before.View.Databases[n], after.View.Databases[n], ch.index)
			continue
		}
		emitDatabaseEvents(events, before.View.Databases[n], after.View.Databases[n], ch.index)
	}
	for _, n := range ch.sections {
		s := after.View.Sections[n]
		events.Emit(event.ControlSectionApplied, event.Fields{
			"team": n, "revision": s.Revision, "author": s.Author, "index": ch.index,
		})
	}
}

// emitDirectEvents emits the events of a change to a direct group.
func emitDirectEvents(events *event.Log, old, d jacinthtiller.Database, index uint64) {
	f := event.Fields{"database": d.Name, "term": d.Term, "primary": d.Primary, "index": index}
	switch {
	case d.Primary == "" && old.Primary != "":
		f["former"] = d.FormerPrimary
		events.Emit(event.ControlPrimarySuspended, f)
	case d.Candidate != "" && d.Candidate != old.Candidate:
		f["candidate"] = d.Candidate
		events.Emit(event.ControlCandidateChosen, f)
	case d.Primary != "" && (d.Primary != old.Primary || d.Term != old.Term):
		f["floor"] = d.MarkFloor.String()
		events.Emit(event.ControlPrimaryRecorded, f)
	}
	for _, n := range d.TargetNames() {
		if t := d.Targets[n]; t != old.Targets[n] {
			events.Emit(event.ControlTargetEnlisted, event.Fields{
				"database": d.Name, "target": n, "address": t.Address, "domain": t.Domain, "state": string(t.State),
				"role": string(t.Role), "born": t.StartedMilliseconds, "index": index,
			})
		}
	}
	for _, n := range old.TargetNames() {
		if _, ok := d.Targets[n]; !ok {
			events.Emit(event.ControlTargetRemoved, event.Fields{"database": d.Name, "target": n, "index": index})
		}
	}
}

func emitDatabaseEvents(events *event.Log, old, d jacinthtiller.Database, index uint64) {
	f := event.Fields{"database": d.Name, "term": d.Term, "primary": d.Primary, "index": index}
	switch {
	case d.Term > old.Term && d.Primary == "":
		events.Emit(event.ControlPromotionOpened, f)
	case d.Primary != "" && (d.Term > old.Term || old.Primary == ""):
		events.Emit(event.ControlPromotionCommitted, f)
	case d.Successor != "" && old.Successor == "":
		events.Emit(event.ControlMoveStarted, event.Fields{"database": d.Name, "term": d.Term, "target": d.Successor, "index": index})
	case d.Successor == "" && old.Successor != "":
		events.Emit(event.ControlMoveCancelled, f)
	}
	for _, n := range d.TargetNames() {
		t, was := d.Targets[n], old.Targets[n]
		g := event.Fields{"database": d.Name, "target": n, "owner": t.Owner, "epoch": t.Epoch, "index": index}
		switch {
		case t.Lost && !was.Lost || was.Owner != "" && t.Owner == "":
			events.Emit(event.ControlTargetLost, g)
		case t.Owner != was.Owner:
			events.Emit(event.ControlTargetsAssigned, g)
		case t != was:
			events.Emit(event.ControlTargetObserved, g)
		}
	}
	for n := range old.Targets {
		if _, ok := d.Targets[n]; !ok {
			events.Emit(event.ControlTargetRemoved, event.Fields{"database": d.Name, "target": n, "index": index})
		}
	}
}
