package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// hostStateBefore and hostStateAfter bound the time around a request's line in which other lines of the same host may
	// explain it: a change of primary takes up to 10 s.
	hostStateBefore = 10 * time.Second
	hostStateAfter  = time.Second
	// maxLogLineBytes bounds one line of a log.
	maxLogLineBytes = 1 << 20
)

// LogLine is one line of a process's log.
type LogLine struct {
	Time   time.Time
	Host   string
	Number int
	Name   string
	Fields map[string]any
}

// Explanation holds the log lines that explain one request.
type Explanation struct {
	// Request holds the lines that carry the request's id, ordered by the hosts' clocks.
	Request []LogLine
	// HostState holds the events of the answering host about the request's database, target, lease and control group from
	// around the time of the request, oldest first.
	HostState []LogLine
	// Decisions holds the decisions of control processes about the database, with the times of their own clocks.
	Decisions []LogLine
}

// hostStateEvents are the events of an entry host that explain its answers. Events about a database or a target are
// included only when they concern the database and target of the request.
var hostStateEvents = map[int]bool{
	event.TargetUnreached.Number: true, event.TargetRegained.Number: true, event.PrimarySuspicionReported.Number: true,
	event.AnswerWithheld.Number: true, event.LeaseEnded.Number: true, event.ControlLost.Number: true,
	event.ControlFound.Number: true, event.HostRegistered.Number: true, event.ProcessStarted.Number: true,
	event.ProcessStopping.Number: true, event.GuestWithoutRoute.Number: true, event.LinesDropped.Number: true,
}

// controlDecisionEvents are the events of control processes about a database.
var controlDecisionEvents = map[int]bool{
	event.ControlPrimaryAssessed.Number: true, event.ControlPrimarySuspended.Number: true,
	event.ControlCandidateChosen.Number: true, event.ControlPromoteOrdered.Number: true,
	event.ControlPromoteDelayed.Number: true, event.ControlPrimaryRecorded.Number: true,
	event.ControlOverloadAssessed.Number: true,
}

// ReadLogs reads the logs of any number of processes, with one JSON object per line. It skips lines without an object and
// text before the object, such as a log collector's prefix.
func ReadLogs(paths ...string) ([]LogLine, error) {
	var out []LogLine
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		lines, err := readLog(f)
		if closeErr := f.Close(); err == nil && closeErr != nil {
			err = closeErr
		}
		if err != nil {
			return nil, fmt.Errorf("read log %s: %w", path, err)
		}
		out = append(out, lines...)
	}
	slices.SortStableFunc(out, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	return out, nil
}

func readLog(r io.Reader) ([]LogLine, error) {
	var out []LogLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(s.Bytes()[i:], &fields) != nil {
			continue // a line of another program
		}
		l := LogLine{Fields: fields, Host: stringValue(fields["host"]), Name: stringValue(fields["msg"])}
		if n, ok := fields["event"].(float64); ok {
			l.Number = int(n)
		}
		l.Time, _ = time.Parse(time.RFC3339Nano, stringValue(fields["time"])) // a line without a time sorts first
		for _, k := range []string{"host", "msg", "event", "time", "level"} {
			delete(fields, k)
		}
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("scan: %w", err)
	}
	return out, nil
}

func stringValue(v any) string {
	s, _ := v.(string)
	return s
}

// Explain selects the lines that explain a request.
func Explain(lines []LogLine, request string) Explanation {
	var e Explanation
	for _, l := range lines {
		if stringValue(l.Fields["request"]) == request {
			e.Request = append(e.Request, l)
		}
	}
	if len(e.Request) == 0 {
		return e
	}
	last := e.Request[len(e.Request)-1]
	database, target := stringValue(last.Fields["database"]), stringValue(last.Fields["target"])
	for _, l := range lines {
		if l.Time.Before(last.Time.Add(-hostStateBefore)) || l.Time.After(last.Time.Add(hostStateAfter)) {
			continue
		}
		sameDatabase := stringValue(l.Fields["database"]) == database
		switch {
		case controlDecisionEvents[l.Number] && sameDatabase:
			e.Decisions = append(e.Decisions, l)
		case !hostStateEvents[l.Number] || l.Host != last.Host:
		case l.Fields["target"] == nil || sameDatabase && (stringValue(l.Fields["target"]) == target || stringValue(last.Fields["primary"]) == stringValue(l.Fields["target"])):
			e.HostState = append(e.HostState, l)
		}
	}
	return e
}

// String formats the explanation with one log line per line.
func (e Explanation) String() string {
	var b strings.Builder
	writeLines := func(title string, lines []LogLine) {
		fmt.Fprintf(&b, "%s\n", title)
		if len(lines) == 0 {
			fmt.Fprintf(&b, "  none\n")
		}
		for _, l := range lines {
			fmt.Fprintf(&b, "  %s %s %s (%d)", l.Time.Format("15:04:05.000"), l.Host, l.Name, l.Number)
			for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
				fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
			}
			b.WriteByte('\n')
		}
	}
	writeLines("request:", e.Request)
	writeLines("what its host believed:", e.HostState)
	writeLines("what control decided about the database, by the clocks of control:", e.Decisions)
	return b.String()
}
