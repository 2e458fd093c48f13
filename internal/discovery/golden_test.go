package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"

	"brassmux/balance"
	"brassmux/internal/golden"
)

// Guards against changes in the request of a watch and in the decoding of each form of list that the service may send.
func TestGoldenLists(t *testing.T) {
	input := golden.Read(t, "lists.json")
	var output strings.Builder
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		r.Host = "discovery:80"
		request, err := httputil.DumpRequest(r, true)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(&output, "%s\n", strings.TrimSpace(strings.ReplaceAll(string(request), "\r\n", "\n")))
		fmt.Fprint(w, input)
	})
	stateNames := map[balance.ServerState]string{balance.Removed: "gone", balance.Draining: "draining",
		balance.Ready: "ready"}
	err := client.Watch(context.Background(), 40, func(list *EndpointList) {
		fmt.Fprintf(&output, "version=%d full=%v\n", list.Version, list.Full)
		servers := list.EndpointUpdate(balance.ListSnapshot).Servers
		for i, endpoint := range list.Servers {
			server := servers[i]
			fmt.Fprintf(&output, "  id=%d addr=%q zone=%q cell=%d state=%q weight=%g started_ms=%d\n",
				uint64(endpoint.ID), endpoint.Addr, endpoint.Zone, endpoint.Cell, endpoint.State, endpoint.Weight,
				endpoint.StartedAtMillis)
			fmt.Fprintf(&output, "  -> id=%d state=%s zone=%q cell=%d weight=%g up_since=%d\n",
				uint64(server.ID), stateNames[server.State], server.Zone, server.Cell, server.Weight,
				int64(server.StartedAt))
		}
	})
	if err == nil {
		t.Error("Watch returned no error after the service closed the watch")
	}
	golden.Check(t, "lists.txt", output.String())
}
