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

// confirmer lets concurrent requests share one round that confirms the leadership.
type confirmer struct {
	confirm func(context.Context) error
	ctx     context.Context
	wg      *conc.WaitGroup
	events  *event.Log

	mu sync.Mutex // guards the fields below
	// pending is the round that has not begun; arriving requests join it.
	pending *confirmRound
	running bool
}

// confirmRound is one confirmation.
type confirmRound struct {
	done chan struct{}
	// err is set before done is closed.
	err error
}

// errConfirmFailed reports that a panic ended a round.
var errConfirmFailed = errors.New("the confirmation of the leadership failed")

// wait returns after a round that began after the call.
func (c *confirmer) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.pending == nil {
		c.pending = &confirmRound{done: make(chan struct{})}
	}
	joined := c.pending
	if !c.running {
		c.running = true
		c.wg.Go(c.run)
	}
	c.mu.Unlock()
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return fmt.Errorf("wait for a confirmation round: %w", ctx.Err())
	}
}

// run runs rounds until no request waits.
func (c *confirmer) run() {
	for {
		c.mu.Lock()
		current := c.pending
		c.pending = nil
		c.running = current != nil
		c.mu.Unlock()
		if current == nil {
			return
		}
		current.err = errConfirmFailed
		duty.Run(c.events, "confirm the leadership", nil, func() {
			ctx, cancel := context.WithTimeout(c.ctx, confirmTimeout)
			defer cancel()
			current.err = c.confirm(ctx)
		})
		close(current.done)
	}
}
