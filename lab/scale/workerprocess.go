package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"time"
)

// workerProcess is a process of emulated nodes, or that of the list service, as seen by the coordinator.
type workerProcess struct {
	role     string
	nodes    []int
	cmd      *exec.Cmd
	commands *json.Encoder
	reports  chan report
	exited   chan struct{}
	killed   bool // killed by the scenario
}

// workerProcesses returns all processes except those of the real nodes.
func (f *fleet) workerProcesses() []*workerProcess {
	return append([]*workerProcess{f.list}, f.nodeWorkers...)
}

// spawn starts a worker process and sends it its setup.
func (f *fleet) spawn(p *workerProcess, setup setup) error {
	p.cmd = exec.Command(f.options.Binary, "lab", "scale-part")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH")}
	p.cmd.Stderr = os.Stderr
	stdin, err := p.cmd.StdinPipe()
	if err != nil {
		return err
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := f.starter.StartCommand(p.cmd); err != nil {
		return err
	}
	p.commands, p.reports, p.exited = json.NewEncoder(stdin), make(chan report, 100), make(chan struct{})
	go func() {
		decoder := json.NewDecoder(stdout)
		for {
			var r report
			if err := decoder.Decode(&r); err != nil {
				break
			}
			if r.Err != "" {
				f.failf("worker process for role %s: %s", p.role, r.Err)
			}
			if r.Action == "sample" {
				f.recordSample(p, r)
				continue
			}
			select {
			case p.reports <- r:
			default: // drops a report that no caller awaits
			}
		}
		p.cmd.Wait()
		close(p.exited)
	}()
	return p.commands.Encode(command{Action: actionSetup, Setup: &setup})
}

// awaitReport waits for the report on an action.
func (p *workerProcess) awaitReport(action string, timeout time.Duration) (report, error) {
	deadline := time.After(timeout)
	for {
		select {
		case r := <-p.reports:
			if r.Err != "" {
				return r, errors.New(r.Err)
			} else if r.Action == action {
				return r, nil
			}
		case <-p.exited:
			return report{}, fmt.Errorf("worker process for role %s exited before its report on %s", p.role, action)
		case <-deadline:
			return report{}, fmt.Errorf("worker process for role %s did not report on %s within %v",
				p.role, action, timeout)
		}
	}
}

// recordSample adds a periodic report of a worker process to the figures.
func (f *fleet) recordSample(p *workerProcess, r report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range r.Changes {
		f.recordApplied(change.Node, change.From, change.To, time.Unix(0, change.At))
	}
	if units := r.Units; units != nil {
		for i, count := range units.Counts {
			f.unitCounts[units.FirstBucket+int64(i)] += int(count)
		}
	}
	f.leaderStates[p] = r.State
}
