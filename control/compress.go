package control

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"github.com/jacinthtiller/jacinthtiller/wire"
)

// gzipWriters pools the compressors, which take 800 KB each.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

func compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return out.Bytes(), nil
}

// decompress reverses compress. It reads at most wire.MaxMessageBytes.
func decompress(b []byte) ([]byte, error) {
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
