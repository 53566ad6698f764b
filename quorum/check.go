package quorum

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"runtime/debug"

	"go.etcd.io/bbolt"
)

// The layout of a bbolt meta page: a page header followed by the fields that the checksum covers.
const (
	metaOffset          = 16
	metaMagic           = 0xED0CDAED
	metaPageSizeOffset  = metaOffset + 8
	metaPageCountOffset = metaOffset + 40
	metaChecksumOffset  = metaOffset + 56
	metaEndOffset       = metaOffset + 64
	maxPageSizeBytes    = 1 << 16
)

// loadVerified loads a file before it is opened for writing and rejects one that is
// truncated or damaged. bbolt itself falls back to the older of its two meta pages
// if the newer one is damaged, which would undo a vote or an acknowledgement, and it
// fails with a memory fault on a file that is too short. A meta page fits into one
// sector, so a crash during its write leaves it old or new but not damaged.
func loadVerified(path string, load func(tx *bbolt.Tx) error) error {
	return recoverPanics(path, func() (err error) {
		// The file is locked first, because another process may be writing the pages.
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true, PreLoadFreelist: true})
		if err != nil {
			return openError(path, err)
		}
		defer func() { err = errors.Join(err, db.Close()) }()
		if err := checkMeta(path); err != nil {
			return damagedError(path, err)
		}
		if err := db.View(load); err != nil {
			return err
		}
		if err := db.View(checkPages); err != nil {
			return damagedError(path, err)
		}
		return nil
	})
}

// checkPages reports pages that are used twice or not at all. bbolt checks them in
// its own goroutine, where a panic could not be recovered, so all values must have
// been read within recoverPanics before.
func checkPages(tx *bbolt.Tx) error {
	pages := int(tx.Size()) / tx.DB().Info().PageSize
	for id := 0; id < pages; id++ {
		p, err := tx.Page(id)
		if err != nil {
			return fmt.Errorf("page %d: %w", id, err)
		}
		if p == nil {
			return fmt.Errorf("page %d is missing", id)
		}
		// bbolt does not bound its loop over the overflow pages.
		if p.Type != "free" && p.OverflowCount >= pages-id {
			return fmt.Errorf("page %d has %d overflow pages of %d pages in all", id, p.OverflowCount, pages)
		}
		if p.Type != "free" {
			id += p.OverflowCount
		}
	}
	var errs []error
	for err := range tx.Check() {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// recoverPanics calls f and turns panics and memory faults of bbolt on a damaged file into errors.
func recoverPanics(path string, f func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer func() {
		debug.SetPanicOnFault(old)
		if r := recover(); r != nil {
			err = damagedError(path, fmt.Errorf("panic during access: %v", r))
		}
	}()
	return f()
}

func damagedError(path string, err error) error {
	return &FolderError{File: path, Advice: adviceRepair, Err: fmt.Errorf("the file is damaged: %w", err)}
}

func checkMeta(path string) (err error) {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	info, err := f.Stat()
	if err != nil {
		return fmt.Errorf("stat: %w", err)
	}
	pageSize, pageCount, err := readMeta(f, 0)
	if err != nil {
		return fmt.Errorf("first meta page: %w", err)
	}
	_, secondPageCount, err := readMeta(f, pageSize)
	if err != nil {
		return fmt.Errorf("second meta page: %w", err)
	}
	if needed := max(pageCount, secondPageCount) * uint64(pageSize); uint64(info.Size()) < needed {
		return fmt.Errorf("it has %d bytes, but its pages take %d", info.Size(), needed)
	}
	return nil
}

// readMeta checks the meta page at the offset and returns the page size and the number of pages in use.
func readMeta(f *os.File, offset int64) (pageSize int64, pageCount uint64, err error) {
	b := make([]byte, metaEndOffset)
	if _, err := f.ReadAt(b, offset); err != nil {
		if errors.Is(err, io.EOF) {
			return 0, 0, errors.New("the file is too short")
		}
		return 0, 0, fmt.Errorf("read: %w", err)
	}
	h := fnv.New64a()
	_, _ = h.Write(b[metaOffset:metaChecksumOffset])
	size := binary.NativeEndian.Uint32(b[metaPageSizeOffset:])
	switch {
	case binary.NativeEndian.Uint32(b[metaOffset:]) != metaMagic:
		return 0, 0, errors.New("it is not a bbolt file")
	case binary.NativeEndian.Uint64(b[metaChecksumOffset:]) != h.Sum64():
		return 0, 0, errors.New("checksum does not match")
	case size == 0 || size > maxPageSizeBytes:
		return 0, 0, fmt.Errorf("invalid page size %d", size)
	}
	return int64(size), binary.NativeEndian.Uint64(b[metaPageCountOffset:]), nil
}
