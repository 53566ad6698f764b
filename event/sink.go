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
	// sinkBufferLines is the number of lines buffered for a slow reader of the log, about a quarter of a megabyte.
	sinkBufferLines = 1024
	// maxLinesPerSecond limits what a process logs below the warning level. With 5,000 failing guests per second, the
	// log stays under 200 KB/s and costs less than 1% of a core.
	maxLinesPerSecond = 250
	// flushTimeout bounds the wait for a slow reader when the process exits.
	flushTimeout = 500 * time.Millisecond
)

// Sink writes lines to a writer asynchronously and never blocks its callers: when its buffer is full, lines are dropped
// and counted, and the count is written as an event. It implements io.Writer, with one line per call.
type Sink struct {
	writer io.Writer
	group  conc.WaitGroup
	// lines buffers lines for run.
	lines     chan []byte
	dropped   atomic.Uint64
	closeOnce sync.Once
	closing   chan struct{}
}

// NewSink returns a sink that writes to w until Close is called.
func NewSink(w io.Writer) *Sink {
	s := &Sink{writer: w, lines: make(chan []byte, sinkBufferLines), closing: make(chan struct{})}
	s.group.Go(s.run)
	return s
}

// Write buffers a copy of one line, or drops the line when the buffer is full.
func (s *Sink) Write(line []byte) (int, error) {
	b := append([]byte(nil), line...)
	select {
	case s.lines <- b:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the buffered lines, waiting at most flushTimeout.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.closing) })
	finished := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		s.group.Wait()
		close(finished)
	})
	select {
	case <-finished:
	case <-time.After(flushTimeout):
	}
}

func (s *Sink) run() {
	var reported uint64
	for {
		select {
		case b := <-s.lines:
			_, _ = s.writer.Write(b) // a write error cannot be logged anywhere else
			if n := s.dropped.Load(); n > reported && len(s.lines) == 0 {
				s.reportDropped(n - reported)
				reported = n
			}
		case <-s.closing:
			for len(s.lines) > 0 {
				_, _ = s.writer.Write(<-s.lines)
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
		_, _ = s.writer.Write(append(b, '\n'))
	}
}

// rateLimiter limits the number of lines per second.
type rateLimiter struct {
	mu sync.Mutex // guards the fields below
	// windowEnd is the end of the current second, and remaining the number of lines still allowed in it.
	windowEnd time.Time
	remaining int
	// dropped counts the lines rejected since the last report.
	dropped uint64
}

// allow reports whether a line may be written. At the start of a new second it also returns the number of lines dropped
// since the last report.
func (r *rateLimiter) allow(now time.Time) (ok bool, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.windowEnd) {
		r.windowEnd, r.remaining = now.Add(time.Second), maxLinesPerSecond
		dropped, r.dropped = r.dropped, 0
	}
	if r.remaining == 0 {
		r.dropped++
		return false, dropped
	}
	r.remaining--
	return true, dropped
}
