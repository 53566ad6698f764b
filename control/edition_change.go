package control

import "github.com/jacinthtiller/jacinthtiller"

// maxEditionNames bounds the names that are kept of one new edition. With twice maxRecentChanges editions kept, names of 30
// bytes take at most 12 MB of a control process's 128 MB.
const maxEditionNames = 128

// editionChange is what a new edition changed.
type editionChange struct {
	// from is the number of the former edition.
	from uint64
	// names are the names of the entries that the new edition changed; they are empty when whole is true.
	names jacinthtiller.EditionNames
	// whole is true when there was no former edition, or when more than maxEditionNames entries changed.
	whole bool
}

// newEditionChange compares a new edition with the former one, which is nil when there was none.
func newEditionChange(old *jacinthtiller.Edition, updated jacinthtiller.Edition) *editionChange {
	if old == nil {
		return &editionChange{whole: true}
	}
	names := updated.ChangesSince(*old)
	if names.Len() > maxEditionNames {
		return &editionChange{whole: true}
	}
	return &editionChange{from: old.Number, names: names}
}

// editionDelta returns the delta to e over all changes, which are in the order from the newest to the oldest. It returns the
// whole edition when a change requires it or the delta would not be smaller, and nothing when there is no change.
func editionDelta(list []*editionChange, e *jacinthtiller.Edition) (*jacinthtiller.Edition, *jacinthtiller.EditionDelta) {
	if len(list) == 0 {
		return nil, nil
	}
	names := make([]jacinthtiller.EditionNames, 0, len(list))
	for _, c := range list {
		if c.whole {
			return e, nil
		}
		names = append(names, c.names)
	}
	d, ok := e.Delta(list[len(list)-1].from, jacinthtiller.UnionOfNames(names))
	if !ok {
		return e, nil
	}
	return nil, &d
}
