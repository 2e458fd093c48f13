// Package lines puts net/textproto over a TCP connection, with the bound on a line that it lacks.
package lines

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/textproto"
	"syscall"
	"time"
	"unicode"
	"unicode/utf8"
	"unsafe"
)

// Max is the longest line, with its end.
const Max = 4096

// ErrTooLong tells of a line over Max.
var ErrTooLong = errors.New("line too long")

// Conn is a connection that speaks in lines. One goroutine may read while another writes.
type Conn struct {
	*net.TCPConn
	text *textproto.Conn
}

// New wraps a connection. The buffer of textproto's reader holds one line of the greatest length.
func New(c *net.TCPConn) *Conn { return &Conn{c, textproto.NewConn(c)} }

// Resume wraps a connection of which another process has read some bytes ahead: those come first.
func Resume(c *net.TCPConn, ahead []byte) *Conn {
	return &Conn{c, textproto.NewConn(struct {
		io.Reader
		io.WriteCloser
	}{io.MultiReader(bytes.NewReader(ahead), c), c})}
}

// ReadLine returns the next line with its end, in place: it is valid until the next call. textproto's own
// ReadLine would take a line of any length and hide how it ended. After an error, such as a passed
// deadline, nothing that has come is lost and a further call goes on.
func (c *Conn) ReadLine() ([]byte, error) {
	in := c.text.R
	for seen := 0; ; {
		got, err := in.Peek(in.Buffered())
		if err != nil {
			return nil, err
		}
		if end := bytes.IndexByte(got[seen:], '\n'); end >= 0 {
			line := got[:seen+end+1]
			_, err := in.Discard(len(line))
			return line, err
		}
		if seen = len(got); seen >= Max {
			return nil, ErrTooLong
		}
		if _, err := in.Peek(seen + 1); err != nil {
			return nil, err
		}
	}
}

// Ahead tells whether more has come than the lines that were read.
func (c *Conn) Ahead() bool { return c.text.R.Buffered() > 0 }

// Quiet tells whether nothing has come that was not read, nor an end. No read deadline is set afterwards.
func (c *Conn) Quiet() bool {
	c.SetReadDeadline(time.Time{})
	raw, err := c.SyscallConn()
	if c.Ahead() || err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool { // what it reads is lost, as the connection is of no use then
		_, err := syscall.Read(int(fd), make([]byte, 1))
		quiet = err == syscall.EAGAIN
		return true // it does not wait
	})
	return quiet && err == nil
}

// Gone tells whether the other side has ended its sending or broken the connection, also where something unread stands before
// that. Another goroutine may read meanwhile: nothing is taken from it.
func (c *Conn) Gone() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = ended(fd) || atEnd(int(fd)) })
	return gone && err == nil
}

// The states of a TCP connection whose other side sends nothing more (enum in the kernel's tcp_states.h).
const (
	stateClose     = 7 // broken, or closed by both sides
	stateCloseWait = 8 // closed by the other side
	stateLastAck   = 9
	stateClosing   = 11
)

// ended asks the system for the state of a connection (TCP_INFO, tcp(7)): an end is seen there before what stands unread ahead
// of it. False where the system does not tell.
func ended(fd uintptr) bool {
	var info [8]byte // it begins with the state
	size := uint32(len(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || size == 0 {
		return false
	}
	switch info[0] {
	case stateClose, stateCloseWait, stateLastAck, stateClosing:
		return true
	}
	return false
}

// atEnd looks at the next byte: none will come where the connection has ended or is broken.
func atEnd(fd int) bool {
	n, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return n == 0
	case syscall.EAGAIN, syscall.EINTR:
		return false
	}
	return true
}

// Unread gives a copy of what was read off the connection and belongs to no line yet.
func (c *Conn) Unread() []byte {
	rest, _ := c.text.R.Peek(c.text.R.Buffered())
	return append([]byte(nil), rest...)
}

// Rest returns what has come since the last whole line, when the connection has ended.
func (c *Conn) Rest() []byte {
	rest, _ := c.text.R.Peek(c.text.R.Buffered())
	c.text.R.Discard(len(rest))
	return rest
}

// WriteLine writes a line of the node's own within a time.
func (c *Conn) WriteLine(text string, within time.Duration) error {
	c.SetWriteDeadline(time.Now().Add(within))
	defer c.SetWriteDeadline(time.Time{}) // what is written later has its own time
	return c.text.PrintfLine("%s", text)
}

// Reset ends the connection at once, both ways, and tells the other side so.
func (c *Conn) Reset() {
	c.SetLinger(0)
	c.Close()
}

// Text is a line without its end; ok is false where that is not CRLF.
func Text(line []byte) (text []byte, ok bool) { return bytes.CutSuffix(line, []byte("\r\n")) }

// Sound is Text, and tells whether the line is whole and has neither control characters nor what is no text.
func Sound(line []byte) (text []byte, ok bool) {
	text, ok = Text(line)
	return text, ok && utf8.Valid(text) && !bytes.ContainsFunc(text, unicode.IsControl)
}

// Word is the first word of a line.
func Word(line []byte) []byte {
	text := bytes.TrimRight(line, "\r\n")
	if i := bytes.IndexByte(text, ' '); i >= 0 {
		return text[:i]
	}
	return text
}
