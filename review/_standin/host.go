package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// send is a first line that a node sent to a host.
type send struct {
	host, node string
	id         string
	firstByte  time.Time
}

// host is a stand-in for a server. It has an address of its own for each node, so that it knows who sends.
type host struct {
	id    string
	zone  string
	addrs map[string]string // by node
	rec   *record

	started int64 // as listed, in Unix milliseconds; 0 for long ago

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]bool
	sends     []send
	receipts  int
}

func newHost(id, zone string, nodes []string, rec *record) (*host, error) {
	h := &host{id: id, zone: zone, addrs: map[string]string{}, rec: rec, conns: map[net.Conn]bool{}}
	for _, node := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		h.listeners = append(h.listeners, listener)
		h.addrs[node] = listener.Addr().String()
		go h.accept(listener, node)
	}
	return h, nil
}

func (h *host) accept(listener net.Listener, node string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[conn] = true
		h.mu.Unlock()
		go h.serve(conn, node)
	}
}

// serve answers health checks, accepts a request, and then echoes each line at once.
func (h *host) serve(conn net.Conn, node string) {
	defer func() {
		conn.Close()
		h.mu.Lock()
		delete(h.conns, conn)
		h.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		fields := strings.Fields(line)
		switch {
		case line == "PING":
			fmt.Fprint(conn, "PONG\r\n")
		case line == "STATS":
			fmt.Fprint(conn, "PONG x0=0.2\r\n")
		case len(fields) == 4 && fields[0] == "OPEN":
			h.mu.Lock()
			h.sends = append(h.sends, send{h.id, node, fields[1], firstByte})
			h.receipts++
			answer := fmt.Sprintf("UP %s-%d", h.id, h.receipts)
			h.mu.Unlock()
			h.rec.add(firstByte, "host %s got from %s: %s", h.id, node, line)
			fmt.Fprintf(conn, "%s\r\n", answer)
			for {
				line, err := reader.ReadString('\n')
				if err != nil {
					return
				}
				fmt.Fprint(conn, line)
			}
		default:
			h.rec.add(firstByte, "host %s answered SYNTAX to %s: %q", h.id, node, line)
			fmt.Fprint(conn, "SYNTAX\r\n")
			return
		}
	}
}

// allSends returns the first lines that the host got so far.
func (h *host) allSends() []send {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]send(nil), h.sends...)
}
