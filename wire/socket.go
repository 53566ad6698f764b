package wire

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package does not name.
const tcpUserTimeout = 18

// SetDeadPeerTimeouts makes the kernel detect a dead peer of a TCP connection: by keep-alive probes within seconds, and
// by sent data that the peer does not accept within the timeout. Connections other than TCP stay unchanged.
func SetDeadPeerTimeouts(c net.Conn, timeout time.Duration) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3})
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
}

// ClosedOrReadable reports whether an idle connection is closed or has unread data, so that it must not be reused.
func ClosedOrReadable(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	// A read deadline that has expired since the last answer would make the Read below fail at once.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err != nil || !idle
}
