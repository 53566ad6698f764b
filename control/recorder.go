package control

import (
	"context"
	"errors"
	"fmt"

	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// recordQueueSize bounds the reports that wait for the log, about one second of the reports of 480 databases. When
	// the queue is full, targets are told immediately to report to another process.
	recordQueueSize = 1024
	// maxRecordBatch bounds the reports in one entry, which keeps the entry below 64 KiB.
	maxRecordBatch = 256
)

var (
	errRecordQueueFull = errors.New("too many reports of targets wait for the log")
	errNotRecorded     = errors.New("the report was not recorded")
)

// recorder writes new information that targets report to the log. All reports that arrive while an entry is written
// share the next one, because each entry costs every member a sync and a copy of the state, and every host a new view.
type recorder struct {
	ctx    context.Context
	events *event.Log
	// propose writes one command to the log.
	propose func(ctx context.Context, c Command) (commandResult, error)
	queue   chan *pendingReport
}

// pendingReport is one report that waits for the log.
type pendingReport struct {
	command enlistCommand
	done    chan struct{}
	// err is set before done is closed.
	err error
}

func newRecorder(ctx context.Context, events *event.Log, propose func(context.Context, Command) (commandResult, error)) *recorder {
	return &recorder{ctx: ctx, events: events, propose: propose, queue: make(chan *pendingReport, recordQueueSize)}
}

// record returns nil once the report is durable. After the end of ctx the report may still be recorded.
func (r *recorder) record(ctx context.Context, c enlistCommand) error {
	w := &pendingReport{command: c, done: make(chan struct{}), err: errNotRecorded}
	select {
	case r.queue <- w:
	default:
		return errRecordQueueFull
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

// run writes the queued reports until the process ends.
func (r *recorder) run() {
	duty.RunWithRestart(r.ctx, r.events, "record reports of targets", func() {
		for r.ctx.Err() == nil {
			r.write(r.nextBatch())
		}
	})
}

// nextBatch waits for a report and adds the reports that are queued already.
func (r *recorder) nextBatch() []*pendingReport {
	var out []*pendingReport
	select {
	case w := <-r.queue:
		out = append(out, w)
	case <-r.ctx.Done():
		return nil
	}
	for len(out) < maxRecordBatch {
		select {
		case w := <-r.queue:
			out = append(out, w)
		default:
			return out
		}
	}
	return out
}

// write writes the reports as one entry and wakes the callers of record.
func (r *recorder) write(batch []*pendingReport) {
	if len(batch) == 0 {
		return
	}
	defer func() {
		for _, w := range batch {
			close(w.done)
		}
	}()
	var c Command
	for _, w := range batch {
		c.Batch = append(c.Batch, Command{Enlist: &w.command})
	}
	_, err := r.propose(r.ctx, c)
	for _, w := range batch {
		w.err = err
	}
}
