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

// Options of a run.
type Options struct {
	Seed        uint64
	Repetitions int    // measurements at each size, 2 at least
	SizeDivisor int    // sizes are divided by it, for a quick look: its figures say nothing of the great sizes; 0 means 1
	Binary      string // the program, for what is measured at a process of its own; "" means the running one
}

// Measurement holds the measured values of one figure at several sizes and the model fitted to them.
type Measurement struct {
	Name        string          `json:"name"`
	Description string          `json:"what"`
	Unit        string          `json:"unit"`
	SizeOf      string          `json:"of"` // what the size counts
	Points      []scaling.Point `json:"points"`
	Fit         scaling.Model   `json:"fit"`
}

// Median is that of the measurements at a size; 0 where there is none.
func (s *Measurement) Median(n float64) float64 {
	var y []float64
	for _, p := range s.Points {
		if p.Size == n {
			y = append(y, p.Value)
		}
	}
	if len(y) == 0 {
		return 0
	}
	return scaling.Median(y)
}

// Sizes are those that were measured, the least first.
func (s *Measurement) Sizes() (sizes []float64) {
	for _, p := range s.Points {
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
	if i := slices.IndexFunc(r.Measurements, func(s *Measurement) bool { return s.Name == name }); i >= 0 {
		return r.Measurements[i]
	}
	return nil
}

// NodeCounts, ServerCounts, KeyCounts and ConnectionCounts are the sizes at which figures are measured.
var (
	NodeCounts       = []int{300, 1000, 3000, 5700}
	ServerCounts     = []int{90, 500, 1000, 2000, 5000}
	fleets           = []int{300, 600, 1000, 2000} // in virtual time: above it a run takes minutes
	KeyCounts        = []int{1000, 4000, 16000, 45600}
	ConnectionCounts = []int{500, 1000, 2000, 4000}
)

// group is some measurements that are made together.
type group struct {
	name string
	run  func(ctx context.Context, b *bench) error
}

var groups = []group{
	{"keeper", keeper},
	{"follower", follower},
	{"words", words},
	{"list", list},
	{"place", place},
	{"memory", memory},
	{"pause", pause},
	{"start", start},
	{"node", standing},
	{"ports", ports},
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
			return fmt.Errorf("%q is none of %s", name, strings.Join(GroupNames(), ", "))
		}
	}
	return nil
}

// Measure makes the named groups of measurements, or all where none is named. What it measures in processor time is that of this whole
// process or of a node's, so nothing else should go on here meanwhile.
func Measure(ctx context.Context, o Options, names ...string) (*Results, error) {
	if err := CheckGroupNames(names); err != nil {
		return nil, err
	}
	if o.SizeDivisor = max(o.SizeDivisor, 1); o.Repetitions < 2 {
		return nil, errors.New("each measurement is to be repeated: 2 at least")
	}
	b := &bench{o: o, run: &Results{Seed: o.Seed, Repetitions: o.Repetitions, SizeDivisor: o.SizeDivisor, Cores: runtime.NumCPU(), Go: runtime.Version()}}
	for _, g := range groups {
		if len(names) > 0 && !slices.Contains(names, g.name) {
			continue
		}
		if err := g.run(ctx, b); err != nil {
			return nil, fmt.Errorf("%s: %w", g.name, err)
		}
	}
	for _, s := range b.run.Measurements {
		var err error
		if s.Fit, err = scaling.FitModel(s.Points); err != nil {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	return b.run, nil
}

type bench struct {
	o   Options
	run *Results
}

func (b *bench) slope(name, what, unit, of string) *Measurement {
	s := &Measurement{Name: name, Description: what, Unit: unit, SizeOf: of}
	b.run.Measurements = append(b.run.Measurements, s)
	return s
}

func (s *Measurement) add(n int, y float64) {
	s.Points = append(s.Points, scaling.Point{Size: float64(n), Value: y})
}

// each goes through sizes as often as measurements are to be repeated, all sizes in turn: what changes at the machine meanwhile
// then meets all of them.
func (b *bench) each(ctx context.Context, sizes []int, do func(n, turn int) error) error {
	for turn := range b.o.Repetitions {
		for _, n := range sizes {
			if err := ctx.Err(); err != nil {
				return err
			}
			if err := do(max(n/b.o.SizeDivisor, 20), turn); err != nil {
				return err
			}
		}
	}
	return nil
}

// cpu is the processor time that this process has used, of all its threads, its kernel's part too.
func cpu() time.Duration { return clock(2) } // CLOCK_PROCESS_CPUTIME_ID

// cpuOf is that of another process.
func cpuOf(pid int) time.Duration { return clock(^pid<<3 | 2) } // as clock_getcpuclockid makes it

func clock(id int) time.Duration {
	var t syscall.Timespec
	if _, _, err := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, uintptr(id), uintptr(unsafe.Pointer(&t)), 0); err != 0 {
		return 0
	}
	return time.Duration(t.Nano())
}

// timed is the processor time of something, for each of count.
func timed(count int, do func()) (microseconds float64) {
	runtime.GC()
	begun := cpu()
	do()
	return float64(cpu()-begun) / float64(time.Microsecond) / float64(count)
}

// live is the memory that is in use once what can be freed is.
func live() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// pages is what a process has in memory, in bytes.
func pages(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var size, resident float64
	if err != nil {
		return math.NaN()
	}
	fmt.Sscan(string(data), &size, &resident)
	return resident * float64(os.Getpagesize())
}

func descriptors(pid int) int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(all)
}
