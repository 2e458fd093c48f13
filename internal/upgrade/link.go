package upgrade

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// socketNetwork preserves message boundaries, so that each read returns one message.
const socketNetwork = "unixpacket"

// Link is the connection between the two processes of an upgrade. Any goroutine may send; only one may receive.
type Link struct {
	conn    *net.UnixConn
	sending sync.Mutex // held while a message is sent, because messages have their own write deadlines
}

// Dial connects to the process that listens at path. It returns ErrNoPredecessor if there is none, and a *UserError if
// the process belongs to another user.
func Dial(path string) (*Link, error) {
	var conn *net.UnixConn
	err := withAddress(path, func(addr *net.UnixAddr) (err error) {
		conn, err = net.DialUnix(socketNetwork, nil, addr)
		return err
	})
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ENOENT) {
		return nil, ErrNoPredecessor // the socket file outlives its process, which gives ECONNREFUSED
	}
	if err != nil {
		return nil, err
	}
	return newLink(conn)
}

// newLink returns a link over conn. It closes conn and returns a *UserError if the process at the other end belongs to
// another user.
func newLink(conn *net.UnixConn) (*Link, error) {
	if err := checkUser(conn); err != nil {
		conn.Close()
		return nil, err
	}
	return &Link{conn: conn}, nil
}

// checkUser returns a *UserError if the process at the other end belongs to another user. Such a process must not
// receive the connections of clients.
func checkUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var credentials *syscall.Ucred
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		credentials, optionErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err := errors.Join(err, optionErr); err != nil {
		return err
	}
	if int(credentials.Uid) != os.Geteuid() {
		return &UserError{UID: credentials.Uid}
	}
	return nil
}

// Close closes the link. Blocked calls of Send and Receive return an error.
func (l *Link) Close() { l.conn.Close() }

// Send sends a message with the sockets of conns within timeout. The caller must keep conns open until Send returns.
// The receiver gets duplicates of their sockets. Send returns a *SizeError for a message that exceeds the size limit.
func (l *Link) Send(msg Message, timeout time.Duration, conns ...*net.TCPConn) error {
	data, err := encode(msg)
	if err != nil {
		return err
	}
	l.sending.Lock()
	defer l.sending.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return withDescriptors(conns, nil, func(fds []int) error {
		var rights []byte
		if len(fds) > 0 {
			rights = syscall.UnixRights(fds...)
		}
		_, _, err := l.conn.WriteMsgUnix(data, rights, nil)
		return err
	})
}

// withDescriptors calls f with fds and the descriptors of conns. The descriptors are valid until f returns.
func withDescriptors(conns []*net.TCPConn, fds []int, f func(fds []int) error) error {
	if len(conns) == 0 {
		return f(fds)
	}
	raw, err := conns[0].SyscallConn()
	if err != nil {
		return err
	}
	var innerErr error
	if err := raw.Control(func(fd uintptr) {
		innerErr = withDescriptors(conns[1:], append(fds, int(fd)), f)
	}); err != nil {
		return err
	}
	return innerErr
}

// Receive returns the next message and its sockets, which the caller must close. It waits until the deadline, or
// without a limit if that is zero. After a *MessageError, which reports an invalid message, the link remains usable.
// Any other error is final. Receive returns net.ErrClosed if the other process has closed the link.
func (l *Link) Receive(deadline time.Time) (*Message, []*net.TCPConn, error) {
	if err := l.conn.SetReadDeadline(deadline); err != nil {
		return nil, nil, err
	}
	data := make([]byte, maxMessageBytes+1)
	rights := make([]byte, syscall.CmsgSpace(4*socketsPerConnection))
	n, rightsLength, flags, _, err := l.conn.ReadMsgUnix(data, rights)
	if err != nil {
		return nil, nil, err
	}
	if n == 0 && rightsLength == 0 {
		return nil, nil, net.ErrClosed // end of stream: messages are never empty
	}
	conns, socketCount, err := parseSockets(rights[:rightsLength])
	if err == nil && flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		err = ErrTruncated
	}
	var msg *Message
	if err == nil {
		msg, err = decode(data[:n], socketCount)
	}
	if err != nil {
		for _, c := range conns {
			c.Close()
		}
		return nil, nil, &MessageError{Err: err}
	}
	return msg, conns, nil
}

// parseSockets converts the descriptors of a message to connections and returns the number of descriptors. The caller
// must close the returned connections, also if it returns an error.
func parseSockets(rights []byte) (conns []*net.TCPConn, count int, err error) {
	controlMessages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, 0, err
	}
	var fds []int
	for _, controlMessage := range controlMessages {
		parsed, parseErr := syscall.ParseUnixRights(&controlMessage)
		if parseErr != nil {
			err = fmt.Errorf("sockets of a message: %w", parseErr)
		}
		fds = append(fds, parsed...)
	}
	for _, fd := range fds {
		conn, connErr := newTCPConn(fd)
		if connErr != nil {
			err = connErr
			continue
		}
		conns = append(conns, conn)
	}
	return conns, len(fds), err
}

// newTCPConn returns a connection for the socket of a descriptor and closes the descriptor.
func newTCPConn(fd int) (*net.TCPConn, error) {
	syscall.CloseOnExec(fd)
	file := os.NewFile(uintptr(fd), "transferred")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		conn.Close()
		return nil, ErrNotTCP
	}
	return tcp, nil
}
