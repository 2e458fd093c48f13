package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// clientStream opens client connections at an interval and keeps them open while each client sends lines. It records a
// failure if an answer is wrong or if a connection is closed by the other side.
type clientStream struct {
	addr          string
	stop          chan struct{}
	clients       sync.WaitGroup
	openedClients atomic.Int64
	answeredLines atomic.Int64 // lines with a correct answer

	mu       sync.Mutex
	failures []string
}

// startClientStream starts a stream that opens a new client connection after each interval.
func startClientStream(addr string, interval time.Duration) *clientStream {
	stream := &clientStream{addr: addr, stop: make(chan struct{})}
	stream.clients.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-stream.stop:
				return
			case <-time.After(interval):
				stream.clients.Go(func() { stream.runClient(number) })
			}
		}
	})
	return stream
}

func (s *clientStream) addFailure(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// ignoreFailures removes the recorded failures that match.
func (s *clientStream) ignoreFailures(match func(failure string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = slices.DeleteFunc(s.failures, match)
}

// runClient opens a connection and sends lines until the stream stops.
func (s *clientStream) runClient(number int) {
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.addFailure("client %d: %v", number, err)
		return
	}
	defer conn.Close()
	client := &streamClient{stream: s, number: number, conn: conn, reader: bufio.NewReader(conn)}
	if !client.exchange(fmt.Sprintf("OPEN id-%d key-%d c=chat,d=2000\r\n", number, number), "UP r\r\n") {
		return
	}
	s.openedClients.Add(1)
	for sequence := 0; ; sequence++ {
		select {
		case <-s.stop:
			return
		default:
		}
		line := fmt.Sprintf("%d of %d\r\n", sequence, number)
		if !client.exchange(line, line) {
			return
		}
		s.answeredLines.Add(1)
	}
}

// streamClient is one client connection of a stream.
type streamClient struct {
	stream *clientStream
	number int
	conn   net.Conn
	reader *bufio.Reader
}

// exchange sends a line in two parts and reports whether the answer equals want.
func (c *streamClient) exchange(line, want string) bool {
	c.conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c.conn, line[:len(line)/2])
	io.WriteString(c.conn, line[len(line)/2:])
	got, err := c.reader.ReadString('\n')
	if got != want {
		c.stream.addFailure("client %d: got answer %q, error %v, want %q", c.number, got, err, want)
	}
	return got == want
}

// maxFailuresShown limits the number of failures that a stream prints.
const maxFailuresShown = 5

// stopAndReport stops the stream and fails the test if the stream has recorded failures.
func (s *clientStream) stopAndReport(t *testing.T) {
	t.Helper()
	close(s.stop)
	s.clients.Wait()
	for _, failure := range s.failures[:min(len(s.failures), maxFailuresShown)] {
		t.Error(failure)
	}
	if len(s.failures) > maxFailuresShown {
		t.Errorf("and %d more failures", len(s.failures)-maxFailuresShown)
	}
}
