package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"brassmux/balance"
)

const endpointJSON = `{"id":"s-1","addr":"127.0.0.1:9","zone":"a","kind":"m","cell":3,` +
	`"state":"up","weight":1,"started_ms":1700000000000}`

// testClient is a client with the address of its test server.
type testClient struct {
	*Client
	addr string
}

func (c testClient) Watch(ctx context.Context, sinceVersion int64, onEvent func(*EndpointList)) error {
	return c.Client.Watch(ctx, c.addr, sinceVersion, time.Time{},
		WatchHandler{OnEvent: onEvent, OnAlive: func() {}, OnSilence: func() {}})
}

// newTestClient starts a discovery service with a handler and returns a client for it.
func newTestClient(t *testing.T, handler http.HandlerFunc) testClient {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return testClient{New(time.Second, 10*time.Second, nil), strings.TrimPrefix(server.URL, "http://")}
}

// Guards against lost or misread events, and against a watch that ends without an error.
func TestWatchDeliversEvents(t *testing.T) {
	var requestURI string
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		requestURI = r.URL.RequestURI()
		fmt.Fprintf(w, "{\"version\":41,\"full\":true,\"servers\":[%s]}\n\n\n", endpointJSON)
		fmt.Fprintf(w, "{\"version\":42,\"full\":false,\"servers\":[%s]}\n",
			strings.Replace(endpointJSON, `"up"`, `"removed"`, 1))
	})
	var got []EndpointList
	err := client.Watch(context.Background(), 40, func(list *EndpointList) { got = append(got, *list) })
	if err == nil {
		t.Error("Watch returned no error after the service closed the watch")
	}
	if requestURI != "/v1/endpoints?follow=1&since=40" {
		t.Errorf("requested %q", requestURI)
	}
	if len(got) != 2 || got[0].Version != 41 || !got[0].Full || got[1].Version != 42 || got[1].Full {
		t.Fatalf("got %+v", got)
	}
	up := got[0].EndpointUpdate(balance.ListSnapshot).Servers[0]
	if up.State != balance.Ready || up.Zone != "a" || up.Cell != 3 || up.StartedAt != 1700000000*time.Second {
		t.Errorf("got %+v", up)
	}
	if server := got[1].EndpointUpdate(balance.ListDelta).Servers[0]; server.State != balance.Removed ||
		server.ID != up.ID {
		t.Errorf("got %+v", server)
	}
}

// Guards against invalid lists and error responses that reach the handler.
func TestWatchRejectsInvalidResponse(t *testing.T) {
	for name, response := range map[string]string{
		"invalid JSON":    "<html>\n",
		"truncated":       `{"version":41,"full":tr`,
		"no id":           `{"servers":[{"addr":"127.0.0.1:9","state":"up"}]}`,
		"empty id":        `{"servers":[{"id":"","addr":"127.0.0.1:9","state":"up"}]}`,
		"wrong type":      `{"version":"x","servers":[]}`,
		"no address":      `{"servers":[{"id":"s","addr":"nowhere","state":"up"}]}`,
		"unknown state":   `{"servers":[{"id":"s","addr":"127.0.0.1:9","state":"maybe"}]}`,
		"negative weight": `{"servers":[{"id":"s","addr":"127.0.0.1:9","state":"up","weight":-1}]}`,
		"oversized line":  strings.Repeat(" ", maxListBytes+1) + `{"version":41,"full":true,"servers":[]}`,
		"negative start":  `{"servers":[{"id":"s","addr":"127.0.0.1:9","state":"up","started_ms":-1}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, response) })
			err := client.Watch(context.Background(), 0, func(list *EndpointList) { t.Errorf("accepted %+v", list) })
			if err == nil {
				t.Error("no error")
			}
		})
	}
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, endpointJSON, http.StatusServiceUnavailable)
	})
	if err := client.Watch(context.Background(), 0, func(list *EndpointList) {
		t.Errorf("accepted %+v", list)
	}); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("got %v", err)
	}
}

// Guards against lists of a lagging service instance that bring back removed servers, and against a client that rejects
// all lists after the service restarted its version numbers.
func TestWatchRejectsOlderListOnce(t *testing.T) {
	response := `{"version":39,"full":true,"servers":[]}`
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, response) })
	accepted := 0
	watch := func() string {
		return fmt.Sprint(client.Watch(context.Background(), 41, func(*EndpointList) { accepted++ }))
	}
	if message := watch(); accepted != 0 || !strings.Contains(message, "version 39, older than 41") {
		t.Errorf("accepted %d: %s", accepted, message)
	}
	if watch(); accepted != 1 {
		t.Errorf("accepted %d lists after the second older one, want 1", accepted)
	}
	if watch(); accepted != 1 {
		t.Errorf("accepted %d lists after the third older one, want 1", accepted)
	}
	response = `{"version":39,"full":false,"servers":[]}` // changes to a list that the client does not have
	if watch(); accepted != 1 {
		t.Errorf("accepted %d changes", accepted)
	}
	response = `{"version":41,"full":false,"servers":[]}` + "\n" + `{"version":40,"full":false,"servers":[]}`
	if message := watch(); accepted != 2 || !strings.Contains(message, "older") {
		t.Errorf("accepted %d: %s", accepted, message)
	}
}

// Guards against an unnoticed failure of the service's host, which leaves the watch open without data and is not
// detected by TCP keep-alive, and against events that are lost after a silence.
func TestSilentWatchStaysOpen(t *testing.T) {
	for first, want := range map[string]string{"": "silent, alive, 41, silent", "\n": "alive, silent, 41, silent"} {
		resume := make(chan struct{})
		list := fmt.Sprintf("{\"version\":41,\"full\":true,\"servers\":[%s]}\n", endpointJSON)
		client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			for _, text := range []string{first, list} {
				fmt.Fprint(w, text)
				w.(http.Flusher).Flush()
				<-resume
			}
			<-r.Context().Done()
		})
		client.SilenceTimeout = 20 * time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		reports, ended := startWatch(ctx, client)
		var got []string
		for len(got) < 4 {
			if got = append(got, <-reports); got[len(got)-1] == "silent" && len(got) < 4 {
				close(resume)
			}
		}
		if joined := strings.Join(got, ", "); joined != want {
			t.Errorf("after %q: %s", first, joined)
		}
		cancel()
		if err := <-ended; err != context.Canceled {
			t.Errorf("got %v", err)
		}
	}
}

// startWatch runs a watch and returns the channels of its callbacks and of its final error.
func startWatch(ctx context.Context, client testClient) (reports <-chan string, ended <-chan error) {
	reportQueue, result := make(chan string, 100), make(chan error, 1)
	go func() {
		result <- client.Client.Watch(ctx, client.addr, 0, time.Time{}, WatchHandler{
			OnEvent:   func(list *EndpointList) { reportQueue <- fmt.Sprint(list.Version) },
			OnAlive:   func() { reportQueue <- "alive" },
			OnSilence: func() { reportQueue <- "silent" },
		})
	}()
	return reportQueue, result
}

// Guards against a decoder that requires one list per line or per read.
func TestWatchReadsFragmentedAndIndentedLists(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		for _, fragment := range strings.SplitAfter("\r\n"+`{
  "version": 41, "full": true,
  "servers": [`+endpointJSON+`
  ]
}`+"\r\n\r\n"+`{"version":42,"full":false,"servers":[]}`, ":") {
			fmt.Fprint(w, fragment)
			w.(http.Flusher).Flush()
		}
	})
	var versions []int64
	client.Watch(context.Background(), 0, func(list *EndpointList) { versions = append(versions, list.Version) })
	if fmt.Sprint(versions) != "[41 42]" {
		t.Errorf("got versions %v", versions)
	}
}

// Guards against line feeds before or within a list that count as heartbeats: the old list would count as current until
// the rest of the new one arrives.
func TestHeartbeatsAreBetweenLists(t *testing.T) {
	fragments := []string{"\r\n", `{"version":41,"full":true,`, "\n", `"servers":[]}{"version":42,`, "\n",
		`"full":false,"servers":[]}`, "\r\n"}
	lastListRead := make(chan struct{})
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		for i, fragment := range fragments {
			if i == len(fragments)-1 {
				<-lastListRead
			}
			fmt.Fprint(w, fragment)
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond) // the fragments arrive one by one
		}
	})
	var events []string
	client.Client.Watch(context.Background(), client.addr, 0, time.Time{}, WatchHandler{
		OnEvent: func(list *EndpointList) {
			if events = append(events, fmt.Sprint(list.Version)); list.Version == 42 {
				close(lastListRead)
			}
		},
		OnAlive:     func() {},
		OnHeartbeat: func() { events = append(events, "heartbeat") },
		OnSilence:   func() {},
	})
	if got := strings.Join(events, " "); got != "41 42 heartbeat" {
		t.Errorf("got %s", got)
	}
}

// Guards against a watch that outlives its context.
func TestWatchEndsWithContext(t *testing.T) {
	client := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := client.Watch(ctx, 0, func(*EndpointList) {}); err == nil {
		t.Error("no error")
	}
}

// Guards against the reuse of the connection of a failed call: the host at its other end may have failed since.
func TestWatchOpensNewConnection(t *testing.T) {
	remoteAddrs := map[string]bool{}
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		remoteAddrs[r.RemoteAddr] = true
		w.WriteHeader(http.StatusServiceUnavailable) // without a body, so the connection is reusable
	})
	for range 3 {
		client.Watch(context.Background(), 0, func(*EndpointList) {})
	}
	if len(remoteAddrs) != 3 {
		t.Errorf("three calls used %d connections", len(remoteAddrs))
	}
}

// Guards against failures that are reported with the wrong type of error.
func TestWatchErrors(t *testing.T) {
	var response string
	status := http.StatusOK
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprintln(w, response)
	})
	watch := func(text string) error {
		response = text
		return client.Watch(context.Background(), 5, func(*EndpointList) {})
	}
	staleErr, listErr, sizeErr, endpointErr, statusErr :=
		&StaleError{}, &ListError{}, &SizeError{}, &EndpointError{}, &StatusError{}
	if err := watch(`{"version":4,"full":false}`); !errors.As(err, &staleErr) || staleErr.Version != 4 ||
		staleErr.Current != 5 {
		t.Errorf("an older version: %v", err)
	}
	if err := watch("<html>"); !errors.As(err, &listErr) {
		t.Errorf("invalid JSON: %v", err)
	}
	if err := watch(strings.Repeat(" ", maxListBytes+1)); !errors.As(err, &sizeErr) {
		t.Errorf("a long list: %v", err)
	}
	if err := watch(`{"servers":[{"id":1,"state":"maybe"}]}`); !errors.As(err, &endpointErr) ||
		endpointErr.Field != "state" {
		t.Errorf("an unknown state: %v", err)
	}
	if err := watch(`{"version":6}`); !errors.Is(err, ErrWatchEnded) {
		t.Errorf("the watch ended: %v", err)
	}
	status = http.StatusNotFound
	if err := watch(""); !errors.As(err, &statusErr) || statusErr.Status != "404 Not Found" {
		t.Errorf("another status: %v", err)
	}
	past := time.Now().Add(-time.Second)
	err := client.Client.Watch(context.Background(), client.addr, 0, past,
		WatchHandler{OnAlive: func() {}, OnSilence: func() {}})
	if !errors.Is(err, ErrTooLate) {
		t.Errorf("a deadline that has passed: %v", err)
	}
}
