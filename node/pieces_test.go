package node

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// Guards against lines that are lost, repeated or changed because they arrive in two parts, split at any byte.
func TestLinesSplitAtEveryByte(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, nil, srv)
	const up, question, answer = "UP r-1\r\n", "a question\r\n", "its answer\r\n"
	head := func(i int) string { return fmt.Sprintf("OPEN id-%03d key c=chat,d=2000\r\n", i) }
	for cut := range len(head(0)) {
		client := n.dial()
		for _, part := range []string{head(cut)[:cut], head(cut)[cut:]} {
			client.send(part)
		}
		server, first := srv.accept(t)
		if !strings.HasPrefix(first, fmt.Sprintf("OPEN id-%03d key c=chat,d=", cut)) || !strings.HasSuffix(first,
			"\r\n") {
			t.Fatalf("split at %d: the server got %q", cut, first)
		}
		sendSplit := func(from, to *testConn, line string) {
			splitAt := min(cut, len(line))
			from.send(line[:splitAt])
			from.send(line[splitAt:])
			to.expect(line)
		}
		sendSplit(server, client, up)
		sendSplit(client, server, question)
		sendSplit(server, client, answer)
		client.CloseWrite()
		sendSplit(server, client, "BYE\r\n")
		server.Close()
		client.expectEnd(io.EOF)
		client.Close()
	}
	n.waitFor("all requests to be removed", func() bool { return n.openRequests() == 0 })
}

// Guards against a peer that closes within a line, at any byte: the other side must see the end and no invented data,
// and the node must remove the request.
func TestPeersCloseAtEveryByte(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, nil, srv)
	const head = "OPEN id-x key c=chat,d=2000\r\n"
	for cut := range len(head) { // an incomplete request is not counted as one
		client := n.dial()
		client.send(head[:cut])
		client.CloseWrite()
		if line, err := client.reader.ReadString('\n'); cut > 0 && !strings.HasPrefix(line, "ERR ") || cut == 0 &&
			err != io.EOF {
			t.Errorf("a client that closes at %d got %q, %v", cut, line, err)
		}
		client.Close()
	}
	if got := n.counter("requests"); got != 0 {
		t.Errorf("%d requests counted, want 0", got)
	}
	const answer = "its answer\r\n"
	for cut := range len(answer) { // the part of the line is forwarded, then the end
		client, server := n.establish(srv)
		server.send(answer[:cut])
		server.Close()
		if half, err := client.reader.ReadString('\n'); half != answer[:cut] || err != io.EOF {
			t.Errorf("server closed at %d: the client got %q, %v", cut, half, err)
		}
		client.Close()
	}
	const up = "UP r-1\r\n"
	for cut := range len(up) { // not an answer, so the node answers itself
		client := n.open("left", "")
		server, _ := srv.accept(t)
		server.send(up[:cut])
		server.Close()
		if line := client.readLine(); !strings.HasPrefix(line, "BUSY") {
			t.Errorf("server closed at %d of UP: the client got %q", cut, line)
		}
		client.expectEnd(io.EOF)
		client.Close()
	}
	n.waitFor("all requests to be removed", func() bool { return n.openRequests() == 0 })
}
