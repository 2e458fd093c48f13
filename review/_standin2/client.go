package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// ping sends PING on a connection of its own and returns the answer, "" for none.
func ping(addr string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "PING\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

// answer is the final answer of a request.
type answer struct {
	request string
	line    string // the first line; "" if there was none
	err     error
	elapsed time.Duration
	conn    net.Conn
	reader  *bufio.Reader
}

// open sends one request and waits for its answer until its time is up and slack more.
func open(rec *record, addr, key, class string, timeout, slack time.Duration) *answer {
	a := &answer{request: fmt.Sprintf("%016x", rand.Uint64())}
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	a.conn, a.reader = conn, bufio.NewReader(conn)
	start := time.Now()
	conn.SetReadDeadline(start.Add(timeout + slack))
	if _, err := fmt.Fprintf(conn, "OPEN %s %s c=%s,d=%d\r\n", a.request, key, class, timeout.Milliseconds()); err != nil {
		a.err = err
		conn.Close()
		return a
	}
	line, err := a.reader.ReadString('\n')
	a.elapsed = time.Since(start)
	if err != nil {
		a.err = err
		conn.Close()
	} else {
		a.line = strings.TrimSpace(line)
	}
	conn.SetReadDeadline(time.Time{})
	rec.logf("client: OPEN %s key %s: %q after %d ms (%v)", a.request, key, a.line, a.elapsed.Milliseconds(), a.err)
	return a
}

// follow sends a line at each interval and reads until the connection ends or stop is closed. It returns how it ended.
func (a *answer) follow(interval time.Duration, stop <-chan struct{}) string {
	defer a.conn.Close()
	ended := make(chan string, 1)
	go func() {
		last := ""
		for {
			line, err := a.reader.ReadString('\n')
			if err != nil && last == "MOVE" {
				ended <- "moved"
				return
			} else if err != nil {
				ended <- err.Error()
				return
			}
			last = strings.TrimSpace(line)
		}
	}()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case end := <-ended:
			return end
		case <-stop:
			return "the case is over"
		case <-ticker.C:
			fmt.Fprint(a.conn, "a line\r\n")
		}
	}
}
