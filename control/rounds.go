package control

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// rounds lets requests that wait at the same time share one confirmation of the leadership.
type rounds struct {
	confirm func(context.Context) error
	ctx     context.Context
	wg      *conc.WaitGroup
	events  *event.Log

	mu sync.Mutex // guards the fields below
	// next is the round that has not begun; requests that arrive join it.
	next    *round
	running bool
}

// round is one confirmation.
type round struct {
	done chan struct{}
	// err is set before done is closed.
	err error
}

// errRoundFailed means that a fault of the program ended a round.
var errRoundFailed = errors.New("the confirmation of the leadership failed")

// wait returns after a round that began after the call.
func (r *rounds) wait(ctx context.Context) error {
	r.mu.Lock()
	if r.next == nil {
		r.next = &round{done: make(chan struct{})}
	}
	mine := r.next
	if !r.running {
		r.running = true
		r.wg.Go(r.run)
	}
	r.mu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return fmt.Errorf("wait for a confirmation round: %w", ctx.Err())
	}
}

// run runs rounds until nobody waits.
func (r *rounds) run() {
	for {
		r.mu.Lock()
		now := r.next
		r.next = nil
		r.running = now != nil
		r.mu.Unlock()
		if now == nil {
			return
		}
		now.err = errRoundFailed
		duty.Run(r.events, "confirm the leadership", nil, func() {
			ctx, cancel := context.WithTimeout(r.ctx, confirmTimeout)
			defer cancel()
			now.err = r.confirm(ctx)
		})
		close(now.done)
	}
}
