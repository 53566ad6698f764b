package control

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"github.com/jacinthtiller/jacinthtiller/wire"
)

// writers holds compressors, which take 800 KB each.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

func pack(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return out.Bytes(), nil
}

// unpack returns what pack was given. It reads no more than a message may hold.
func unpack(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	out, err := io.ReadAll(io.LimitReader(r, wire.MaxMessageBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return out, nil
}
