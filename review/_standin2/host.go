package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// arrival is a first line that reached a host.
type arrival struct {
	at      time.Time
	request string
}

// host stands in for a server. It answers as the protocol page says: UP and then a line for each line; BUSY to new
// connections while it drains. Where the settings allow probes it answers them, with ERR while it drains; elsewhere it
// answers them with NO.
type host struct {
	id, addr string
	probes   bool
	rec      *record
	ln       net.Listener

	mu       sync.Mutex
	draining bool
	open     map[net.Conn]bool
	arrivals []arrival
}

func newHost(rec *record, id string, probes bool) (*host, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{id: id, addr: ln.Addr().String(), probes: probes, rec: rec, ln: ln, open: map[net.Conn]bool{}}
	go h.accept()
	return h, nil
}

// entry returns the host's entry in the list.
func (h *host) entry(state string) entry {
	return entry{ID: h.id, Addr: h.addr, Zone: zone, Kind: "std-2c", Cell: 1, State: state, Weight: 2}
}

func (h *host) accept() {
	for {
		conn, err := h.ln.Accept()
		if err != nil {
			return
		}
		go h.serve(conn)
	}
}

func (h *host) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		at, fields := time.Now(), strings.Fields(line)
		switch {
		case len(fields) == 0:
			return
		case fields[0] == "OPEN" && len(fields) == 4:
			h.serveRequest(conn, reader, arrival{at, fields[1]})
			return
		case fields[0] == "OPEN":
			h.rec.logf("host %s: SYNTAX for %q", h.id, line)
			fmt.Fprint(conn, "SYNTAX\r\n")
			return
		}
		if !h.answerProbe(conn) {
			return
		}
	}
}

func (h *host) answerProbe(conn net.Conn) bool {
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	switch {
	case !h.probes:
		fmt.Fprint(conn, "NO\r\n")
		return false
	case draining:
		fmt.Fprint(conn, "ERR\r\n")
	default:
		fmt.Fprint(conn, "PONG\r\n")
	}
	return true
}

func (h *host) serveRequest(conn net.Conn, reader *bufio.Reader, a arrival) {
	h.mu.Lock()
	h.arrivals = append(h.arrivals, a)
	draining := h.draining
	h.open[conn] = !draining
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.open, conn)
		h.mu.Unlock()
	}()
	if draining {
		h.rec.logf("host %s: OPEN %s answered BUSY (draining)", h.id, a.request)
		fmt.Fprint(conn, "BUSY\r\n")
		return
	}
	h.rec.logf("host %s: OPEN %s answered UP", h.id, a.request)
	if _, err := fmt.Fprintf(conn, "UP r-%s-%s\r\n", h.id, a.request); err != nil {
		return
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := fmt.Fprint(conn, line); err != nil {
			return
		}
	}
}

// drain makes the host turn new connections away. With sendAway it sends MOVE to all its clients at once.
func (h *host) drain(sendAway bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	for conn, isOpen := range h.open {
		if isOpen && sendAway {
			fmt.Fprint(conn, "MOVE\r\n")
			conn.Close()
		}
	}
}

// arrivalsAfter returns the first lines that reached the host after a time.
func (h *host) arrivalsAfter(t time.Time) (late []arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}
