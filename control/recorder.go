package control

import (
	"context"
	"errors"
	"fmt"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// recordRing bounds the reports that wait for the log, about a second of those of 480 databases; when it is full, targets are
	// told at once to report to another process.
	recordRing = 1024
	// recordBatch bounds the reports in one entry, which stays below 64 KiB.
	recordBatch = 256
)

var (
	errRecordFull  = errors.New("too many reports of targets wait for the log")
	errRecordFault = errors.New("the report was not recorded")
)

// recorder writes the news that targets report to the log. All that arrive while an entry is being written share the next
// one: each entry costs every member a sync and a copy of the state, and every host a new view.
type recorder struct {
	ctx    context.Context
	events *event.Log
	// propose writes one command to the log.
	propose func(ctx context.Context, c Command) (answer, error)
	ring    chan *recorded
}

// recorded is one report on its way to the log.
type recorded struct {
	report jacinthtiller.TargetReport
	done   chan struct{}
	// err is set before done is closed.
	err error
}

func newRecorder(ctx context.Context, events *event.Log, propose func(context.Context, Command) (answer, error)) *recorder {
	return &recorder{ctx: ctx, events: events, propose: propose, ring: make(chan *recorded, recordRing)}
}

// record returns nil once the report is durable. After the end of ctx it may still be recorded.
func (r *recorder) record(ctx context.Context, report jacinthtiller.TargetReport) error {
	w := &recorded{report: report, done: make(chan struct{}), err: errRecordFault}
	select {
	case r.ring <- w:
	default:
		return errRecordFull
	}
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return fmt.Errorf("wait for the log: %w", ctx.Err())
	case <-r.ctx.Done():
		return fmt.Errorf("wait for the log: %w", r.ctx.Err())
	}
}

// run writes what waits until the process ends.
func (r *recorder) run() {
	duty.Keep(r.ctx, r.events, "record reports of targets", func() {
		for r.ctx.Err() == nil {
			r.write(r.gather())
		}
	})
}

// gather waits for a report and takes all that wait with it.
func (r *recorder) gather() []*recorded {
	var out []*recorded
	select {
	case w := <-r.ring:
		out = append(out, w)
	case <-r.ctx.Done():
		return nil
	}
	for len(out) < recordBatch {
		select {
		case w := <-r.ring:
			out = append(out, w)
		default:
			return out
		}
	}
	return out
}

// write writes the reports as one entry and tells those who wait.
func (r *recorder) write(list []*recorded) {
	if len(list) == 0 {
		return
	}
	defer func() {
		for _, w := range list {
			close(w.done)
		}
	}()
	var c Command
	for _, w := range list {
		c.Batch = append(c.Batch, Command{Enlist: &enlistCommand{Report: w.report}})
	}
	_, err := r.propose(r.ctx, c)
	for _, w := range list {
		w.err = err
	}
}
