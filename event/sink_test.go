package event_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/event"
)

// slowReader takes nothing until it is released.
type slowReader struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (s *slowReader) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *slowReader) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// TestSink guards against a process that waits for the reader of its log, and against lines that vanish without a count.
func TestSink(t *testing.T) {
	convey.Convey("A reader that takes nothing", t, func() {
		r := &slowReader{release: make(chan struct{})}
		s := event.NewSink(r)
		began := time.Now()
		for range 5000 {
			_, _ = s.Write([]byte("line\n"))
		}
		convey.So(time.Since(began), convey.ShouldBeLessThan, 2*time.Second)
		convey.So(s.Dropped(), convey.ShouldBeGreaterThan, 3000)
		close(r.release)
		for end := time.Now().Add(5 * time.Second); !strings.Contains(r.String(), "lines-dropped") && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		s.Close()
		convey.So(r.String(), convey.ShouldContainSubstring, "lines-dropped")
		convey.So(uint64(strings.Count(r.String(), "line\n"))+s.Dropped(), convey.ShouldEqual, 5000)
	})
}

// TestBudget guards against a log that grows with the failures, and against warnings that fall victim to the bound.
func TestBudget(t *testing.T) {
	convey.Convey("Under a storm of failures", t, func() {
		var b bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&b)
		l := event.New("h1", logger, event.WithBudget())
		for range 3000 {
			l.Emit(event.StatementFailed, event.Fields{"request": "x"})
		}
		l.Emit(event.AnswerWithheld, nil)
		convey.So(strings.Count(b.String(), "statement-failed"), convey.ShouldBeBetween, 100, 1000)
		convey.So(b.String(), convey.ShouldContainSubstring, "answer-withheld")
		time.Sleep(1100 * time.Millisecond)
		l.Emit(event.StatementFailed, event.Fields{"request": "x"})
		convey.So(b.String(), convey.ShouldContainSubstring, "lines-dropped")
	})
}
