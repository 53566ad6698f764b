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

// blockingWriter blocks every write until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(p)
}

func (w *blockingWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.String()
}

// TestSink guards against callers that block on a slow log reader, and against lines dropped without being counted.
func TestSink(t *testing.T) {
	convey.Convey("A writer that blocks", t, func() {
		w := &blockingWriter{release: make(chan struct{})}
		s := event.NewSink(w)
		began := time.Now()
		for range 5000 {
			_, _ = s.Write([]byte("line\n"))
		}
		convey.So(time.Since(began), convey.ShouldBeLessThan, 2*time.Second)
		convey.So(s.Dropped(), convey.ShouldBeGreaterThan, 3000)
		close(w.release)
		for end := time.Now().Add(5 * time.Second); !strings.Contains(w.String(), "lines-dropped") && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		s.Close()
		convey.So(w.String(), convey.ShouldContainSubstring, "lines-dropped")
		convey.So(uint64(strings.Count(w.String(), "line\n"))+s.Dropped(), convey.ShouldEqual, 5000)
	})
}

// TestBudget guards against a log that grows with the number of failures, and against warnings dropped by the rate limit.
func TestBudget(t *testing.T) {
	convey.Convey("Many events within one second", t, func() {
		var b bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&b)
		l := event.New("h1", logger, event.WithRateLimit())
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

// TestStopIsLogged guards against a log that does not tell when a host was stopped, because the requests it refused for the
// stop had used up the lines of that second.
func TestStopIsLogged(t *testing.T) {
	convey.Convey("A stop is logged at any rate of other lines", t, func() {
		var b bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&b)
		l := event.New("h1", logger, event.WithRateLimit())
		for range 3000 {
			l.Emit(event.StatementFailed, event.Fields{"request": "x"})
		}
		l.Emit(event.ProcessStopping, nil)
		l.Emit(event.StopStepReached, nil)
		l.Emit(event.ProcessStopped, nil)
		for _, name := range []string{"process-stopping", "stop-step-reached", "process-stopped"} {
			convey.So(b.String(), convey.ShouldContainSubstring, name)
		}
	})
}
