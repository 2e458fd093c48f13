package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// testTimeout limits the time that a test waits for an expected event.
const testTimeout = 10 * time.Second

// testConn is one end of a connection in a test.
type testConn struct {
	*net.TCPConn
	reader *bufio.Reader
	t      *testing.T
}

func newTestConn(t *testing.T, conn net.Conn) *testConn {
	conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return &testConn{conn.(*net.TCPConn), bufio.NewReaderSize(conn, 1<<16), t}
}

// send writes a text.
func (conn *testConn) send(text string) {
	conn.t.Helper()
	if _, err := io.WriteString(conn.TCPConn, text); err != nil {
		conn.t.Errorf("%q: %v", text, err)
	}
}

// expect reads a line and compares it.
func (conn *testConn) expect(want string) {
	conn.t.Helper()
	if line, err := conn.reader.ReadString('\n'); line != want {
		conn.t.Fatalf("got %q, %v, want %q", line, err, want)
	}
}

// readLine reads any line.
func (conn *testConn) readLine() string {
	conn.t.Helper()
	line, err := conn.reader.ReadString('\n')
	if err != nil {
		conn.t.Fatalf("got %q, %v, want a line", line, err)
	}
	return line
}

// expectEnd checks that reading ends with this error, without data before it.
func (conn *testConn) expectEnd(want error) {
	conn.t.Helper()
	if line, err := conn.reader.ReadString('\n'); line != "" || !errors.Is(err, want) {
		conn.t.Fatalf("got %q, %v, want %v", line, err, want)
	}
}

// reset closes the connection with a TCP reset.
func (conn *testConn) reset() {
	conn.SetLinger(0)
	conn.Close()
}
