// Package capacity measures how the costs of a node, of the budget leader and of the endpoint lists grow with the size
// of a fleet. It runs the program's own code, repeats each measurement at several sizes, and fits a growth model with
// package scaling. The tables of docs/CAPACITY.md extrapolate the fitted models to the planned fleet size.
package capacity

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"
	"unsafe"

	"brassmux/lab/scaling"
)

// Options configures a run.
type Options struct {
	Seed        uint64
	Repetitions int // measurements at each size, at least 2
	// SizeDivisor divides all sizes, for a quick test. Its results say nothing about large sizes. 0 means 1.
	SizeDivisor int
	Binary      string // path of the program for measurements of a separate process; "" for the running one
}

// Measurement holds the measured values of one figure at several sizes and the model fitted to them.
type Measurement struct {
	Name        string          `json:"name"`
	Description string          `json:"what"`
	Unit        string          `json:"unit"`
	SizeOf      string          `json:"of"` // unit of the sizes
	Points      []scaling.Point `json:"points"`
	Fit         scaling.Model   `json:"fit"`
}

// Median returns the median of the values at a size, or 0 if there are none.
func (m *Measurement) Median(size float64) float64 {
	var values []float64
	for _, p := range m.Points {
		if p.Size == size {
			values = append(values, p.Value)
		}
	}
	if len(values) == 0 {
		return 0
	}
	return scaling.Median(values)
}

// Sizes returns the measured sizes in ascending order.
func (m *Measurement) Sizes() (sizes []float64) {
	for _, p := range m.Points {
		if !slices.Contains(sizes, p.Size) {
			sizes = append(sizes, p.Size)
		}
	}
	slices.Sort(sizes)
	return sizes
}

// Results holds the measurements of a run and the environment they were made in.
type Results struct {
	Program      string         `json:"program"`
	Seed         uint64         `json:"seed"`
	Repetitions  int            `json:"repeat"`
	SizeDivisor  int            `json:"part"`
	Cores        int            `json:"cores"`
	Go           string         `json:"go"`
	Measurements []*Measurement `json:"slopes"`
}

// Measurement returns the measurement with the given name, or nil if it was not made.
func (r *Results) Measurement(name string) *Measurement {
	if i := slices.IndexFunc(r.Measurements, func(m *Measurement) bool { return m.Name == name }); i >= 0 {
		return r.Measurements[i]
	}
	return nil
}

// NodeCounts, ServerCounts, KeyCounts and ConnectionCounts are the sizes at which figures are measured.
var (
	NodeCounts          = []int{300, 1000, 3000, 5700}
	ServerCounts        = []int{90, 500, 1000, 2000, 5000}
	simulatedFleetSizes = []int{300, 600, 1000, 2000} // in virtual time; larger fleets take minutes
	KeyCounts           = []int{1000, 4000, 16000, 45600}
	ConnectionCounts    = []int{500, 1000, 2000, 4000}
)

// group is a set of measurements that are made together.
type group struct {
	name string
	run  func(ctx context.Context, b *bench) error
}

var groups = []group{
	{"keeper", measureLeader},
	{"follower", measureFollower},
	{"words", measureMessages},
	{"list", measureList},
	{"place", measurePlacement},
	{"memory", measureMemory},
	{"pause", measureRetryDelay},
	{"start", measureStartup},
	{"node", measureConnections},
	{"ports", measurePorts},
}

// GroupNames returns the names of the groups of measurements.
func GroupNames() (names []string) {
	for _, g := range groups {
		names = append(names, g.name)
	}
	return names
}

// CheckGroupNames returns an error for the first name that is not that of a group.
func CheckGroupNames(names []string) error {
	for _, name := range names {
		if !slices.Contains(GroupNames(), name) {
			return fmt.Errorf("%q is not one of %s", name, strings.Join(GroupNames(), ", "))
		}
	}
	return nil
}

// Measure makes the named groups of measurements, or all if there are no names. CPU times are those of this process or
// of a node process, so nothing else should run in this process at the same time.
func Measure(ctx context.Context, options Options, names ...string) (*Results, error) {
	if err := CheckGroupNames(names); err != nil {
		return nil, err
	}
	if options.SizeDivisor = max(options.SizeDivisor, 1); options.Repetitions < 2 {
		return nil, errors.New("repetitions: at least 2 are required")
	}
	b := &bench{options: options, results: &Results{Seed: options.Seed, Repetitions: options.Repetitions,
		SizeDivisor: options.SizeDivisor, Cores: runtime.NumCPU(), Go: runtime.Version()}}
	for _, g := range groups {
		if len(names) > 0 && !slices.Contains(names, g.name) {
			continue
		}
		if err := g.run(ctx, b); err != nil {
			return nil, fmt.Errorf("%s: %w", g.name, err)
		}
	}
	for _, m := range b.results.Measurements {
		var err error
		if m.Fit, err = scaling.FitModel(m.Points); err != nil {
			return nil, fmt.Errorf("%s: %w", m.Name, err)
		}
	}
	return b.results, nil
}

// bench collects the measurements of a run.
type bench struct {
	options Options
	results *Results
}

// measurement adds an empty measurement to the results.
func (b *bench) measurement(name, description, unit, sizeOf string) *Measurement {
	m := &Measurement{Name: name, Description: description, Unit: unit, SizeOf: sizeOf}
	b.results.Measurements = append(b.results.Measurements, m)
	return m
}

// add adds a value at a size.
func (m *Measurement) add(size int, value float64) {
	m.Points = append(m.Points, scaling.Point{Size: float64(size), Value: value})
}

// forEachSize calls measure for all sizes in turn, and repeats this for each repetition. A change of the machine's
// speed during the run then affects all sizes alike.
func (b *bench) forEachSize(ctx context.Context, sizes []int, measure func(size, repetition int) error) error {
	for repetition := range b.options.Repetitions {
		for _, size := range sizes {
			if err := ctx.Err(); err != nil {
				return err
			}
			if err := measure(max(size/b.options.SizeDivisor, 20), repetition); err != nil {
				return err
			}
		}
	}
	return nil
}

// cpuTime returns the CPU time used by all threads of this process in user and kernel mode.
func cpuTime() time.Duration { return readClock(2) } // CLOCK_PROCESS_CPUTIME_ID

// cpuTimeOf returns the CPU time used by another process.
func cpuTimeOf(pid int) time.Duration { return readClock(^pid<<3 | 2) } // the clock ID that clock_getcpuclockid returns

// readClock returns the time of a clock of the kernel, or 0 if there is no such clock.
func readClock(clockID int) time.Duration {
	var ts syscall.Timespec
	if _, _, err := syscall.Syscall(
		syscall.SYS_CLOCK_GETTIME, uintptr(clockID), uintptr(unsafe.Pointer(&ts)), 0); err != 0 {
		return 0
	}
	return time.Duration(ts.Nano())
}

// cpuMicros returns the CPU time of work in microseconds, divided by count.
func cpuMicros(count int, work func()) (microseconds float64) {
	runtime.GC()
	start := cpuTime()
	work()
	return float64(cpuTime()-start) / float64(time.Microsecond) / float64(count)
}

// liveMemory returns the heap memory in use after garbage collection, in bytes.
func liveMemory() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var size, resident float64
	if err != nil {
		return math.NaN()
	}
	fmt.Sscan(string(data), &size, &resident)
	return resident * float64(os.Getpagesize())
}

// openDescriptors returns the number of open file descriptors of a process.
func openDescriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}
