package relay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

const (
	// compressedFlag marks the length of a frame whose payload is compressed.
	compressedFlag = 1 << 31
	// minCompressedBytes is the size of the smallest payload that is compressed; the code table takes a few dozen bytes.
	minCompressedBytes = 100
)

// compressors and decompressors are pooled, because a compressor takes several hundred kilobytes.
var (
	compressors   = sync.Pool{New: func() any { return newCompressor() }}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// newCompressor returns a compressor that only replaces bytes by shorter codes: single statements and answers are too short
// for repetitions.
func newCompressor() *flate.Writer {
	w, err := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}

func compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		return nil, fmt.Errorf("compress a frame: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress a frame: %w", err)
	}
	return out.Bytes(), nil
}

// decompress reverses compress. It fails if the result is longer than maxFrameBytes.
func decompress(b []byte) ([]byte, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return nil, fmt.Errorf("decompress a frame: %w", err)
	}
	out, err := io.ReadAll(io.LimitReader(r, maxFrameBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress a frame: %w", err)
	}
	if len(out) > maxFrameBytes {
		return nil, fmt.Errorf("decompress a frame: longer than %d bytes", maxFrameBytes)
	}
	return out, nil
}
