package quorum

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"go.etcd.io/bbolt"
)

// newFilledFolder returns a folder with a founding record, a vote and entries.
func newFilledFolder(t *testing.T) (dir string, want storeContents) {
	dir = filepath.Join(t.TempDir(), "data")
	s, _, err := openStore(dir, "a")
	if err != nil {
		t.Fatal(err)
	}
	m := Membership{Group: "g"}.With(Member{Name: "a", Identity: s.header.Identity, Voter: true})
	want = storeContents{
		state:    State{Term: 3, Vote: "a"},
		snapshot: Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: m},
	}
	for i := uint64(2); i < 40; i++ {
		want.entries = append(want.entries, Entry{Index: i, Term: 2, Data: fmt.Append(nil, "command ", i)})
	}
	e := Effects{State: &want.state, Snapshot: &want.snapshot, FirstIndex: 2, ReplaceFrom: 2, Entries: want.entries}
	if err := errors.Join(s.save(e), s.close()); err != nil {
		t.Fatal(err)
	}
	return dir, want
}

func createForeignDatabase(path string) error {
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucket([]byte("other"))
		return err
	})
	return errors.Join(err, db.Close())
}

func flipBit(path string, offset int64) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	b[offset] ^= 0x10
	return os.WriteFile(path, b, 0o600)
}

// TestFolders guards against a damaged, truncated or foreign folder that is opened as an empty one.
func TestFolders(t *testing.T) {
	cases := map[string]struct {
		damage func(path string) error
		name   string
		advice string
	}{
		"cut to half":           {func(p string) error { return os.Truncate(p, 12<<10) }, "a", adviceRepair},
		"cut to nothing":        {func(p string) error { return os.Truncate(p, 0) }, "a", adviceRepair},
		"cut within a page":     {func(p string) error { return os.Truncate(p, 5000) }, "a", adviceRepair},
		"first meta damaged":    {func(p string) error { return flipBit(p, 70) }, "a", adviceRepair},
		"second meta damaged":   {func(p string) error { return flipBit(p, 4096+70) }, "a", adviceRepair},
		"text file":             {func(p string) error { return os.WriteFile(p, []byte("hello"), 0o600) }, "a", adviceRepair},
		"other bbolt file":      {func(p string) error { return errors.Join(os.Remove(p), createForeignDatabase(p)) }, "a", adviceFolder},
		"folder of another":     {func(string) error { return nil }, "b", adviceFolder},
		"file lost from folder": {func(p string) error { return os.Rename(p, p+".old") }, "a", adviceFolder},
	}
	convey.Convey("A damaged or foreign folder is rejected with its path and advice", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				dir, _ := newFilledFolder(t)
				path := filepath.Join(dir, fileName)
				convey.So(c.damage(path), convey.ShouldBeNil)
				_, _, err := openStore(dir, c.name)
				var folderErr *FolderError
				convey.So(errors.As(err, &folderErr), convey.ShouldBeTrue)
				convey.So(folderErr.File, convey.ShouldEqual, path)
				convey.So(folderErr.Advice, convey.ShouldEqual, c.advice)
			})
		}
	})
	convey.Convey("A folder in use is rejected", t, func() {
		dir, _ := newFilledFolder(t)
		s, _, err := openStore(dir, "a")
		convey.So(err, convey.ShouldBeNil)
		_, _, err = openStore(dir, "a")
		var folderErr *FolderError
		convey.So(errors.As(err, &folderErr), convey.ShouldBeTrue)
		convey.So(folderErr.Advice, convey.ShouldEqual, adviceBusy)
		convey.So(s.close(), convey.ShouldBeNil)
	})
	convey.Convey("A changed byte is detected or changes nothing that is loaded", t, func() {
		dir, want := newFilledFolder(t)
		path := filepath.Join(dir, fileName)
		intact, err := os.ReadFile(path)
		convey.So(err, convey.ShouldBeNil)
		r, detected := rand.New(rand.NewPCG(1, 1)), 0
		for range 400 {
			offset := r.IntN(len(intact))
			damaged := append([]byte(nil), intact...)
			damaged[offset] ^= 1 << r.IntN(8)
			// The file is created anew, because bbolt keeps its lock if it panics in Open.
			if err := errors.Join(os.Remove(path), os.WriteFile(path, damaged, 0o600)); err != nil {
				t.Fatal(err)
			}
			s, got, err := openStore(dir, "a")
			if err != nil {
				detected++
				continue
			}
			want.transactionID, want.lastIndex = got.transactionID, 39
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("byte %d was changed without detection", offset)
			}
			if err := s.close(); err != nil {
				t.Fatal(err)
			}
		}
		t.Logf("%d changed bytes detected, the others were in unused space", detected)
		convey.So(detected, convey.ShouldBeGreaterThan, 0)
	})
}

// TestFolderEffects guards against entries that stay on disk after their truncation or compaction.
func TestFolderEffects(t *testing.T) {
	convey.Convey("The loaded contents are the saved contents", t, func() {
		dir, want := newFilledFolder(t)
		s, got, err := openStore(dir, "a")
		convey.So(err, convey.ShouldBeNil)
		convey.So(got.entries, convey.ShouldResemble, want.entries)
		replaced := []Entry{{Index: 20, Term: 3}, {Index: 21, Term: 3}}
		snapshot := Snapshot{Index: 15, Term: 2, Membership: want.snapshot.Membership, Data: []byte("x")}
		convey.So(s.save(Effects{ReplaceFrom: 20, Entries: replaced}), convey.ShouldBeNil)
		convey.So(s.save(Effects{Snapshot: &snapshot, FirstIndex: 12}), convey.ShouldBeNil)
		convey.So(s.close(), convey.ShouldBeNil)
		s, got, err = openStore(dir, "a")
		convey.So(err, convey.ShouldBeNil)
		convey.So(got.snapshot, convey.ShouldResemble, snapshot)
		convey.So(got.entries, convey.ShouldResemble, append(want.entries[10:18:18], replaced...))
		convey.So(s.close(), convey.ShouldBeNil)
	})
}
