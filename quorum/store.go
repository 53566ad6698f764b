package quorum

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
)

const (
	fileName      = "quorum.db"
	newFileName   = "quorum.db.new"
	formatName    = "jacinthtiller-quorum"
	formatVersion = 1
	// lockTimeout is how long openStore waits for another process to release the file.
	lockTimeout = time.Second
)

const (
	adviceRepair = "do not edit or reuse the folder: move it away, start with an empty folder and let the group readmit this member"
	adviceFolder = "give this member its own folder, or an empty one if it is new or lost its data"
	adviceBusy   = "stop the other process that uses the folder"
	adviceDisk   = "check the permissions and the free space of the folder, then start again"
)

var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries")
	bucketTail    = []byte("tail")
	keyHeader     = []byte("head")
	keyState      = []byte("state")
	keySnapshot   = []byte("snapshot")
	keyLast       = []byte("last")
)

// header identifies the file and its owner. It is written once.
type header struct {
	Format   string `cbor:"format"`
	Version  int    `cbor:"number"`
	Name     string `cbor:"name"`
	Identity string `cbor:"identity"`
}

// store keeps one member's state in a bbolt file. Every value is preceded by
// its checksum, because bbolt checks only its own meta pages.
type store struct {
	path   string
	db     *bbolt.DB
	header header
}

// storeContents is what a store contained when it was opened.
type storeContents struct {
	state    State
	snapshot Snapshot
	entries  []Entry
	// lastIndex is the index of the last entry, or 0 when there are none. It is stored
	// apart from the entries, so that a page that lost its last entries is detected.
	lastIndex uint64
	// transactionID is the ID of the last transaction.
	transactionID int
}

// openStore opens the file in dir and creates it when dir is empty.
func openStore(dir, name string) (*store, storeContents, error) {
	path := filepath.Join(dir, fileName)
	if err := prepareFolder(dir, path, name); err != nil {
		return nil, storeContents{}, err
	}
	s := &store{path: path}
	var out storeContents
	if err := loadVerified(path, func(tx *bbolt.Tx) error { return s.load(tx, name, &out) }); err != nil {
		return nil, storeContents{}, err
	}
	err := recoverPanics(path, func() (err error) {
		s.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
		return err
	})
	if err != nil {
		return nil, storeContents{}, openError(path, err)
	}
	if err := s.checkUnchanged(out); err != nil {
		return nil, storeContents{}, errors.Join(err, s.db.Close())
	}
	return s, out, nil
}

// checkUnchanged returns an error if another process wrote the file after it was loaded and before it was locked.
func (s *store) checkUnchanged(out storeContents) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		if tx.ID() != out.transactionID {
			err := errors.New("another process wrote the file during the start")
			return &FolderError{File: s.path, Advice: adviceBusy, Err: err}
		}
		return nil
	})
}

// openError adds the path and the advice to an error of bbolt.Open.
func openError(path string, err error) error {
	var folderErr *FolderError
	if errors.As(err, &folderErr) {
		return err
	}
	if errors.Is(err, berrors.ErrTimeout) {
		return &FolderError{File: path, Advice: adviceBusy, Err: err}
	}
	return &FolderError{File: path, Advice: adviceRepair, Err: err}
}

// prepareFolder creates the folder and the file if they do not exist. A folder with
// other files but no quorum file is rejected, because that file may have been lost.
func prepareFolder(dir, path, name string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return &FolderError{File: dir, Advice: adviceDisk, Err: err}
	}
	if _, err := os.Lstat(path); err == nil {
		return nil
	} else if !errors.Is(err, os.ErrNotExist) {
		return &FolderError{File: path, Advice: adviceDisk, Err: err}
	}
	names, err := os.ReadDir(dir)
	if err != nil {
		return &FolderError{File: dir, Advice: adviceDisk, Err: err}
	}
	for _, n := range names {
		if n.Name() != newFileName && n.Name() != "lost+found" {
			err := fmt.Errorf("folder holds %q but no %s", n.Name(), fileName)
			return &FolderError{File: path, Advice: adviceFolder, Err: err}
		}
	}
	if err := createFile(dir, path, name); err != nil {
		return &FolderError{File: path, Advice: adviceDisk, Err: err}
	}
	return nil
}

// createFile creates the file under a temporary name and renames it, so that a crash leaves no incomplete file.
func createFile(dir, path, name string) error {
	temporary := filepath.Join(dir, newFileName)
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("remove unfinished file: %w", err)
	}
	db, err := bbolt.Open(temporary, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	err = db.Update(func(tx *bbolt.Tx) error { return writeInitialContents(tx, name) })
	if err := errors.Join(err, db.Close()); err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("rename file: %w", err)
	}
	return syncFolders(dir, filepath.Dir(dir))
}

func writeInitialContents(tx *bbolt.Tx, name string) error {
	id := make([]byte, 8)
	if _, err := rand.Read(id); err != nil {
		return fmt.Errorf("random identity: %w", err)
	}
	meta, err := tx.CreateBucket(bucketMeta)
	if err != nil {
		return fmt.Errorf("bucket: %w", err)
	}
	if _, err := tx.CreateBucket(bucketEntries); err != nil {
		return fmt.Errorf("bucket: %w", err)
	}
	tail, err := tx.CreateBucket(bucketTail)
	if err != nil {
		return fmt.Errorf("bucket: %w", err)
	}
	h := header{Format: formatName, Version: formatVersion, Name: name, Identity: hex.EncodeToString(id)}
	return errors.Join(put(meta, keyHeader, h), put(meta, keyState, State{}),
		put(meta, keySnapshot, Snapshot{}), put(tail, keyLast, uint64(0)))
}

func syncFolders(dirs ...string) error {
	for _, d := range dirs {
		f, err := os.Open(d)
		if err != nil {
			return fmt.Errorf("open folder: %w", err)
		}
		if err := errors.Join(f.Sync(), f.Close()); err != nil {
			return fmt.Errorf("sync folder: %w", err)
		}
	}
	return nil
}

// load reads the contents of the file and checks that they are consistent.
func (s *store) load(tx *bbolt.Tx, name string, out *storeContents) error {
	out.transactionID = tx.ID()
	meta, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketEntries)
	if meta == nil || entries == nil || meta.Get(keyHeader) == nil {
		err := errors.New("the file is not a quorum file")
		return &FolderError{File: s.path, Advice: adviceFolder, Err: err}
	}
	if err := get(meta, keyHeader, &s.header); err != nil {
		return damagedError(s.path, err)
	}
	if s.header.Format != formatName || s.header.Version != formatVersion || s.header.Name != name {
		err := fmt.Errorf("the file is of member %q and format %s %d, not of member %q and format %s %d",
			s.header.Name, s.header.Format, s.header.Version, name, formatName, formatVersion)
		return &FolderError{File: s.path, Advice: adviceFolder, Err: err}
	}
	if err := checkKeys(tx); err != nil {
		return damagedError(s.path, err)
	}
	if err := get(tx.Bucket(bucketTail), keyLast, &out.lastIndex); err != nil {
		return damagedError(s.path, err)
	}
	return s.loadLog(meta, entries, out)
}

func (s *store) loadLog(meta, entries *bbolt.Bucket, out *storeContents) error {
	if err := errors.Join(get(meta, keyState, &out.state), get(meta, keySnapshot, &out.snapshot)); err != nil {
		return damagedError(s.path, err)
	}
	err := entries.ForEach(func(k, v []byte) error {
		var e Entry
		if err := decode(v, &e); err != nil {
			return fmt.Errorf("entry %x: %w", k, err)
		}
		if len(k) != 8 || binary.BigEndian.Uint64(k) != e.Index {
			return fmt.Errorf("entry %x has index %d", k, e.Index)
		}
		out.entries = append(out.entries, e)
		return nil
	})
	if err != nil {
		return damagedError(s.path, err)
	}
	if err := out.validate(); err != nil {
		return damagedError(s.path, err)
	}
	return nil
}

// checkKeys reports keys that are missing or unknown. A damaged page can lose or
// rename a key or turn a value into a bucket, and only values have checksums.
func checkKeys(tx *bbolt.Tx) error {
	want := map[string]int{string(bucketMeta): 3, string(bucketTail): 1, string(bucketEntries): -1}
	return errors.Join(tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
		n, ok := want[string(name)]
		if !ok {
			return fmt.Errorf("unknown bucket %q", name)
		}
		keys := 0
		err := b.ForEach(func(k, v []byte) error {
			if v == nil {
				return fmt.Errorf("bucket %q holds an unexpected bucket %q", name, k)
			}
			keys++
			return nil
		})
		if err == nil && n >= 0 && keys != n {
			err = fmt.Errorf("bucket %q has %d keys instead of %d", name, keys, n)
		}
		return err
	}), checkRequired(tx, want))
}

// checkRequired reports missing buckets and keys that every file has since its creation.
func checkRequired(tx *bbolt.Tx, buckets map[string]int) error {
	for name := range buckets {
		if tx.Bucket([]byte(name)) == nil {
			return fmt.Errorf("bucket %q is missing", name)
		}
	}
	meta, tail := tx.Bucket(bucketMeta), tx.Bucket(bucketTail)
	if meta.Get(keyState) == nil || meta.Get(keySnapshot) == nil || tail.Get(keyLast) == nil {
		return errors.New("the state, the snapshot or the last index is missing")
	}
	return nil
}

// validate reports contents that complete transactions cannot have produced.
func (s storeContents) validate() error {
	last := uint64(0)
	if n := len(s.entries); n > 0 {
		last = s.entries[n-1].Index
	}
	if last != s.lastIndex {
		return fmt.Errorf("entries end at %d instead of %d", last, s.lastIndex)
	}
	if s.snapshot.Index == 0 {
		if len(s.entries) > 0 || s.state.Vote != "" {
			return errors.New("there are entries or a vote but no founding record")
		}
		return nil
	}
	if s.state.Term < s.snapshot.Term {
		return fmt.Errorf("term %d is below the snapshot's term %d", s.state.Term, s.snapshot.Term)
	}
	if len(s.entries) > 0 && s.entries[0].Index > s.snapshot.Index+1 {
		return fmt.Errorf("entries start at %d after the snapshot at %d", s.entries[0].Index, s.snapshot.Index)
	}
	for i, e := range s.entries {
		switch {
		case i > 0 && e.Index != s.entries[i-1].Index+1:
			return fmt.Errorf("entry %d follows entry %d", e.Index, s.entries[i-1].Index)
		case i > 0 && e.Term < s.entries[i-1].Term, e.Term > s.state.Term:
			return fmt.Errorf("entry %d has term %d out of order", e.Index, e.Term)
		case e.Kind == EntryMembership && e.Membership == nil:
			return fmt.Errorf("entry %d lacks its membership", e.Index)
		}
	}
	if n := len(s.entries); n > 0 && s.entries[n-1].Index < s.snapshot.Index {
		return fmt.Errorf("entries end at %d before the snapshot at %d", s.entries[n-1].Index, s.snapshot.Index)
	}
	return nil
}

// save writes the durable part of effects in one synced transaction.
func (s *store) save(e Effects) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketEntries)
		if e.State != nil {
			if err := put(meta, keyState, *e.State); err != nil {
				return fmt.Errorf("state: %w", err)
			}
		}
		if e.Snapshot != nil {
			if err := put(meta, keySnapshot, *e.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		if err := saveEntries(entries, e); err != nil {
			return err
		}
		return saveLast(tx.Bucket(bucketTail), entries, e)
	})
	if err != nil {
		return &FolderError{File: s.path, Advice: adviceDisk, Err: fmt.Errorf("write: %w", err)}
	}
	return nil
}

func saveEntries(b *bbolt.Bucket, e Effects) error {
	if e.FirstIndex != 0 {
		if err := deleteEntries(b, 0, e.FirstIndex); err != nil {
			return fmt.Errorf("compaction: %w", err)
		}
	}
	if e.ReplaceFrom != 0 {
		if err := deleteEntries(b, e.ReplaceFrom+uint64(len(e.Entries)), 0); err != nil {
			return fmt.Errorf("truncation: %w", err)
		}
	}
	for _, x := range e.Entries {
		if err := put(b, entryKey(x.Index), x); err != nil {
			return fmt.Errorf("entry %d: %w", x.Index, err)
		}
	}
	return nil
}

func saveLast(tail, entries *bbolt.Bucket, e Effects) error {
	if e.ReplaceFrom == 0 && e.FirstIndex == 0 {
		return nil
	}
	last := uint64(0)
	if k, _ := entries.Cursor().Last(); k != nil {
		last = binary.BigEndian.Uint64(k)
	}
	if err := put(tail, keyLast, last); err != nil {
		return fmt.Errorf("last index: %w", err)
	}
	return nil
}

// deleteEntries deletes the entries with indexes in [from, to); a to of 0 means no upper bound.
func deleteEntries(b *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte
	c := b.Cursor()
	for k, _ := c.Seek(entryKey(from)); k != nil; k, _ = c.Next() {
		if to != 0 && binary.BigEndian.Uint64(k) >= to {
			break
		}
		keys = append(keys, k)
	}
	for _, k := range keys {
		if err := b.Delete(k); err != nil {
			return fmt.Errorf("delete %x: %w", k, err)
		}
	}
	return nil
}

func (s *store) close() error {
	if err := s.db.Close(); err != nil {
		return fmt.Errorf("close %s: %w", s.path, err)
	}
	return nil
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func put(b *bbolt.Bucket, key []byte, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	value := binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(data)), xxhash.Sum64(data))
	if err := b.Put(key, append(value, data...)); err != nil {
		return fmt.Errorf("put: %w", err)
	}
	return nil
}

// get reads a value into v; a missing value leaves v unchanged.
func get(b *bbolt.Bucket, key []byte, v any) error {
	data := b.Get(key)
	if data == nil {
		return nil
	}
	if err := decode(data, v); err != nil {
		return fmt.Errorf("value %q: %w", key, err)
	}
	return nil
}

func decode(data []byte, v any) error {
	if len(data) < 8 || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[8:]) {
		return errors.New("checksum does not match")
	}
	if err := cbor.Unmarshal(data[8:], v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}
