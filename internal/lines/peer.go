package lines

import (
	"syscall"
	"time"
	"unsafe"
)

// IsIdle reports whether the connection is open and has no unread bytes. It clears the read deadline and does not wait.
// If it returns false it may have discarded a byte, so the connection must be closed.
func (c *Conn) IsIdle() bool {
	c.SetReadDeadline(time.Time{})
	rawConn, err := c.SyscallConn()
	if c.HasBuffered() || err != nil {
		return false
	}
	idle := false
	err = rawConn.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), make([]byte, 1))
		idle = err == syscall.EAGAIN
		return true // does not wait for the descriptor to become readable
	})
	return idle && err == nil
}

// IsPeerClosed reports whether the peer has closed its sending side or reset the connection, even if there are unread
// bytes before the end. It consumes no bytes, so another goroutine may be reading.
func (c *Conn) IsPeerClosed() bool {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = rawConn.Control(func(fd uintptr) { closed = hasClosedState(fd) || isAtEOF(int(fd)) })
	return closed && err == nil
}

// States of a TCP connection whose peer sends nothing more (enum in the kernel's tcp_states.h).
const (
	tcpClose     = 7  // reset, or closed by both sides
	tcpCloseWait = 8  // closed by the peer
	tcpLastAck   = 9  // closed by the peer and then by this side
	tcpClosing   = 11 // closed by both sides at the same time
)

// hasClosedState reports whether the kernel's state of a connection (TCP_INFO, see tcp(7)) is one in which the peer
// sends nothing more. The state shows the end of a connection even if unread bytes precede it. The result is false if
// the kernel returns no state.
func hasClosedState(fd uintptr) bool {
	var info [8]byte // struct tcp_info, whose first byte is the state
	size := uint32(len(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || size == 0 {
		return false
	}
	switch info[0] {
	case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}

// isAtEOF reports whether a connection has ended or was reset and has no unread bytes. It does not consume any.
func isAtEOF(fd int) bool {
	count, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return count == 0
	case syscall.EAGAIN, syscall.EINTR:
		return false
	}
	return true
}
