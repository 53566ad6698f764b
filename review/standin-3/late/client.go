package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// startupTimeout is how long a client waits for READY, and answerTimeout for an answer.
const (
	startupTimeout = 2 * time.Second
	answerTimeout  = 8 * time.Second
)

// client is one session of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

var requestCount atomic.Int64

// newRequestID returns the id of a new request.
func newRequestID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+requestCount.Add(1)) }

func dialClient(address, database string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, startupTimeout)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	n := &client{conn: c, r: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(startupTimeout))
	if _, err = fmt.Fprintf(c, "STARTUP %s u1\r\n", database); err == nil {
		var line string
		if line, err = readLine(n.r); err == nil && !strings.HasPrefix(line, "READY I") {
			err = fmt.Errorf("the startup is answered with %q", line)
		}
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return n, nil
}

// query sends a request and returns the lines of the answer before READY.
func (n *client) query(id, text string) ([]string, error) {
	_ = n.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(n.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	var lines []string
	for {
		line, err := readLine(n.r)
		if err != nil {
			return lines, err
		}
		if strings.HasPrefix(line, "READY ") {
			return lines, nil
		}
		lines = append(lines, line)
	}
}

// once runs one request in a session of its own and returns the first line of the answer; an error if there is none.
func (w *world) once(h *hostProcess, database, id, text string) (string, error) {
	c, err := dialClient(h.guests, database)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.conn.Close() }()
	lines, err := c.query(id, text)
	if err != nil {
		return "", err
	}
	if len(lines) == 0 {
		return "", fmt.Errorf("the answer to %s is empty", id)
	}
	return lines[len(lines)-1], nil
}

// write makes one write and notes what its client is told. It reports whether it was acknowledged.
func (w *world) write(h *hostProcess, item, data string) bool {
	id := newRequestID()
	line, err := w.once(h, "strict", id, "WRITE "+item+" "+data)
	ok := err == nil && strings.HasPrefix(line, "COMPLETE ")
	if ok {
		w.service.noteAcknowledged(id)
	}
	w.note("client of %s: %s WRITE %s %s: %s", h.name, id, item, data, outcome(line, err))
	return ok
}

// read makes one read on the route for reads of any server and notes the answer.
func (w *world) read(h *hostProcess, item string) bool {
	id := newRequestID()
	line, err := w.once(h, "own", id, "READ "+item)
	w.note("client of %s: %s READ %s: %s", h.name, id, item, outcome(line, err))
	return err == nil && strings.HasPrefix(line, "COMPLETE ")
}

func outcome(line string, err error) string {
	if err != nil {
		return "no answer: " + err.Error()
	}
	return line
}

// awaitService waits until each host serves a write.
func (w *world) awaitService() error {
	for _, h := range w.hosts {
		served := false
		for end := time.Now().Add(startTimeout); !served && time.Now().Before(end); {
			if served = w.write(h, "start", h.name); !served && !w.sleep(100*time.Millisecond) {
				break
			}
		}
		if !served {
			return fmt.Errorf("host %s served nothing within %v", h.name, startTimeout)
		}
	}
	return nil
}
