// Package event writes numbered events to the log and, on request, to a trace
// file that the checker of package trace reads.
package event

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Kind is a type of event. Its number never changes once released.
type Kind struct {
	// Number is unique over all kinds; each package has a range of a thousand.
	Number int
	// Name is in kebab case.
	Name  string
	Level logrus.Level
	// Text is a sentence for the catalogue that says what happened and what an operator should know.
	Text string
}

// Fields are the details of an event. Keys are in kebab case.
type Fields map[string]any

var kinds = map[int]Kind{}

// register adds a kind to the catalogue. Only initializers of package variables call it.
func register(number int, name string, level logrus.Level, text string) Kind {
	k := Kind{Number: number, Name: name, Level: level, Text: text}
	if old, ok := kinds[number]; ok {
		panic(fmt.Sprintf("event number %d is used by %s and %s", number, old.Name, name))
	}
	kinds[number] = k
	return k
}

// Catalogue returns all kinds ordered by number.
func Catalogue() []Kind {
	var out []Kind
	for _, n := range slices.Sorted(maps.Keys(kinds)) {
		out = append(out, kinds[n])
	}
	return out
}

// Record is one line of a trace file.
type Record struct {
	// Time is read from the clock of the process that wrote the record.
	Time time.Time `json:"time"`
	Host string    `json:"host"`
	// Sequence counts the records of one process from 1.
	Sequence uint64         `json:"sequence"`
	Number   int            `json:"number"`
	Name     string         `json:"name"`
	Fields   map[string]any `json:"fields,omitempty"`
}

// Log writes events of one process. The zero value and a nil Log discard them.
type Log struct {
	host   string
	logger *logrus.Logger
	// limiter is nil when log lines are not rate limited.
	limiter *rateLimiter

	mu sync.Mutex // guards the fields below
	// trace is nil when tracing is off.
	trace    *json.Encoder
	sequence uint64
}

// Option configures a Log in New.
type Option func(*Log)

// WithTrace writes every event, whatever its level, to w as JSON lines.
func WithTrace(w io.Writer) Option {
	return func(l *Log) { l.trace = json.NewEncoder(w) }
}

// WithRateLimit limits the rate of log lines below the warning level. An event reports the number of dropped lines.
func WithRateLimit() Option {
	return func(l *Log) { l.limiter = &rateLimiter{} }
}

// New returns a Log for the named host that writes through logger.
func New(host string, logger *logrus.Logger, opts ...Option) *Log {
	l := &Log{host: host, logger: logger}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Discard returns a Log that writes nothing.
func Discard() *Log { return nil }

// Tracing reports whether events below the logger's level are recorded too. Callers
// can skip building the fields of such events when it returns false.
func (l *Log) Tracing() bool { return l != nil && l.trace != nil }

// Emit writes one event.
func (l *Log) Emit(k Kind, f Fields) {
	if l == nil {
		return
	}
	if l.logger != nil && l.logger.IsLevelEnabled(k.Level) && l.withinRateLimit(k) {
		l.logger.WithFields(logrus.Fields(f)).WithFields(logrus.Fields{
			"event": k.Number, "host": l.host,
		}).Log(k.Level, k.Name)
	}
	if l.trace == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	r := Record{Time: time.Now(), Host: l.host, Sequence: l.sequence, Number: k.Number, Name: k.Name, Fields: f}
	if err := l.trace.Encode(r); err != nil && l.logger != nil {
		l.logger.WithError(err).WithField("event", TraceFailed.Number).Error(TraceFailed.Name)
		l.trace = nil
	}
}

// withinRateLimit reports whether a line of the kind may be logged now. Warnings, errors, and the start and the steps of the stop of
// the process are never limited.
func (l *Log) withinRateLimit(k Kind) bool {
	if l.limiter == nil || k.Level <= logrus.WarnLevel {
		return true
	}
	switch k {
	case ProcessStarted, ProcessStopping, StopStepReached, ProcessStopped:
		return true
	}
	ok, dropped := l.limiter.allow(time.Now())
	if dropped > 0 {
		l.logger.WithFields(logrus.Fields{
			"event": LinesDropped.Number, "host": l.host, "count": dropped, "cause": "rate limit",
		}).Log(LinesDropped.Level, LinesDropped.Name)
	}
	return ok
}
