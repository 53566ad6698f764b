package standin

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/fxamacker/cbor/v2"
)

// conn is a connection that stops while the target is frozen and can be cut.
type conn struct {
	net.Conn
	t *Target
	r *bufio.Reader
	// peers are the names by which the other end can be cut; guarded by t.mu.
	peers []string
}

var errCut = errors.New("connection to the peer is cut")

// track registers a connection with names of the peer. It closes the connection when the peer is cut.
func (t *Target) track(n net.Conn, peers ...string) (*conn, error) {
	host, _, err := net.SplitHostPort(n.RemoteAddr().String())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("address of peer: %w", err), n.Close())
	}
	c := &conn{Conn: n, t: t}
	c.r = bufio.NewReader(c)
	if err := c.name(append(peers, host, n.RemoteAddr().String())...); err != nil {
		return nil, err
	}
	return c, nil
}

// name adds names of the peer and closes the connection when one of them is cut.
func (c *conn) name(peers ...string) error {
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	c.peers = append(c.peers, peers...)
	if c.t.stopped || c.t.isCut(c.peers) {
		c.reset()
		return errCut
	}
	c.t.conns[c] = true
	return nil
}

// forget closes the connection.
func (c *conn) forget() {
	c.t.mu.Lock()
	delete(c.t.conns, c)
	c.t.mu.Unlock()
	_ = c.Close()
}

// reset closes the connection so that the other end sees a reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Read reads and then waits while the target is frozen.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.waitWhileFrozen()
	return n, err
}

// Write waits while the target is frozen and then writes.
func (c *conn) Write(p []byte) (int, error) {
	c.t.waitWhileFrozen()
	return c.Conn.Write(p)
}

// maxFrame bounds one frame of the replication protocol.
const maxFrame = 256 << 20

// send writes one frame: a length of four bytes and CBOR.
func (c *conn) send(v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// receive reads one frame.
func (c *conn) receive(v any) error {
	var head [4]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return fmt.Errorf("read frame's length: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return fmt.Errorf("frame of %d bytes is longer than %d", n, maxFrame)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(c.r, b); err != nil {
		return fmt.Errorf("read frame: %w", err)
	}
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}
