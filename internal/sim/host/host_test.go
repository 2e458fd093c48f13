package host

import (
	"strings"
	"testing"
)

const startBatch = `{"TICK":{"at_time_us":1000}}
{"CREATE":{"node":3,"random_seed":9,"boot_info":{"balancers":1,"a_new_key":[1],"ceilings":{"send_cap":3,` +
	`"max_open":100,"retry_after":false},"classes":[{"name":"c","effect":"read_like","aim_us":500000}],` +
	`"membership_mode":"on_request","rules":{"cold_from":0.3},"tick_us":5000}}}
{"UPDATE":{"node":3,"how":"C","gen":1,"elements":[{"weight":1,"unit_group":0,"host":8,"health":"on"}]}}
{"COMMIT":{}}
`

const startReply = `{"SET_TIMER":{"node":3,"offset_us":0,"mark":1}}
{"DONE":{}}
`

// goldenBatches holds batches and the expected replies.
var goldenBatches = map[string]struct{ input, want string }{
	"empty input": {"", ""},
	"empty batch": {"{\"TICK\":{\"at_time_us\":1}}\n{\"COMMIT\":{}}\n", "{\"DONE\":{}}\n"},
	"start":       {startBatch, startReply},
	"request served": {startBatch + `{"TICK":{"at_time_us":2000}}
{"SUBMIT":{"node":3,"request_id":5,"grace_us":2000000,"resource":"k","cls":"c"}}
{"COMMIT":{}}
{"TICK":{"at_time_us":3000}}
{"ACCEPTED":{"node":3,"request_id":5,"round_no":0,"host":8,"duration_us":1000}}
{"COMMIT":{}}
{"TICK":{"at_time_us":4000}}
{"CLOSED_ATTEMPT":{"node":3,"request_id":5,"round_no":0,"host":8,"ending":1,"duration_us":2000,"final":true}}
{"COMMIT":{}}
`, startReply + `{"ISSUE":{"node":3,"request_id":5,"host":8,"patience_us":1000000}}
{"DONE":{}}
{"DONE":{}}
{"DONE":{}}
`},
	"request rejected by the only server": {startBatch + `{"TICK":{"at_time_us":2000}}
{"SUBMIT":{"node":3,"request_id":5,"grace_us":2000000,"resource":"k","cls":"c"}}
{"CLOSED_ATTEMPT":{"node":3,"request_id":5,"round_no":0,"host":8,"ending":2,"duration_us":0}}
{"TIMED_OUT_CLIENT":{"node":3,"request_id":5}}
{"COMMIT":{}}
`, startReply + `{"ISSUE":{"node":3,"request_id":5,"host":8,"patience_us":1000000}}
{"BUSY":{"node":3,"request_id":5}}
{"DONE":{}}
`},
	"possibly executed request of an unknown class": {startBatch + `{"TICK":{"at_time_us":2000}}
{"SUBMIT":{"node":3,"request_id":5,"grace_us":2000000,"resource":"k","cls":"other"}}
{"CLOSED_ATTEMPT":{"node":3,"request_id":5,"round_no":0,"host":8,"ending":0,"duration_us":0}}
{"COMMIT":{}}
`, startReply + `{"ISSUE":{"node":3,"request_id":5,"host":8}}
{"ABORT":{"node":3,"request_id":5}}
{"DONE":{}}
`},
	"events for unknown nodes, requests and servers": {startBatch + `{"TICK":{"at_time_us":2000}}
{"SUBMIT":{"node":4,"request_id":5,"grace_us":2000000,"cls":"c"}}
{"TIMED_OUT_CLIENT":{"node":3,"request_id":99}}
{"UPDATE_OF":{"node":3,"request_id":99,"round_no":0,"host":77,"topic":2,"x":90.5}}
{"PONG":{"node":3,"host":77,"ending":3,"duration_us":1,"feedback":[1,2,3]}}
{"MAIL":{"node":3,"who":1,"octets":"hi"}}
{"SHUTDOWN":{"node":3}}
{"TIMEOUT_FIRED":{"node":3,"mark":2}}
{"COMMIT":{}}
`, startReply + "{\"DONE\":{}}\n"},
}

// Guards against changed replies to the simulator, and against failures on events that name unknown objects.
func TestGoldenBatches(t *testing.T) {
	for name, test := range goldenBatches {
		t.Run(name, func(t *testing.T) {
			var output strings.Builder
			if err := Run(strings.NewReader(test.input), &output); err != nil {
				t.Fatal(err)
			}
			if output.String() != test.want {
				t.Errorf("got\n%swant\n%s", output.String(), test.want)
			}
		})
	}
}

// Guards against invalid input that is accepted, and against errors without its line number.
func TestRunErrorsIncludeLine(t *testing.T) {
	const batch = `{"TICK":{"at_time_us":1}}` + "\n"
	for name, test := range map[string]struct{ input, wantPrefix string }{
		"invalid JSON":      {batch + "{\"SUBMIT\":\n", "line 2: "},
		"wrong type":        {batch + `{"SUBMIT":{"node":"three"}}` + "\n", "line 2: "},
		"no tick":           {`{"COMMIT":{}}` + "\n", "line 1: a batch must start with a TICK"},
		"nested batch":      {batch + batch, "line 2: a TICK within a batch"},
		"tick without time": {`{"TICK":{}}` + "\n", "line 1: "},
		"unknown message":   {batch + `{"HELLO":{}}` + "\n", "line 2: the line has no known message"},
		"unknown outcome":   {batch + `{"CLOSED_ATTEMPT":{"ending":9}}` + "\n", "line 2: unknown outcome: ending is 9"},
		"truncated line":    {batch + `{"COMMIT":{}}`, "line 2: the last line has no line feed"},
		"truncated batch":   {batch, "line 1: the input ends within a batch"},
		"empty line":        {"\n", "line 1: "},
		"array":             {"[1]\n", "line 1: "},
	} {
		t.Run(name, func(t *testing.T) {
			err := Run(strings.NewReader(test.input), new(strings.Builder))
			if err == nil || !strings.HasPrefix(err.Error(), test.wantPrefix) {
				t.Errorf("got %v, want it to start with %q", err, test.wantPrefix)
			}
		})
	}
}

// Guards against state that instances share: a node must act in the same way alone and next to another node.
func TestInstancesAreIndependent(t *testing.T) {
	nodeInput := func(nodeID string) string {
		var input strings.Builder
		input.WriteString(strings.ReplaceAll(startBatch, `"node":3`, `"node":`+nodeID))
		for _, requestID := range []string{"1", "2", "3"} {
			input.WriteString(`{"TICK":{"at_time_us":2000}}` + "\n" +
				`{"SUBMIT":{"node":` + nodeID + `,"request_id":` + requestID +
				`,"grace_us":900000,"resource":"k` + requestID + `","cls":"c"}}` + "\n{\"COMMIT\":{}}\n")
		}
		return input.String()
	}
	run := func(input string) string {
		var output strings.Builder
		if err := Run(strings.NewReader(input), &output); err != nil {
			t.Fatal(err)
		}
		return output.String()
	}
	if separate, combined := run(nodeInput("1"))+run(nodeInput("2")),
		run(nodeInput("1")+nodeInput("2")); separate != combined {
		t.Errorf("separate runs\n%scombined run\n%s", separate, combined)
	}
}
