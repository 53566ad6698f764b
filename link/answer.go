package link

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"
)

// flushDelay is how long a part of an answer may wait in the buffer before it is sent.
const flushDelay = 2 * time.Millisecond

// answerStream sends the answer to one unit to the other host.
type answerStream struct {
	conn     *serverConn
	sequence uint64

	timer *time.Timer
	mu    sync.Mutex // guards the fields below
	// buffered is true while frames wait in the writer's buffer.
	buffered bool
	ended    bool
}

// sink buffers frames; they are sent with the result, when the buffer is full, or after flushDelay.
func (a *answerStream) sink(frames []byte) error {
	err := a.conn.withWriter(func() error {
		head := binary.BigEndian.AppendUint64(appendFrameHeader(nil, frameMessages, sequenceBytes+len(frames)), a.sequence)
		if sequenceBytes+len(frames) > maxPayloadBytes[frameMessages] {
			return fmt.Errorf("an answer of %d bytes at once is too long", len(frames))
		}
		if _, err := a.conn.writer.Write(head); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
		if _, err := a.conn.writer.Write(frames); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
		return nil
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil && !a.buffered && !a.ended {
		a.buffered = true
		a.timer.Reset(flushDelay)
	}
	return err
}

// onTimer sends the buffered frames, or a keepalive when there are none.
func (a *answerStream) onTimer() {
	a.mu.Lock()
	ended, buffered := a.ended, a.buffered
	a.buffered = false
	a.mu.Unlock()
	if ended {
		return
	}
	err := a.conn.withWriter(func() error {
		if buffered {
			return a.conn.flush()
		}
		return a.conn.writeEmptyFrame(frameKeepalive)
	})
	if err != nil {
		a.conn.close()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended && !a.buffered {
		a.timer.Reset(keepaliveInterval)
	}
}

func (a *answerStream) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.timer.Stop()
}
