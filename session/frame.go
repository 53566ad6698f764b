package session

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"sync"
)

const (
	// readBufferBytes is small because every guest holds this buffer; larger bodies are read directly.
	readBufferBytes = 512
	// headerBytes is the size of a message's type and length.
	headerBytes = 5
	// maxGrowthBytes bounds how much memory is allocated for a body before its bytes arrive.
	maxGrowthBytes = 64 << 10
	// maxPooledBytes is the largest buffer that returns to the pool.
	maxPooledBytes = 64 << 10
)

// bufferPool holds buffers for messages and answers; idle guests hold none.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

func getBuffer() []byte {
	b := bufferPool.Get().(*[]byte)
	return (*b)[:0]
}

func putBuffer(b []byte) {
	if b != nil && cap(b) <= maxPooledBytes {
		bufferPool.Put(&b)
	}
}

// reader splits a guest's input into messages.
type reader struct {
	input *bufio.Reader
	// maxBodyBytes bounds the body of a message.
	maxBodyBytes int
	// body holds the newest message; nil while the guest is idle.
	body []byte
}

func newReader(r io.Reader, limit int) *reader {
	return &reader{input: bufio.NewReaderSize(r, readBufferBytes), maxBodyBytes: limit}
}

// buffered reports whether bytes of the next message have arrived.
func (r *reader) buffered() bool { return r.input.Buffered() > 0 }

// release returns the buffer of the newest message to the pool.
func (r *reader) release() {
	putBuffer(r.body)
	r.body = nil
}

// next returns the type and the body of the next message. The body is valid until the next call.
func (r *reader) next() (byte, []byte, error) {
	head, err := r.input.Peek(headerBytes)
	if err != nil {
		if len(head) > 0 && err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, fmt.Errorf("read the header of a message: %w", err)
	}
	kind, size := head[0], int(int32(binary.BigEndian.Uint32(head[1:])))-4
	if size < 0 {
		return 0, nil, newFatalError(codeProtocol, "invalid message length %d", size+4)
	}
	if size > r.maxBodyBytes {
		return 0, nil, newFatalError(codeTooLarge, "message of %d bytes exceeds the limit of %d", size, r.maxBodyBytes)
	}
	if _, err := r.input.Discard(headerBytes); err != nil {
		return 0, nil, fmt.Errorf("read the header of a message: %w", err)
	}
	if err := r.read(size); err != nil {
		return 0, nil, err
	}
	return kind, r.body, nil
}

// startupPacket returns the first packet of a connection, which has no type, with its length.
func (r *reader) startupPacket(limit int) ([]byte, error) {
	head, err := r.input.Peek(4)
	if err != nil {
		return nil, fmt.Errorf("read the length of the startup packet: %w", err)
	}
	size := int(int32(binary.BigEndian.Uint32(head)))
	if size < 8 || size > limit {
		return nil, newFatalError(codeProtocol, "invalid length of startup packet")
	}
	if err := r.read(size); err != nil {
		return nil, err
	}
	return r.body, nil
}

// read fills the body with the next bytes; the buffer grows as they arrive.
func (r *reader) read(size int) error {
	if r.body == nil {
		r.body = getBuffer()
	}
	r.body = r.body[:0]
	for len(r.body) < size {
		n := min(size-len(r.body), maxGrowthBytes)
		filled := len(r.body)
		r.body = slices.Grow(r.body, n)[:filled+n]
		if _, err := io.ReadFull(r.input, r.body[filled:]); err != nil {
			return fmt.Errorf("read a message of %d bytes: %w", size, err)
		}
	}
	return nil
}

// cutString cuts a body after its first string, which ends in a zero byte.
func cutString(body []byte) (s string, rest []byte, ok bool) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return "", nil, false
	}
	return string(body[:i]), body[i+1:], true
}

// appendFrame appends a message whose body is the concatenation of the parts.
func appendFrame(out []byte, kind byte, parts ...[]byte) []byte {
	size := 4
	for _, p := range parts {
		size += len(p)
	}
	out = append(out, kind)
	out = binary.BigEndian.AppendUint32(out, uint32(size))
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}
