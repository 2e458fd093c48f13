package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// cpuTick is the unit of CPU times in /proc.
const cpuTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted after the command name.
const (
	userTicks   = 11
	systemTicks = 12
)

// Usage holds the resources used by a process, as reported by the kernel. Values that cannot be read are 0.
type Usage struct {
	CPU         time.Duration // user and system time, in steps of cpuTick
	Resident    float64       // current resident memory in bytes
	Peak        float64       // maximum resident memory so far in bytes
	Descriptors int           // open file descriptors
}

// ReadUsage returns the usage of a process. pid is its ID, or "self" for the current process.
func ReadUsage(pid string) Usage {
	dir := "/proc/" + pid
	usage := Usage{CPU: readCPU(dir), Resident: readResident(dir), Peak: readPeak(dir)}
	if files, err := os.ReadDir(dir + "/fd"); err == nil {
		usage.Descriptors = len(files)
	}
	return usage
}

func readCPU(dir string) (total time.Duration) {
	data, _ := os.ReadFile(dir + "/stat")
	_, afterCommand, _ := bytes.Cut(data, []byte(") "))
	fields := bytes.Fields(afterCommand)
	for _, index := range []int{userTicks, systemTicks} {
		if index < len(fields) {
			ticks, _ := strconv.ParseInt(string(fields[index]), 10, 64)
			total += time.Duration(ticks) * cpuTick
		}
	}
	return total
}

func readResident(dir string) float64 {
	data, _ := os.ReadFile(dir + "/statm")
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(string(fields[1]), 64)
	return pages * float64(os.Getpagesize())
}

func readPeak(dir string) (peak float64) {
	data, _ := os.ReadFile(dir + "/status")
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			peak = kilobytes * 1024
		}
	}
	return peak
}

// RaiseDescriptorLimit raises this process's limit of open file descriptors to the maximum allowed. It returns an error
// if that is less than needed.
func RaiseDescriptorLimit(needed int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return nil // the limit is unknown and may be sufficient
	}
	limit.Cur = limit.Max
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	if uint64(needed) > limit.Cur {
		return fmt.Errorf("%d file descriptors are needed, limit is %d", needed, limit.Cur)
	}
	return nil
}
