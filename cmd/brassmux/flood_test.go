package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// maxMedianUnderFlood is the bound on the median time in which clients are served while another connection floods a
// node of one core (docs/design.md, "Floods").
const maxMedianUnderFlood = 20 * time.Millisecond

// startSmallNode starts the program on one core with 192 MB and one server.
func startSmallNode(t *testing.T, serverAddr string) *process {
	t.Helper()
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"version":1,"full":true,"servers":[
		{"id":"s-1","addr":%q,"zone":"a","state":"up","weight":1}]},
		"settings":{"rules":{"only_draining_binds":true},"classes":[{"name":"chat","effect":"read_like"}]}}`,
		serverAddr)
	cmd, _ := newCommand(t, "", config)
	p := startProcess(t, cmd, 6*testTimeout)
	watchLog(t, p)
	return p
}

// flood writes text to the node at full speed until the test ends, and discards what it receives. A connection that
// ends is followed by another. A head is sent first unless it is empty.
func flood(t *testing.T, addr, head, text string) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			if conn, err := net.Dial("tcp", addr); err == nil {
				floodConn(ctx, conn, strings.ReplaceAll(head, "NUMBER", strconv.Itoa(i)), text)
			}
		}
	}()
}

// floodConn writes to a connection until it ends or ctx is done.
func floodConn(ctx context.Context, conn net.Conn, head, text string) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	go io.Copy(io.Discard, conn)
	if head != "" {
		io.WriteString(conn, head)
		time.Sleep(100 * time.Millisecond) // until it has its answer
	}
	var err error
	for err == nil {
		_, err = io.WriteString(conn, text)
	}
}

// serveOne opens a connection, sends a line once it is up, and returns the times of both answers.
func serveOne(addr string, i int) (established, echoed time.Duration, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(conn)
	roundTrip := func(text, want string) time.Duration {
		startedAt := time.Now()
		io.WriteString(conn, text)
		line, readErr := reader.ReadString('\n')
		if readErr != nil || line != want {
			err = fmt.Errorf("got %q, %v", line, readErr)
		}
		return time.Since(startedAt)
	}
	established = roundTrip(fmt.Sprintf("OPEN calm-%d key-%d c=chat,d=2000\r\n", i, i), "UP r\r\n")
	echoed = roundTrip("hello\r\n", "hello\r\n")
	return established, echoed, err
}

// Guards against one connection that takes the only core from all others, by PINGs or by lines to its server.
func TestFloodDoesNotDelayOtherClients(t *testing.T) {
	const clientCount = 60
	for name, test := range map[string]struct{ head, text string }{
		"pings": {"", strings.Repeat("PING\r\n", 500)},
		"lines": {"OPEN flood-NUMBER flood c=chat,d=2000\r\n", strings.Repeat("x\r\n", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			p := startSmallNode(t, newEchoServer(t).addr)
			flood(t, p.addr, test.head, test.text)
			time.Sleep(300 * time.Millisecond)
			var established, echoed []time.Duration
			for i := range clientCount {
				up, echo, err := serveOne(p.addr, i)
				if err != nil {
					t.Fatal(err)
				}
				established, echoed = append(established, up), append(echoed, echo)
				time.Sleep(10 * time.Millisecond)
			}
			slices.Sort(established)
			slices.Sort(echoed)
			t.Logf("medians %v to establish, %v for a line", established[clientCount/2], echoed[clientCount/2])
			if established[clientCount/2] > maxMedianUnderFlood || echoed[clientCount/2] > maxMedianUnderFlood {
				t.Errorf("medians %v to establish, %v for a line, want at most %v", established[clientCount/2],
					echoed[clientCount/2], maxMedianUnderFlood)
			}
		})
	}
}
