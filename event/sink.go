package event

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// sinkLines is how many lines wait for a slow reader of the log, about a quarter of a megabyte.
	sinkLines = 1024
	// linesPerSecond bounds what a process logs below the level of warnings. At 5,000 guests a second that fail it
	// keeps the log under 200 KB/s and under a hundredth of a core.
	linesPerSecond = 250
	// flushLimit bounds the wait for a slow reader at the end of a process.
	flushLimit = 500 * time.Millisecond
)

// Sink passes lines on to a writer without ever blocking those who log: when its ring is full, lines are left out and
// counted, and the count is written as an event. It implements io.Writer, one line a call.
type Sink struct {
	w     io.Writer
	group conc.WaitGroup
	// lines is the ring. When it is full the line is dropped.
	lines   chan []byte
	dropped atomic.Uint64
	once    sync.Once
	done    chan struct{}
}

// NewSink returns a sink that writes to w until Close.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, lines: make(chan []byte, sinkLines), done: make(chan struct{})}
	s.group.Go(s.run)
	return s
}

// Write takes one line.
func (s *Sink) Write(line []byte) (int, error) {
	b := append([]byte(nil), line...)
	select {
	case s.lines <- b:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out for want of room.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits, for a short time at most.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.done) })
	finished := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		s.group.Wait()
		close(finished)
	})
	select {
	case <-finished:
	case <-time.After(flushLimit):
	}
}

func (s *Sink) run() {
	var reported uint64
	for {
		select {
		case b := <-s.lines:
			_, _ = s.w.Write(b) // there is no other place to report to
			if n := s.dropped.Load(); n > reported && len(s.lines) == 0 {
				s.reportDropped(n - reported)
				reported = n
			}
		case <-s.done:
			for len(s.lines) > 0 {
				_, _ = s.w.Write(<-s.lines)
			}
			return
		}
	}
}

func (s *Sink) reportDropped(n uint64) {
	b, err := json.Marshal(map[string]any{
		"event": LinesDropped.Number, "msg": LinesDropped.Name, "level": LinesDropped.Level.String(), "count": n,
		"cause": "slow reader", "time": time.Now().Format(time.RFC3339Nano),
	})
	if err == nil {
		_, _ = s.w.Write(append(b, '\n'))
	}
}

// budget bounds lines by the second.
type budget struct {
	mu sync.Mutex // guards the fields below
	// until is the end of the present second, and left how many lines it still has.
	until time.Time
	left  int
	// left out are the lines that had no room since the last report.
	leftOut uint64
}

// take reports whether a line may be written, and how many were left out in the second that has just ended.
func (b *budget) take(now time.Time) (ok bool, leftOut uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !now.Before(b.until) {
		b.until, b.left = now.Add(time.Second), linesPerSecond
		leftOut, b.leftOut = b.leftOut, 0
	}
	if b.left == 0 {
		b.leftOut++
		return false, leftOut
	}
	b.left--
	return true, leftOut
}
