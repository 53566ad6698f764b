package wire

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package does not name.
const tcpUserTimeout = 18

// Tune makes the system notice that the other end of a connection is gone: by keep-alive within seconds, and by data
// that the other end does not take within the limit. Connections of other kinds than TCP stay as they are.
func Tune(c net.Conn, limit time.Duration) {
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
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
}

// Disturbed reports whether an idle connection is closed or has something to read, which makes it unfit for other work.
func Disturbed(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	// A deadline that has passed since the last answer would end the look below at once.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peek, syscall.EAGAIN)
		return true
	})
	return err != nil || !quiet
}
