// Package link carries units from entry hosts to the hosts that own targets, over framed TCP.
//
// A frame is a type byte, a length of four bytes that counts itself, and a
// payload. The entry host sends hello once, then for each unit a header in CBOR
// and the guest's PostgreSQL messages; the owner's host answers with PostgreSQL
// messages and a result in CBOR. A unit runs only after both of its frames have
// arrived completely, so a failed write proves that it did not run.
package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// The types of frames.
const (
	frameHello        = 'H' // entry host -> owner: CBOR hello
	frameUnit         = 'U' // entry host -> owner: CBOR header of a unit
	frameMessages     = 'M' // both ways: the unit's sequence, then PostgreSQL messages
	frameCancel       = 'C' // entry host -> owner: the sequence of the unit to cancel
	frameResult       = 'R' // owner -> entry host: CBOR reply
	frameKeepalive    = 'B' // owner -> entry host: the unit is still running
	frameMarkRequest  = 'Q' // entry host -> owner: CBOR request for guests' marks, while no unit runs
	frameMarkResponse = 'A' // owner -> entry host: CBOR reply to a request for marks
	frameGoAway       = 'G' // owner -> entry host: use another connection for the next channel
)

const (
	protocolVersion  = 1
	frameHeaderBytes = 5
	sequenceBytes    = 8
	maxCBORBytes     = 4 << 20
	ioBufferBytes    = 32 << 10
	// maxKeptBufferBytes is the largest buffer that a connection keeps between units.
	maxKeptBufferBytes = 256 << 10
	// keepaliveInterval is the time between keepalives while a unit runs.
	keepaliveInterval = 300 * time.Millisecond
	// peerTimeout is the silence after which the other host counts as disconnected. It is the length
	// of a host's lease: an owner that is silent for longer may acknowledge nothing any more.
	peerTimeout = 1500 * time.Millisecond
	dialTimeout = 2 * time.Second
	// writeStallTimeout is how long an answer may wait for a guest that does not read. It bounds how
	// long such a guest holds a slot of the target.
	writeStallTimeout = 15 * time.Second
)

// maxPayloadBytes bounds the payload of each type of frame; other types are refused.
var maxPayloadBytes = map[byte]int{
	frameHello: 4 << 10, frameUnit: maxCBORBytes, frameMessages: wire.MaxMessageBytes,
	frameCancel: sequenceBytes, frameResult: maxCBORBytes, frameKeepalive: 0, frameGoAway: 0,
	frameMarkRequest: maxCBORBytes, frameMarkResponse: maxCBORBytes,
}

// hello is the first frame of a connection.
type hello struct {
	Version int    `cbor:"version"`
	Host    string `cbor:"host"`
}

// unitHeader is a unit without its messages. Deadlines are sent as the time that remains, since clocks
// of hosts are not compared; zero means none.
type unitHeader struct {
	jacinthtiller.Unit
	// Sequence counts the units of the connection. Unit.Number cannot identify a unit there: it counts
	// per session, and sessions that use the connection in turn repeat the numbers.
	Sequence             uint64 `cbor:"sequence"`
	DeadlineMicroseconds int64  `cbor:"deadline-microseconds,omitempty"`
	WaitMicroseconds     int64  `cbor:"wait-microseconds,omitempty"`
}

// reply is a result with the sequence of its unit.
type reply struct {
	jacinthtiller.Result
	Sequence uint64 `cbor:"sequence"`
}

func newUnitHeader(u jacinthtiller.Unit, sequence uint64, now time.Time) unitHeader {
	return unitHeader{Unit: u, Sequence: sequence, DeadlineMicroseconds: remaining(u.Deadline, now), WaitMicroseconds: remaining(u.WaitUntil, now)}
}

// unit returns the unit with deadlines on this host's clock.
func (h unitHeader) unit(now time.Time) jacinthtiller.Unit {
	u := h.Unit
	u.Deadline, u.WaitUntil = deadlineAfter(h.DeadlineMicroseconds, now), deadlineAfter(h.WaitMicroseconds, now)
	return u
}

// remaining never returns 0 for a time that is set, so that a passed deadline does not become no deadline.
func remaining(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	if left := t.Sub(now).Microseconds(); left != 0 {
		return left
	}
	return -1
}

func deadlineAfter(microseconds int64, now time.Time) time.Time {
	if microseconds == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(microseconds) * time.Microsecond)
}

// appendFrame adds a frame with a payload in CBOR.
func appendFrame(b []byte, typ byte, v any) ([]byte, error) {
	p, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	if len(p) > maxPayloadBytes[typ] {
		return nil, fmt.Errorf("frame %q of %d bytes is longer than %d", typ, len(p), maxPayloadBytes[typ])
	}
	return append(appendFrameHeader(b, typ, len(p)), p...), nil
}

func appendFrameHeader(b []byte, typ byte, n int) []byte {
	return binary.BigEndian.AppendUint32(append(b, typ), uint32(n+4))
}

// appendMessages adds a frame of PostgreSQL messages.
func appendMessages(b []byte, sequence uint64, messages []byte) ([]byte, error) {
	n := sequenceBytes + len(messages)
	if n > maxPayloadBytes[frameMessages] {
		return nil, fmt.Errorf("messages of %d bytes are longer than %d", n, maxPayloadBytes[frameMessages])
	}
	return append(binary.BigEndian.AppendUint64(appendFrameHeader(b, frameMessages, n), sequence), messages...), nil
}

// reader reads frames. The payload is valid until the next read.
type reader struct {
	br  *bufio.Reader
	buf []byte
}

func newReader(r io.Reader) *reader { return &reader{br: bufio.NewReaderSize(r, ioBufferBytes)} }

func (r *reader) read() (byte, []byte, error) {
	h, err := r.br.Peek(frameHeaderBytes)
	if err != nil {
		if errors.Is(err, io.EOF) && len(h) == 0 {
			return 0, nil, io.EOF
		}
		return 0, nil, fmt.Errorf("read frame: %w", err)
	}
	typ, n := h[0], int(binary.BigEndian.Uint32(h[1:]))-4
	limit, ok := maxPayloadBytes[typ]
	if !ok || n < 0 || n > limit {
		return 0, nil, fmt.Errorf("frame %q of %d bytes is not allowed", typ, n)
	}
	if _, err := r.br.Discard(frameHeaderBytes); err != nil {
		return 0, nil, fmt.Errorf("read frame: %w", err)
	}
	if cap(r.buf) < n || cap(r.buf) > maxKeptBufferBytes {
		r.buf = make([]byte, max(n, 512))
	}
	r.buf = r.buf[:n]
	if _, err := io.ReadFull(r.br, r.buf); err != nil {
		return 0, nil, fmt.Errorf("read frame %q: %w", typ, err)
	}
	return typ, r.buf, nil
}

// splitMessages splits the payload of a frame of messages.
func splitMessages(p []byte) (uint64, []byte, error) {
	if len(p) < sequenceBytes {
		return 0, nil, errors.New("frame of messages without a sequence")
	}
	return binary.BigEndian.Uint64(p), p[sequenceBytes:], nil
}
