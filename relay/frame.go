// Package relay forwards jobs of guests between hosts: a host that has no
// connections to a target sends them through one that has.
//
// A frame is a four-byte big-endian length and a CBOR payload, which is compressed
// if the highest bit of the length is set. A host that has received a compressed
// frame compresses its own frames on that connection too. A relay connection
// is for one target, which its first frame names. Jobs and replies alternate on it.
// The relaying host holds its connection to the target from the beginning of a
// transaction to its end, and rolls it back when the relay connection closes.
package relay

import (
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	headerBytes = 4
	// maxFrameBytes bounds a frame, which holds a guest's request or a target's answer of up to 1 MiB and its metadata.
	maxFrameBytes = 16 << 20
	// bufferBytes is enough for a few typical frames.
	bufferBytes = 2 << 10
)

// hello is the first frame of a connection. If it names no target, freshness queries follow, or token
// requests if the database is tokenConnections, and there is no helloReply.
type hello struct {
	_        struct{} `cbor:",toarray"`
	Database string
	Target   string
}

// helloReply answers a hello that names a target. Jobs may follow if Error is empty.
type helloReply struct {
	_     struct{} `cbor:",toarray"`
	Error string
}

// The flags of a job.
const (
	flagBeginsTransaction = 1 << iota // the request begins a transaction
	flagRepeatable                    // the request may run again, so the wait for the answer may end early
	flagPositionQuery                 // the target is asked for its position, bypassing the queue
)

// job encodes a jacinthtiller.Job. Times are sent as remaining milliseconds, because hosts' clocks are not compared.
type job struct {
	_                   struct{} `cbor:",toarray"`
	Flags               uint8
	RemainingMillis     uint32
	AdmitMillis         uint32
	UsefulMillis        uint32
	Route, Guest        string
	ID, Text            string
	AfterTerm, AfterIdx uint64
	Values              map[string]string
	Statement           *jacinthtiller.PreparedStatement
}

// accountJob encodes a job that runs for an account. Hosts of versions without accounts cannot decode it; a job without an
// account is encoded as a job.
type accountJob struct {
	_       struct{} `cbor:",toarray"`
	Job     job
	Account string
}

// receivedJob decodes a job or an accountJob, whose encodings differ in the number of elements.
type receivedJob struct{ accountJob }

// accountJobHeader is the first byte of an encoded accountJob: the header of an array of two elements.
const accountJobHeader = 0x82

// UnmarshalCBOR decodes either form.
func (r *receivedJob) UnmarshalCBOR(p []byte) error {
	if len(p) > 0 && p[0] == accountJobHeader {
		return wire.Decode(p, &r.accountJob)
	}
	return wire.Decode(p, &r.Job)
}

func (r receivedJob) decode(now time.Time) jacinthtiller.Job {
	j := r.Job.decode(now)
	j.Account = r.Account
	return j
}

// The outcomes of a job.
const (
	outcomeReply       = iota // the target answered
	outcomeNotSent            // the request did not reach the target or was not admitted to it
	outcomeUnreachable        // the target is unreachable
	outcomeNoAnswer           // the request was sent and no answer arrived
	outcomeQueueFull          // the queue of the target is too long
)

// jobReply is the outcome of a job.
type jobReply struct {
	_               struct{} `cbor:",toarray"`
	Outcome         uint8
	State           uint8
	Term, Idx       uint64
	ErrorCode, Text string
	Body            []byte
}

// freshnessQuery and freshnessReply encode a jacinthtiller.FreshnessQuery and its reply.
type freshnessQuery struct {
	_         struct{} `cbor:",toarray"`
	Database  string
	Term      uint64
	AgeMicros int64
	// RemainingMillis is how long the asking host waits for the reply.
	RemainingMillis uint32
}

type freshnessReply struct {
	_         struct{} `cbor:",toarray"`
	Leased    bool
	Positions []agedPosition
}

type agedPosition struct {
	_         struct{} `cbor:",toarray"`
	Term, Idx uint64
	AgeMicros int64
}

func encodeJob(j jacinthtiller.Job, now time.Time) job {
	out := job{
		Route: j.Route, Guest: j.Guest, ID: j.ID, Text: j.Text, AfterTerm: j.After.Term, AfterIdx: j.After.Index,
		Values: j.Values, Statement: j.Statement, RemainingMillis: remainingMillis(j.Deadline, now),
	}
	out.AdmitMillis, out.UsefulMillis = remainingMillis(j.AdmitUntil, now), remainingMillis(j.UsefulUntil, now)
	if j.BeginsTransaction {
		out.Flags |= flagBeginsTransaction
	}
	if j.Repeatable {
		out.Flags |= flagRepeatable
	}
	if j.PositionQuery {
		out.Flags |= flagPositionQuery
	}
	return out
}

func (e job) decode(now time.Time) jacinthtiller.Job {
	return jacinthtiller.Job{
		TargetRequest: jacinthtiller.TargetRequest{
			ID: e.ID, Text: e.Text, After: jacinthtiller.Position{Term: e.AfterTerm, Index: e.AfterIdx},
		},
		Values: e.Values, Statement: e.Statement, Route: e.Route, Guest: e.Guest,
		BeginsTransaction: e.Flags&flagBeginsTransaction != 0, Repeatable: e.Flags&flagRepeatable != 0, PositionQuery: e.Flags&flagPositionQuery != 0,
		Deadline: timeAfterMillis(e.RemainingMillis, now), AdmitUntil: timeAfterMillis(e.AdmitMillis, now), UsefulUntil: timeAfterMillis(e.UsefulMillis, now),
	}
}

// remainingMillis returns the milliseconds until t: 0 if t is zero, and 1 if it has passed.
func remainingMillis(t, now time.Time) uint32 {
	if t.IsZero() {
		return 0
	}
	return uint32(max(1, t.Sub(now).Milliseconds()))
}

func timeAfterMillis(millis uint32, now time.Time) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(millis) * time.Millisecond)
}

// framer reads and writes frames. A read that times out can be resumed.
type framer struct {
	nc         net.Conn
	buf        []byte
	start, end int
	out        []byte
	// compresses is true when payloads of minCompressedBytes or more are compressed. It is set by the first compressed frame
	// that arrives, because its sender understands them.
	compresses bool
}

func newFramer(nc net.Conn) *framer { return &framer{nc: nc, buf: make([]byte, bufferBytes)} }

// read decodes the next frame into v, which must not retain parts of the buffer.
func (f *framer) read(v any) error {
	for {
		if have := f.end - f.start; have >= headerBytes {
			length := binary.BigEndian.Uint32(f.buf[f.start:])
			n := int(length&^compressedFlag) + headerBytes
			if n > maxFrameBytes {
				return fmt.Errorf("frame of %d bytes is longer than %d", n, maxFrameBytes)
			}
			if have >= n {
				p := f.buf[f.start+headerBytes : f.start+n]
				f.start += n
				return f.decode(p, length&compressedFlag != 0, v)
			}
			f.reserve(n)
		} else {
			f.reserve(headerBytes)
		}
		n, err := f.nc.Read(f.buf[f.end:])
		f.end += n
		if n == 0 && err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
	}
}

// decode decodes a payload into v.
func (f *framer) decode(p []byte, compressed bool, v any) error {
	if compressed {
		f.compresses = true
		var err error
		if p, err = decompress(p); err != nil {
			return fmt.Errorf("decode %T: %w", v, err)
		}
	}
	if err := wire.Decode(p, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// reserve makes room for a frame of n bytes that begins at start.
func (f *framer) reserve(n int) {
	if f.start == f.end {
		f.start, f.end = 0, 0
	}
	if f.start+n <= len(f.buf) && f.end < len(f.buf) {
		return
	}
	b := f.buf
	if size := max(n, bufferBytes); size > len(b) || size <= bufferBytes && len(b) > bufferBytes {
		b = make([]byte, size)
	}
	f.end = copy(b, f.buf[f.start:f.end])
	f.start, f.buf = 0, b
}

// partial reports whether part of a frame has arrived.
func (f *framer) partial() bool { return f.end > f.start }

// write encodes v as a frame and sends it in one write.
func (f *framer) write(deadline time.Time, v any) error {
	p, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %T: %w", v, err)
	}
	compressed := f.compresses && len(p) >= minCompressedBytes
	if compressed {
		if p, err = compress(p); err != nil {
			return fmt.Errorf("encode %T: %w", v, err)
		}
	}
	return f.send(deadline, p, compressed)
}

// writeCompressed is like write for a frame of any size, and all later frames of the connection may be compressed.
func (f *framer) writeCompressed(deadline time.Time, v any) error {
	f.compresses = true
	p, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %T: %w", v, err)
	}
	if p, err = compress(p); err != nil {
		return fmt.Errorf("encode %T: %w", v, err)
	}
	return f.send(deadline, p, true)
}

func (f *framer) send(deadline time.Time, payload []byte, compressed bool) error {
	length := uint32(len(payload))
	if compressed {
		length |= compressedFlag
	}
	f.out = append(binary.BigEndian.AppendUint32(f.out[:0], length), payload...)
	_ = f.nc.SetWriteDeadline(deadline)
	if _, err := f.nc.Write(f.out); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}
