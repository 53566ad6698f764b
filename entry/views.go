// Package entry connects the parts of the entry role: it watches the control
// group's view, renews the host's lease, accepts targets' announcements and
// serves the calls of peers.
package entry

import (
	"sync"
	"sync/atomic"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/document"
)

// ViewStore holds the current view and its document. It is safe for concurrent use.
type ViewStore struct {
	// directory is parsed from the sections of the view, only when the document changes.
	directory atomic.Pointer[document.Directory]

	mu sync.Mutex // guards the fields below
	// view is never replaced by one with a lower index.
	view jacinthtiller.View
	// changed is closed and replaced when the index of view changes.
	changed chan struct{}
}

// NewViewStore returns a ViewStore with an empty view of index 0.
func NewViewStore() *ViewStore {
	v := &ViewStore{changed: make(chan struct{})}
	v.directory.Store(document.NewDirectory(nil))
	return v
}

// Directory returns the roles and teams of the current document.
func (v *ViewStore) Directory() *document.Directory { return v.directory.Load() }

// View returns the current view. Its maps must not be changed.
func (v *ViewStore) View() jacinthtiller.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view
}

// Changed returns a channel that is closed when the view is next replaced.
func (v *ViewStore) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Apply applies d to the current view. It returns false if d does not apply to
// the current view; the caller then asks for a full view.
func (v *ViewStore) Apply(d jacinthtiller.Delta) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.From == d.Index && d.Index == v.view.Index {
		return true // a heartbeat changes nothing, and the maps need no copy
	}
	next, ok := v.view.With(d)
	if !ok {
		return false
	}
	v.replaceLocked(next)
	return true
}

// ReplaceIfNewer replaces the current view if view is newer, and reports whether it was.
func (v *ViewStore) ReplaceIfNewer(view jacinthtiller.View) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if view.Index <= v.view.Index {
		return false
	}
	v.replaceLocked(view)
	return true
}

// replaceLocked replaces the view. The caller holds v.mu.
func (v *ViewStore) replaceLocked(view jacinthtiller.View) {
	indexChanged := view.Index != v.view.Index
	if view.Document != v.view.Document {
		v.directory.Store(document.NewDirectory(view.Sections))
	}
	v.view = view
	if indexChanged {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}
