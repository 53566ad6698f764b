package link

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"
)

// flushAfter is how long a part of an answer may wait for more before it is sent.
const flushAfter = 2 * time.Millisecond

// answer is the way of one unit's frames to the other host.
type answer struct {
	c        *serverConn
	sequence uint64

	timer *time.Timer
	mu    sync.Mutex // guards the fields below
	// waiting is true while frames wait in the writer's buffer.
	waiting bool
	over    bool
}

// sink buffers frames; they are sent with the result, when the buffer is full, or after flushAfter.
func (a *answer) sink(frames []byte) error {
	err := a.c.write(func() error {
		head := binary.BigEndian.AppendUint64(appendFrameHeader(nil, frameMessages, sequenceBytes+len(frames)), a.sequence)
		if sequenceBytes+len(frames) > maxPayloadBytes[frameMessages] {
			return fmt.Errorf("an answer of %d bytes at once is too long", len(frames))
		}
		if _, err := a.c.w.Write(head); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
		if _, err := a.c.w.Write(frames); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
		return nil
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil && !a.waiting && !a.over {
		a.waiting = true
		a.timer.Reset(flushAfter)
	}
	return err
}

// tick sends what waits, or a sign of life when nothing does.
func (a *answer) tick() {
	a.mu.Lock()
	over, waiting := a.over, a.waiting
	a.waiting = false
	a.mu.Unlock()
	if over {
		return
	}
	err := a.c.write(func() error {
		if waiting {
			return a.c.flush()
		}
		return a.c.frame(frameKeepalive)
	})
	if err != nil {
		a.c.shut()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.over && !a.waiting {
		a.timer.Reset(keepaliveInterval)
	}
}

func (a *answer) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = true
	a.timer.Stop()
}
