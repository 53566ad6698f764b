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

// conn is a connection that blocks while the target is frozen and that Partition can reset.
type conn struct {
	net.Conn
	target *Target
	reader *bufio.Reader
	// peerNames are the names by which Partition selects the connection; guarded by target.mu.
	peerNames []string
}

var errPeerPartitioned = errors.New("partitioned from the peer")

// registerConn registers a connection under the address of the peer and the given names. It closes the connection when
// the peer is partitioned.
func (t *Target) registerConn(netConn net.Conn, names ...string) (*conn, error) {
	host, _, err := net.SplitHostPort(netConn.RemoteAddr().String())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("parse peer address: %w", err), netConn.Close())
	}
	c := &conn{Conn: netConn, target: t}
	c.reader = bufio.NewReader(c)
	if err := c.addPeerNames(append(names, host, netConn.RemoteAddr().String())...); err != nil {
		return nil, err
	}
	return c, nil
}

// addPeerNames adds names of the peer and closes the connection when one of them is partitioned.
func (c *conn) addPeerNames(names ...string) error {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	c.peerNames = append(c.peerNames, names...)
	if c.target.stopped || c.target.isPartitioned(c.peerNames) {
		c.reset()
		return errPeerPartitioned
	}
	c.target.conns[c] = true
	return nil
}

// unregister closes the connection and removes it from the target's connections.
func (c *conn) unregister() {
	c.target.mu.Lock()
	delete(c.target.conns, c)
	c.target.mu.Unlock()
	_ = c.Close()
}

// reset closes the connection so that the peer receives a TCP reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Read reads and then waits while the target is frozen.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.target.waitWhileFrozen()
	return n, err
}

// Write waits while the target is frozen and then writes.
func (c *conn) Write(p []byte) (int, error) {
	c.target.waitWhileFrozen()
	return c.Conn.Write(p)
}

// maxFrameBytes bounds one frame of the replication protocol.
const maxFrameBytes = 256 << 20

// sendFrame writes v as one frame: a length of four bytes and CBOR.
func (c *conn) sendFrame(v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// receiveFrame reads one frame into v.
func (c *conn) receiveFrame(v any) error {
	var header [4]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return fmt.Errorf("read frame length: %w", err)
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes is longer than %d", n, maxFrameBytes)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(c.reader, b); err != nil {
		return fmt.Errorf("read frame: %w", err)
	}
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}
