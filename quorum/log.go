package quorum

import (
	"fmt"
	"slices"
)

// configuration is a membership and the index from which it is in effect.
type configuration struct {
	index      uint64
	membership Membership
}

// log is the part of the replicated log that a member keeps in memory.
type log struct {
	// entries[0] is a sentinel before the first entry: only its index and term are used.
	entries []Entry
	// snapshot.Index is at least entries[0].Index and at most the commit index.
	snapshot Snapshot
	// configurations are ordered by index; the first is that of the snapshot, the last is in effect.
	configurations []configuration
	// dirtyFrom is the lowest index to write at the end of the step; 0 when there is none.
	dirtyFrom uint64
	// compactedFirst is the new lowest index to keep in the store after a compaction or an installed snapshot in this
	// step; 0 when unchanged.
	compactedFirst uint64
	// snapshotChanged is true when the snapshot changed in this step.
	snapshotChanged bool
}

// newLog returns the log that consists of a snapshot and the entries stored with it.
func newLog(s Snapshot, entries []Entry) *log {
	l := &log{snapshot: s, configurations: []configuration{{s.Index, s.Membership}}}
	if len(entries) == 0 || entries[0].Index > s.Index {
		l.entries = []Entry{{Index: s.Index, Term: s.Term}}
	}
	l.entries = append(l.entries, entries...)
	for _, e := range l.entries[1:] {
		if e.Kind == EntryMembership && e.Index > s.Index {
			l.configurations = append(l.configurations, configuration{e.Index, *e.Membership})
		}
	}
	return l
}

func (l *log) baseIndex() uint64 { return l.entries[0].Index }

func (l *log) lastIndex() uint64 { return l.entries[len(l.entries)-1].Index }

func (l *log) lastTerm() uint64 { return l.entries[len(l.entries)-1].Term }

// term returns the term of the entry at the index, and false if the log does not hold the entry.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == 0:
		return 0, true
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.baseIndex() || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex()].Term, true
}

// slice returns the entries with indexes above from, up to and including to.
func (l *log) slice(from, to uint64) []Entry {
	return l.entries[from+1-l.baseIndex() : to+1-l.baseIndex() : to+1-l.baseIndex()]
}

func (l *log) membership() Membership { return l.configurations[len(l.configurations)-1].membership }

// configurationIndex returns the index of the entry that holds the membership in effect.
func (l *log) configurationIndex() uint64 { return l.configurations[len(l.configurations)-1].index }

func (l *log) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == EntryMembership {
		l.configurations = append(l.configurations, configuration{e.Index, *e.Membership})
	}
	l.markDirty(e.Index)
}

func (l *log) markDirty(index uint64) {
	if l.dirtyFrom == 0 || index < l.dirtyFrom {
		l.dirtyFrom = index
	}
}

// truncate removes the entries from index on.
func (l *log) truncate(index uint64) {
	if index <= l.snapshot.Index {
		panic(fmt.Sprintf("quorum: truncation at %d below the snapshot at %d", index, l.snapshot.Index))
	}
	l.entries = l.entries[:index-l.baseIndex()]
	l.configurations = slices.DeleteFunc(l.configurations, func(c configuration) bool { return c.index >= index })
	l.markDirty(index)
}

// compact makes data the snapshot at index and keeps up to trailing entries before that index.
func (l *log) compact(index uint64, data []byte, trailing uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.snapshot.Index {
		return
	}
	n := 0
	for n+1 < len(l.configurations) && l.configurations[n+1].index <= index {
		n++
	}
	l.configurations = slices.Clone(l.configurations[n:])
	l.snapshot = Snapshot{Index: index, Term: term, Membership: l.configurations[0].membership, Data: data}
	l.snapshotChanged = true
	if base := index - min(index, trailing); base > l.baseIndex() {
		l.entries = slices.Clone(l.entries[base-l.baseIndex():])
		l.compactedFirst = base
	}
}

// install replaces the whole log by the snapshot.
func (l *log) install(s Snapshot) {
	*l = *newLog(s, nil)
	l.snapshotChanged = true
	l.compactedFirst = s.Index + 1
	l.dirtyFrom = s.Index + 1
}
