package scale

import (
	"bufio"
	"encoding/json"
	"io"
	"runtime"
	"sync"
	"syscall"
	"time"

	"brassmux/lab/process"
)

// RunWorker runs one worker process, which emulates nodes or the list service. It executes commands from in until
// in ends and writes its reports to out.
func RunWorker(in io.Reader, out io.Writer) error {
	w := &worker{out: json.NewEncoder(out)}
	commands := bufio.NewScanner(in)
	commands.Buffer(nil, 1<<24)
	go w.delays.run(nil)
	for commands.Scan() {
		var cmd command
		if err := json.Unmarshal(commands.Bytes(), &cmd); err != nil {
			return err
		}
		if err := w.execute(cmd); err != nil {
			w.send(report{Action: cmd.Action, Err: err.Error()})
			return err
		}
	}
	return commands.Err()
}

// worker is the state of a worker process that does not depend on its role.
type worker struct {
	mu   sync.Mutex
	out  *json.Encoder
	role interface {
		execute(cmd command) error
		fill(m *measurement) // sets the figures that depend on the role
	}
	delays     delayMonitor
	startedAt  time.Time
	startUsage process.Usage
}

// send writes a report to the coordinator. It is safe for concurrent use.
func (w *worker) send(r report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out.Encode(r)
}

// execute carries out a command, or passes it to the role.
func (w *worker) execute(cmd command) error {
	switch cmd.Action {
	case actionSetup:
		runtime.GOMAXPROCS(2) // as on a small machine; it also keeps each garbage collector from using all cores
		var err error
		if cmd.Setup.Role == "list" {
			w.role, err = newListWorker(w, cmd.Setup)
		} else {
			w.role, err = newNodeWorker(w, cmd.Setup)
		}
		return err
	case actionBeginMeasurement:
		w.startUsage, w.startedAt = ownUsage(), time.Now()
		w.delays.reset()
	case actionEndMeasurement:
		usage := ownUsage()
		m := &measurement{Seconds: time.Since(w.startedAt).Seconds(), CPU: (usage.CPU - w.startUsage.CPU).Seconds(),
			ResidentBytes: usage.Resident, Descriptors: usage.Descriptors, Flows: map[string]flow{}}
		m.MaxDelayMS, m.LateSampleRatio = w.delays.results()
		w.role.fill(m)
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		m.LiveBytes = float64(mem.HeapAlloc + mem.StackInuse)
		w.send(report{Action: cmd.Action, Measurement: m})
		return nil
	}
	return w.role.execute(cmd)
}

// ownUsage returns the resource usage of this process. The CPU time is exact to the microsecond.
func ownUsage() process.Usage {
	var rusage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	usage := process.ReadUsage("self")
	usage.CPU = time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
	return usage
}
