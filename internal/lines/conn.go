// Package lines reads and writes lines over a TCP connection. It limits the length of a line, preserves partial lines
// across read deadlines and handovers, and detects whether the peer has closed the connection. It does not interpret
// the lines.
package lines

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/textproto"
	"time"
)

// MaxLength is the maximum length of a line in bytes, including its line ending.
const MaxLength = 4096

// ErrTooLong is the error for a line longer than MaxLength. Its text is sent to clients.
var ErrTooLong = errors.New("line too long")

// Conn is a TCP connection that is read line by line. One goroutine may read while another writes.
type Conn struct {
	*net.TCPConn
	textConn *textproto.Conn
}

// New wraps a connection. The buffer of the textproto reader holds one line of MaxLength.
func New(conn *net.TCPConn) *Conn { return &Conn{conn, textproto.NewConn(conn)} }

// NewWithBuffered wraps a connection from which another process has already read the bytes of buffered. They are read
// first.
func NewWithBuffered(conn *net.TCPConn, buffered []byte) *Conn {
	return &Conn{conn, textproto.NewConn(struct {
		io.Reader
		io.WriteCloser
	}{io.MultiReader(bytes.NewReader(buffered), conn), conn})}
}

// ReadLine returns the next line including its line ending, as a slice of the read buffer that is valid until the next
// call. After an error such as an expired deadline no received byte is lost, and a further call continues. The error
// for a line longer than MaxLength is ErrTooLong. The ReadLine of textproto is not used, because it accepts lines of
// any length and removes the line ending.
func (c *Conn) ReadLine() ([]byte, error) {
	reader := c.textConn.R
	for searched := 0; ; {
		buffered, err := reader.Peek(reader.Buffered())
		if err != nil {
			return nil, err
		}
		if end := bytes.IndexByte(buffered[searched:], '\n'); end >= 0 {
			line := buffered[:searched+end+1]
			_, err := reader.Discard(len(line))
			return line, err
		}
		if searched = len(buffered); searched >= MaxLength {
			return nil, ErrTooLong
		}
		if _, err := reader.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// HasBuffered reports whether bytes were read from the connection that were not returned in a line.
func (c *Conn) HasBuffered() bool { return c.textConn.R.Buffered() > 0 }

// Buffered returns a copy of the bytes that were read from the connection and not returned in a line.
func (c *Conn) Buffered() []byte {
	buffered, _ := c.textConn.R.Peek(c.textConn.R.Buffered())
	return append([]byte(nil), buffered...)
}

// TakeBuffered removes and returns the bytes that were read from the connection and not returned in a line. After the
// end of the connection this is its last, partial line. The bytes are valid until the next read.
func (c *Conn) TakeBuffered() []byte {
	buffered, _ := c.textConn.R.Peek(c.textConn.R.Buffered())
	c.textConn.R.Discard(len(buffered))
	return buffered
}

// WriteLine writes a line of the balancer, adding CRLF, within the timeout. It clears the write deadline afterwards.
func (c *Conn) WriteLine(text string, timeout time.Duration) error {
	c.SetWriteDeadline(time.Now().Add(timeout))
	defer c.SetWriteDeadline(time.Time{}) // later writes set other deadlines
	return c.textConn.PrintfLine("%s", text)
}

// Reset closes the connection immediately in both directions and sends a TCP reset to the peer.
func (c *Conn) Reset() {
	c.SetLinger(0)
	c.Close()
}
