// Package trace merges the trace files of all processes and checks the
// guarantees that concern more than one process.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/jacinthtiller/jacinthtiller/event"
)

// maxLineBytes bounds one record.
const maxLineBytes = 1 << 20

// Record is an event with its location in a trace file.
type Record struct {
	event.Record
	// File and Line locate the record; lines count from 1.
	File string
	Line int
}

// Location returns file:line.
func (r Record) Location() string { return fmt.Sprintf("%s:%d", r.File, r.Line) }

// stringField returns a field as a string, empty when it is absent.
func (r Record) stringField(name string) string {
	s, _ := r.Fields[name].(string)
	return s
}

// numberField returns a field as a number, 0 when it is absent.
func (r Record) numberField(name string) uint64 {
	f, _ := r.Fields[name].(float64)
	return uint64(max(0, f))
}

// LineError reports a trace line that cannot be decoded.
type LineError struct {
	File string
	Line int
	Err  error
}

// Error returns the location and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// Read reads one trace. It ignores a truncated last line, which a killed process may leave.
func Read(file string, r io.Reader) ([]Record, error) {
	var out []Record
	var invalidLine *LineError
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for line := 1; s.Scan(); line++ {
		if invalidLine != nil {
			return nil, invalidLine
		}
		rec := Record{File: file, Line: line}
		if err := json.Unmarshal(s.Bytes(), &rec.Record); err != nil {
			invalidLine = &LineError{File: file, Line: line, Err: err}
			continue
		}
		out = append(out, rec)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read trace %s: %w", file, err)
	}
	return out, nil
}

// ReadFiles reads and merges the traces.
func ReadFiles(paths ...string) ([]Record, error) {
	var all []Record
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, fmt.Errorf("open trace: %w", err)
		}
		records, err := Read(p, f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return Merge(all), nil
}

// Merge orders records by time and, within a host, by sequence. The order across hosts is meaningful
// only when their clocks agree, as for processes on one machine.
func Merge(records []Record) []Record {
	out := slices.Clone(records)
	slices.SortStableFunc(out, func(a, b Record) int {
		if a.Host == b.Host && a.File == b.File {
			return a.Line - b.Line
		}
		return a.Time.Compare(b.Time)
	})
	return out
}
