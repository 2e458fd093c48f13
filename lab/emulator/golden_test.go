package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// recorder records the responses that a node receives and the events that callbacks report.
type recorder struct {
	mu     sync.Mutex
	events []string
	text   strings.Builder
}

func (r *recorder) record(values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprint(values...))
}

// get calls the list service and records the status and the first line of the response.
func (r *recorder) get(t *testing.T, list *ListService, dialer *net.Dialer, query string) {
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	response, err := client.Get("http://" + list.Addr() + "/?" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	line, _ := bufio.NewReader(response.Body).ReadString('\n')
	fmt.Fprint(&r.text, query, " ", response.StatusCode, " ", line, "\n")
}

// addChange publishes a change and waits until the service has the version.
func addChange(list *ListService, endpoint Endpoint, version int) {
	list.Update(endpoint)
	for changes := 0; changes < version; time.Sleep(time.Millisecond) {
		list.mu.Lock()
		changes = len(list.changes)
		list.mu.Unlock()
	}
}

// Guards against changes of the protocol: the responses of the list service and of a server must match a recorded file.
func TestListAndServerProtocol(t *testing.T) {
	direction, recorded := &Direction{}, &recorder{}
	links := func(int) (in, out *Direction) { return direction, direction }
	list := NewListService(ListConfig{}, func(n Notification) {
		recorded.record("told ", n.Node, n.Version, len(n.Endpoints))
	}, func(c Call) {
		recorded.record("call ", c.Node, c.Failed)
	})
	if err := list.Open(links); err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	addChange(list, Endpoint{ID: "a", Addr: "1", Zone: "z", State: "up", Weight: 1, Started: 5}, 1)
	addChange(list, Endpoint{ID: "b", Addr: "2", State: "draining"}, 2)
	addChange(list, Endpoint{ID: "a", Addr: "1", State: "removed"}, 3)
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: SourceAddr(3).AsSlice()}}
	for _, query := range []string{"", "since=1", "since=1&follow=1", "since=0&follow=1", "since=9&follow=1"} {
		recorded.get(t, list, dialer, query)
	}
	list.SetStale(3, true)
	addChange(list, Endpoint{ID: "c", State: "up"}, 4)
	recorded.get(t, list, dialer, "follow=0")
	list.SetStale(3, false)
	recorded.get(t, list, dialer, "since=3&follow=1")
	list.SetDown(true)
	recorded.get(t, list, dialer, "")
	recorded.mu.Lock()
	fmt.Fprintln(&recorded.text, strings.Join(recorded.events, "\n"), list.StaleAnswers.Load() > 0)
	recorded.mu.Unlock()
	exerciseServer(t, &recorded.text, dialer, links)
	want, err := os.ReadFile("testdata/golden.txt")
	if err != nil || recorded.text.String() != string(want) {
		t.Errorf("%v, got:\n%s", err, &recorded.text)
	}
}

// exerciseServer records the answers and events of a server that accepts, rejects, drains and answers health checks.
func exerciseServer(t *testing.T, text *strings.Builder, dialer *net.Dialer, links Links) {
	received := make(chan Event, 100)
	server := NewServer("s", ServerConfig{Capacity: 1}, time.Time{}, func(event Event) { received <- event })
	if err := server.Open(links); err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	send := func(input string, lineCount int) net.Conn {
		conn, err := dialer.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(conn, input)
		reader := bufio.NewReader(conn)
		fmt.Fprintf(text, "%q:", input)
		for range lineCount {
			line, err := reader.ReadString('\n')
			fmt.Fprintf(text, " %q %v", line, err)
		}
		fmt.Fprintln(text)
		return conn
	}
	writeEvents := func(count int) {
		for range count {
			event := <-received
			fmt.Fprintln(text, int(event.Kind), event.Node, event.Request, event.Client, event.Server.ID)
		}
	}
	first := send("OPEN r1 key c=c,d=5\r\nhello\r\n", 2)
	writeEvents(2)
	defer send("PING\r\nSTATS\r\nWHAT\r\n", 3).Close()
	writeEvents(4)
	second := send("OPEN r2 key c=c,d=5\r\n", 1)
	writeEvents(2)
	third := send("OPEN r3 key c=c,d=5\r\n", 1)
	writeEvents(4)
	second.Close()
	third.Close()
	writeEvents(1)
	fmt.Fprintf(text, "%.2f %v\n", server.Utilization(), server.Leaving())
	server.Drain()
	remainder, _ := io.ReadAll(first)
	writeEvents(1)
	fmt.Fprintf(text, "%q %v\n", remainder, server.Leaving())
	defer send("PING\r\nSTATS\r\n", 2).Close()
	writeEvents(3)
	send("OPEN r4 key c=c\r\n", 2).Close()
	writeEvents(4)
}
