package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happened to a file and to standard output, each line with the seconds since the start.
type record struct {
	began time.Time

	mu   sync.Mutex // guards the field below
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{began: time.Now(), file: f}, nil
}

// now returns the time since the start.
func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) write(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s", r.now().Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
