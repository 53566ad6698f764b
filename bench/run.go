package bench

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
)

const (
	// progressInterval is the time between progress lines.
	progressInterval = time.Second
	// verifyTimeout bounds reading a guest's entries back, including the wait for a change of primary.
	verifyTimeout = 30 * time.Second
	// verifyWorkers bounds the number of guests that are verified concurrently.
	verifyWorkers = 16
)

// Run runs the plan, then reads all entries back and checks them. It writes progress lines to w.
func Run(ctx context.Context, p Plan, w io.Writer) (Result, error) {
	if err := p.Check(); err != nil {
		return Result{}, err
	}
	if err := createTables(ctx, p); err != nil {
		return Result{}, err
	}
	r := newRecorder(p, time.Now())
	guests := p.newGuests(r)
	p.runLoad(ctx, guests, r, w)
	r.endLoad(time.Now())
	fmt.Fprintf(w, "read back the entries of %d guests\n", len(guests))
	verifyGuests(ctx, guests, r)
	return r.snapshot(), nil
}

// createTables creates the ledger table in every database that guests write to.
func createTables(ctx context.Context, p Plan) error {
	created := map[string]bool{}
	for _, l := range p.Logins {
		for database, urls := range l.URLs {
			if l.ReadOnly || created[database] {
				continue
			}
			created[database] = true
			if err := createTable(ctx, urls[0]); err != nil {
				return fmt.Errorf("create the ledger in %s: %w", database, err)
			}
		}
	}
	return nil
}

func createTable(ctx context.Context, url string) error {
	c, err := pgx.Connect(ctx, url)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = c.Close(ctx) }()
	for _, s := range []string{createLedger, createIndex} {
		if _, err := c.Exec(ctx, s); err != nil {
			return fmt.Errorf("run %q: %w", s, err)
		}
	}
	return nil
}

// newGuests creates the guests of all logins, spread over the login's databases. Their names contain the start time of
// the run, so that a second run on the same databases does not count the first one's entries or reuse its idempotency
// keys.
func (p *Plan) newGuests(r *recorder) []*guest {
	run := strconv.FormatInt(r.result.Started.UnixNano(), 36)
	var out []*guest
	for i, l := range p.Logins {
		databases := slices.Sorted(maps.Keys(l.URLs))
		for n := range l.Guests {
			name := fmt.Sprintf("%s-%d-%d-%s", l.Team, i, n, run)
			out = append(out, newGuest(name, databases[n%len(databases)], l, p, r, uint64(len(out))))
		}
	}
	return out
}

// runLoad runs the guests and injects the faults until the duration has passed and the last operations have ended.
func (p *Plan) runLoad(ctx context.Context, guests []*guest, r *recorder, w io.Writer) {
	began := time.Now()
	end := began.Add(time.Duration(p.Milliseconds) * time.Millisecond)
	var group conc.WaitGroup
	for i, g := range guests {
		if p.Rate > 0 {
			interval := time.Duration(float64(time.Second) * float64(len(guests)) / p.Rate)
			firstDue := began.Add(interval * time.Duration(i) / time.Duration(len(guests)))
			group.Go(func() { g.openLoop(ctx, firstDue, interval, end) })
		} else {
			group.Go(func() { g.closedLoop(ctx, end) })
		}
	}
	group.Go(func() { p.injectFaults(ctx, began, r, w) })
	group.Go(func() { reportProgress(ctx, began, end, r, w) })
	group.Wait()
}

func (g *guest) closedLoop(ctx context.Context, end time.Time) {
	for ctx.Err() == nil && time.Now().Before(end) {
		g.runOperation(ctx, time.Now())
	}
}

// openLoop starts an operation at each interval. The latency of a delayed operation counts from when it was due.
func (g *guest) openLoop(ctx context.Context, due time.Time, interval time.Duration, end time.Time) {
	for ; ctx.Err() == nil && due.Before(end) && time.Now().Before(end.Add(operationTimeout)); due = due.Add(interval) {
		sleep(ctx, time.Until(due))
		g.runOperation(ctx, due)
	}
}

func (p *Plan) injectFaults(ctx context.Context, began time.Time, r *recorder, w io.Writer) {
	for _, f := range p.Faults {
		sleep(ctx, time.Until(began.Add(time.Duration(f.AtMilliseconds)*time.Millisecond)))
		if ctx.Err() != nil {
			return
		}
		text := fmt.Sprintf("%s at %d ms", f.Name, time.Since(began).Milliseconds())
		if err := f.Do(); err != nil {
			text += ": " + err.Error()
		}
		r.recordFault(text)
		fmt.Fprintln(w, text)
	}
}

func reportProgress(ctx context.Context, began, end time.Time, r *recorder, w io.Writer) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for time.Now().Before(end) {
		select {
		case <-t.C:
			s := r.snapshot()
			fmt.Fprintf(w, "%3.0f s: %d reads, %d writes, %d failed, %d violations\n",
				time.Since(began).Seconds(), s.Reads.Count, s.Writes.Count, s.failures(), s.ViolationCount)
		case <-ctx.Done():
			return
		}
	}
}

// verifyGuests reads the entries of all guests back and checks them.
func verifyGuests(ctx context.Context, guests []*guest, r *recorder) {
	group := pool.New().WithMaxGoroutines(verifyWorkers)
	for _, g := range guests {
		group.Go(func() {
			defer g.closeConns()
			if len(g.entries) == 0 {
				return
			}
			ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
			defer cancel()
			err := g.verifyEntries(ctx)
			for err != nil && ctx.Err() == nil {
				g.dropConn()
				sleep(ctx, resendDelay)
				err = g.verifyEntries(ctx)
			}
			if err != nil {
				r.recordUnverified(g.name)
			}
		})
	}
	group.Wait()
}
