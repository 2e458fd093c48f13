package lines

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// connPair returns both ends of a new TCP connection.
func connPair(t *testing.T) (local *Conn, remote *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close(); dialed.Close() })
	return New(accepted.(*net.TCPConn)), dialed.(*net.TCPConn)
}

// All lines arrive in one read. Bytes that follow a line in the buffer must not be lost, and a line of MaxLength must
// fit.
func TestReadLineKeepsBytesAndOrder(t *testing.T) {
	conn, remote := connPair(t)
	longest := strings.Repeat("x", MaxLength-2) + "\r\n"
	sent := []string{"OPEN a b c=d\r\n", longest, "bare end\n", "\r\n", "last\r\n"}
	go io.WriteString(remote, strings.Join(sent, ""))
	for _, want := range sent {
		if got, err := conn.ReadLine(); err != nil || string(got) != want {
			t.Fatalf("got %q, %v, want %q", got, err, want)
		}
	}
}

// The ReadLine of textproto would accept a line of any length.
func TestReadLineRejectsLineOverLimit(t *testing.T) {
	conn, remote := connPair(t)
	go io.WriteString(remote, strings.Repeat("x", MaxLength-1)+"\r\n")
	if got, err := conn.ReadLine(); !errors.Is(err, ErrTooLong) {
		t.Fatalf("got %d bytes, %v", len(got), err)
	}
}

// A read deadline expires while part of a line has been received. The next call must return the complete line.
func TestReadLineKeepsPartialLineAfterDeadline(t *testing.T) {
	conn, remote := connPair(t)
	io.WriteString(remote, "half")
	for len(bufferedBytes(conn)) < 4 { // until the partial line has been received
		conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if got, err := conn.ReadLine(); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	conn.SetReadDeadline(time.Time{})
	io.WriteString(remote, " and half\r\n")
	if got, err := conn.ReadLine(); err != nil || string(got) != "half and half\r\n" {
		t.Fatalf("got %q, %v", got, err)
	}
}

// bufferedBytes returns the bytes that were read and not returned, without removing them.
func bufferedBytes(conn *Conn) []byte {
	buffered, _ := conn.textConn.R.Peek(conn.textConn.R.Buffered())
	return buffered
}

// A peer closes its sending side in the middle of a line.
func TestTakeBufferedReturnsPartialLine(t *testing.T) {
	conn, remote := connPair(t)
	io.WriteString(remote, "whole\r\nhalf")
	remote.CloseWrite()
	if got, err := conn.ReadLine(); err != nil || string(got) != "whole\r\n" {
		t.Fatalf("got %q, %v", got, err)
	}
	if got, err := conn.ReadLine(); err != io.EOF {
		t.Fatalf("got %q, %v", got, err)
	}
	if got := conn.TakeBuffered(); string(got) != "half" {
		t.Fatalf("buffered bytes are %q", got)
	}
}

func TestFirstWord(t *testing.T) {
	for line, want := range map[string]string{
		"BYE a=1\r\n": "BYE", "MOVE\r\n": "MOVE", "\r\n": "", "MOVED x\n": "MOVED",
	} {
		if got := string(FirstWord([]byte(line))); got != want {
			t.Errorf("%q: got %q, want %q", line, got, want)
		}
	}
}
