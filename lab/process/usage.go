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

// Usage is what a process has used, as seen from outside. What cannot be read is 0.
type Usage struct {
	CPU         time.Duration // in user and system mode, in steps of 10 ms
	Resident    float64       // bytes of memory now
	Peak        float64       // and at its peak
	Descriptors int
}

// UsageOf looks at a process by its number, or at "self".
func UsageOf(pid string) (u Usage) {
	if data, err := os.ReadFile("/proc/" + pid + "/stat"); err == nil {
		if _, after, ok := bytes.Cut(data, []byte(") ")); ok {
			f := bytes.Fields(after)
			for _, at := range []int{11, 12} { // of user and system, in ticks of 10 ms
				if at < len(f) {
					n, _ := strconv.ParseInt(string(f[at]), 10, 64)
					u.CPU += time.Duration(n) * 10 * time.Millisecond
				}
			}
		}
	}
	if data, err := os.ReadFile("/proc/" + pid + "/statm"); err == nil {
		if f := bytes.Fields(data); len(f) > 1 {
			n, _ := strconv.ParseFloat(string(f[1]), 64)
			u.Resident = n * float64(os.Getpagesize())
		}
	}
	if data, err := os.ReadFile("/proc/" + pid + "/status"); err == nil {
		for line := range strings.Lines(string(data)) {
			if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				kilobytes, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
				u.Peak = kilobytes * 1024
			}
		}
	}
	if files, err := os.ReadDir("/proc/" + pid + "/fd"); err == nil {
		u.Descriptors = len(files)
	}
	return u
}

// RaiseDescriptors lets this process have as many descriptors as it may. An error tells that those are fewer than are needed.
func RaiseDescriptors(need int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return nil // then nothing is known
	}
	limit.Cur = limit.Max
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	if uint64(need) > limit.Cur {
		return fmt.Errorf("%d descriptors are wanted, %d are allowed", need, limit.Cur)
	}
	return nil
}
