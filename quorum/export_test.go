package quorum

import "go.etcd.io/bbolt"

// Stored returns the state and the last index stored in the node's file.
func (n *Node) Stored() (state State, last uint64, err error) {
	err = n.store.db.View(func(tx *bbolt.Tx) error {
		var out storeContents
		s := store{path: n.store.path}
		if err := s.load(tx, n.config.Name, &out); err != nil {
			return err
		}
		state, last = out.state, out.snapshot.Index
		if k := len(out.entries); k > 0 {
			last = max(last, out.entries[k-1].Index)
		}
		return nil
	})
	return state, last, err
}
