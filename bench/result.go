package bench

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// maxLatencyMicroseconds is the highest latency that is recorded; a higher one counts as this.
	maxLatencyMicroseconds = 60_000_000
	// maxViolations bounds the violations whose texts are kept; all are counted.
	maxViolations = 50
)

type operationKind string

const (
	kindRead  operationKind = "read"
	kindWrite operationKind = "write"
)

// Latency summarizes a histogram of latencies in microseconds.
type Latency struct {
	Count  int64 `json:"count"`
	Median int64 `json:"median-us"`
	P95    int64 `json:"p95-us"`
	P99    int64 `json:"p99-us"`
	Max    int64 `json:"max-us"`
}

// Result holds a run's measurements and violations.
type Result struct {
	Started time.Time `json:"started"`
	// Milliseconds is how long the load lasted.
	Milliseconds int64   `json:"milliseconds"`
	Seed         uint64  `json:"seed"`
	Rate         float64 `json:"rate"`
	// Reads and Writes are latencies from the time at which an operation was due, so a
	// stall counts against every operation that should have started during it.
	Reads  Latency `json:"reads"`
	Writes Latency `json:"writes"`
	// Teams maps a team to the latency of its operations.
	Teams map[string]Latency `json:"teams"`
	// Steady counts a team's operations that ended after the warm-up and before the load stopped, when all guests were
	// active. Outside of that interval, teams with many guests run alone for a while: their last operations end after all
	// others.
	Steady map[string]int64 `json:"steady,omitempty"`
	// SteadyMilliseconds is the length of the interval that Steady covers.
	SteadyMilliseconds int64 `json:"steady-ms"`
	// Failed counts operations by outcome and SQLSTATE.
	Failed map[string]int64 `json:"failed,omitempty"`
	// Resent counts resends of keyed writes.
	Resent int64 `json:"resent"`
	// Reconnected counts requests sent again because a stopping host had closed their idle connection.
	Reconnected int64 `json:"reconnected"`
	// WriteGapMilliseconds is the longest time without an acknowledged write.
	WriteGapMilliseconds int64 `json:"write-gap-ms"`
	// Faults lists the injected faults.
	Faults []string `json:"faults,omitempty"`
	// ReplicaReads and PrimaryReads are the hosts' own counts, if the caller has them.
	ReplicaReads uint64 `json:"replica-reads"`
	PrimaryReads uint64 `json:"primary-reads"`
	// Violations are broken guarantees; there must be none.
	Violations []string `json:"violations"`
	// ViolationCount counts all violations.
	ViolationCount int64 `json:"violation-count"`
	// Unverified names guests whose entries could not be read back.
	Unverified []string `json:"unverified,omitempty"`
}

// OperationsPerSecond returns the rate of successful operations.
func (r Result) OperationsPerSecond() float64 {
	return float64(r.Reads.Count+r.Writes.Count) * 1000 / float64(max(1, r.Milliseconds))
}

// WriteFile stores the result as JSON in a file.
func (r Result) WriteFile(path string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	if err := os.WriteFile(path, append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return nil
}

// ReadResult reads a result from a file.
func ReadResult(path string) (Result, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Result{}, fmt.Errorf("read a result: %w", err)
	}
	var r Result
	if err := json.Unmarshal(b, &r); err != nil {
		return Result{}, fmt.Errorf("read a result from %s: %w", path, err)
	}
	return r, nil
}

// Compare writes a table with one column for each result, sorted by name.
func Compare(w io.Writer, results map[string]Result) error {
	names := slices.Sorted(maps.Keys(results))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(label string, value func(Result) string) {
		fmt.Fprintf(t, "%s\t", label)
		for _, n := range names {
			fmt.Fprintf(t, "%s\t", value(results[n]))
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintf(t, "\t")
	for _, n := range names {
		fmt.Fprintf(t, "%s\t", n)
	}
	fmt.Fprintln(t)
	row("operations/s", func(r Result) string { return fmt.Sprintf("%.0f", r.OperationsPerSecond()) })
	row("read median us", func(r Result) string { return fmt.Sprint(r.Reads.Median) })
	row("read p99 us", func(r Result) string { return fmt.Sprint(r.Reads.P99) })
	row("write median us", func(r Result) string { return fmt.Sprint(r.Writes.Median) })
	row("write p99 us", func(r Result) string { return fmt.Sprint(r.Writes.P99) })
	row("write gap ms", func(r Result) string { return fmt.Sprint(r.WriteGapMilliseconds) })
	row("replica share %", func(r Result) string {
		return fmt.Sprintf("%.1f", 100*float64(r.ReplicaReads)/float64(max(1, r.ReplicaReads+r.PrimaryReads)))
	})
	row("failed", func(r Result) string { return fmt.Sprint(r.failures()) })
	row("violations", func(r Result) string { return fmt.Sprint(r.ViolationCount) })
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the comparison: %w", err)
	}
	return nil
}

func (r Result) failures() int64 {
	var n int64
	for _, c := range r.Failed {
		n += c
	}
	return n
}

// recorder collects the guests' measurements and violations. It is safe for concurrent use.
type recorder struct {
	mu            sync.Mutex // guards the fields below
	latencyByKind map[operationKind]*hdrhistogram.Histogram
	latencyByTeam map[string]*hdrhistogram.Histogram
	result        Result
	// lastWrite is when a write was last acknowledged.
	lastWrite time.Time
	// warmupEnd is when the warm-up ends.
	warmupEnd time.Time
	// loadEnd is when the last operation begins; a write gap ends then at the latest.
	loadEnd time.Time
}

func newRecorder(p Plan, now time.Time) *recorder {
	return &recorder{
		warmupEnd:     now.Add(time.Duration(p.WarmupMilliseconds) * time.Millisecond),
		loadEnd:       now.Add(time.Duration(p.Milliseconds) * time.Millisecond),
		latencyByKind: map[operationKind]*hdrhistogram.Histogram{kindRead: newHistogram(), kindWrite: newHistogram()},
		latencyByTeam: map[string]*hdrhistogram.Histogram{},
		result: Result{
			Started: now, Seed: p.Seed, Rate: p.Rate, Failed: map[string]int64{}, Teams: map[string]Latency{},
			Violations: []string{}, Steady: map[string]int64{}, SteadyMilliseconds: p.Milliseconds - p.WarmupMilliseconds,
		},
		lastWrite: now,
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicroseconds, 3) }

// recordSuccess records a successful operation that was due at the given time.
func (r *recorder) recordSuccess(team string, k operationKind, due time.Time) {
	now := time.Now()
	latency := min(max(1, now.Sub(due).Microseconds()), maxLatencyMicroseconds)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latencyByTeam[team] == nil {
		r.latencyByTeam[team] = newHistogram()
	}
	_ = r.latencyByKind[k].RecordValue(latency)
	_ = r.latencyByTeam[team].RecordValue(latency)
	if !now.Before(r.warmupEnd) && now.Before(r.loadEnd) {
		r.result.Steady[team]++
	}
	if k == kindWrite {
		r.updateWriteGap(now)
		r.lastWrite = now
	}
}

// updateWriteGap raises the longest write gap to the time since the last acknowledged write; r.mu is held.
func (r *recorder) updateWriteGap(now time.Time) {
	if now.After(r.loadEnd) {
		now = r.loadEnd
	}
	r.result.WriteGapMilliseconds = max(r.result.WriteGapMilliseconds, now.Sub(r.lastWrite).Milliseconds())
}

// recordFailure records an operation that failed with the outcome.
func (r *recorder) recordFailure(team string, o jacinthtiller.Outcome, err error) {
	code := "connection"
	var p *pgconn.PgError
	if errors.As(err, &p) {
		code = p.Code
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Failed[string(o)+" "+code]++
}

func (r *recorder) countResend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Resent++
}

func (r *recorder) countReconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Reconnected++
}

// recordViolation records a broken guarantee.
func (r *recorder) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.ViolationCount++
	if len(r.result.Violations) < maxViolations {
		r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
	}
}

func (r *recorder) recordUnverified(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Unverified = append(r.result.Unverified, name)
}

func (r *recorder) recordFault(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Faults = append(r.result.Faults, text)
}

// endLoad sets the duration and counts the write gap that is open at the end of the load.
func (r *recorder) endLoad(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Milliseconds = now.Sub(r.result.Started).Milliseconds()
	if r.latencyByKind[kindWrite].TotalCount() > 0 {
		r.updateWriteGap(now)
	}
}

// snapshot returns a copy of the result so far.
func (r *recorder) snapshot() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.result
	out.Reads, out.Writes = summarize(r.latencyByKind[kindRead]), summarize(r.latencyByKind[kindWrite])
	out.Teams, out.Failed = map[string]Latency{}, maps.Clone(out.Failed)
	for team, h := range r.latencyByTeam {
		out.Teams[team] = summarize(h)
	}
	out.Steady = maps.Clone(out.Steady)
	out.Faults, out.Violations = slices.Clone(out.Faults), slices.Clone(out.Violations)
	out.Unverified = slices.Sorted(slices.Values(out.Unverified))
	return out
}

func summarize(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(), Median: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}
