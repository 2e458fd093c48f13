// Package shim injects faults of the operating system into processes of the program: an offset of the wall clock and
// failing system calls. A small library, compiled by Build, is loaded into each process with LD_PRELOAD. It affects
// only these processes and requires no privileges. Callers decide when faults start and end.
package shim

import (
	_ "embed"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

//go:embed preload/shim.c
var source []byte

// Library is the compiled library in a temporary directory.
type Library struct{ dir string }

// Build compiles the library with the C compiler cc. The library must be deleted with Remove.
func Build() (*Library, error) {
	dir, err := os.MkdirTemp("", "shim")
	if err != nil {
		return nil, err
	}
	l := &Library{dir}
	file := filepath.Join(dir, "shim.c")
	if err := os.WriteFile(file, source, 0o600); err != nil {
		l.Remove()
		return nil, err
	}
	if output, err := exec.Command("cc", "-shared", "-fPIC", "-O1", "-o", l.path(), file).CombinedOutput(); err != nil {
		l.Remove()
		return nil, fmt.Errorf("compiling the shim: %w: %s", err, output)
	}
	return l, nil
}

func (l *Library) path() string { return filepath.Join(l.dir, "shim.so") }

// Remove deletes the library. Processes that have loaded it are not affected.
func (l *Library) Remove() { os.RemoveAll(l.dir) }

// Call is the number of a system call that the shim can cause to fail.
type Call int

// System calls, with the numbers of the machine's architecture.
const (
	Accept  Call = syscall.SYS_ACCEPT4
	Socket  Call = syscall.SYS_SOCKET
	Connect Call = syscall.SYS_CONNECT
)

// TransientErrors holds the errors of each call that may be temporary, according to its manual page.
var TransientErrors = map[Call][]syscall.Errno{
	Accept: {
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EINTR,
	},
	Socket: {syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM},
	Connect: {
		syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ECONNREFUSED, syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH, syscall.EAGAIN,
	},
}

// offsetBytes is the size of the clock offset in the shared mapping.
const offsetBytes = 8

// Shim controls the faults of one process. Its methods are safe for concurrent use.
type Shim struct {
	clock       *os.File // file with the offset of the wall clock, which the process maps
	offset      []byte   // mapping of the file in this program
	childSocket *os.File // the process's end of a socket pair; closed here once the process has started
	socket      *os.File // this program's end, on which the process sends its seccomp listener

	mu          sync.Mutex
	rng         *rand.Rand
	probability map[Call]float64

	FailedCalls atomic.Int64 // system calls that failed because of the shim
}

// NewShim returns a Shim for a process that is about to start. The seed determines which calls fail, and with which
// errors.
func (l *Library) NewShim(seed uint64) (*Shim, error) {
	sockets, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	s := &Shim{socket: os.NewFile(uintptr(sockets[0]), "shim"), childSocket: os.NewFile(uintptr(sockets[1]), "shim"),
		rng: rand.New(rand.NewPCG(seed, 2)), probability: map[Call]float64{}}
	if s.clock, err = os.CreateTemp(l.dir, "clock"); err == nil {
		os.Remove(s.clock.Name())
		if err = s.clock.Truncate(offsetBytes); err == nil {
			const protection = syscall.PROT_READ | syscall.PROT_WRITE
			s.offset, err = syscall.Mmap(int(s.clock.Fd()), 0, offsetBytes, protection, syscall.MAP_SHARED)
		}
	}
	if err != nil {
		s.closeChildFiles()
		s.socket.Close()
		return nil, err
	}
	return s, nil
}

// Prepare modifies a command that has not started so that its process loads the library. It keeps the first of
// cmd.ExtraFiles, descriptor 3, and replaces the others.
func (l *Library) Prepare(s *Shim, cmd *exec.Cmd) {
	cmd.ExtraFiles = append(cmd.ExtraFiles[:1:1], s.clock, s.childSocket) // descriptors 4 and 5; see preload/shim.c
	cmd.Env = append(cmd.Env, "LD_PRELOAD="+l.path())
}

// Serve answers the notifications of the process's system calls until the process ends. It must be called once, after
// the process has started.
func (s *Shim) Serve() error {
	s.closeChildFiles()
	defer s.socket.Close()
	listener, err := s.receiveListener()
	if err != nil {
		return err
	}
	defer syscall.Close(listener)
	for {
		switch err := s.answerCall(listener); {
		case err == nil, errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.ENOENT): // the call was interrupted and will be repeated, or the process has ended
			if isHungUp(listener) {
				return nil
			}
		default:
			return err
		}
	}
}

// isHungUp reports whether no process uses the seccomp filter any more.
func isHungUp(listener int) bool {
	pollFDs := []unix.PollFd{{Fd: int32(listener)}}
	_, err := unix.Poll(pollFDs, 0)
	return err == nil && pollFDs[0].Revents&unix.POLLHUP != 0
}

// closeChildFiles closes this program's copies of the files that the process inherits.
func (s *Shim) closeChildFiles() {
	s.childSocket.Close()
	if s.clock != nil {
		s.clock.Close()
	}
}

// receiveListener receives the descriptor of the seccomp listener, on which the kernel reports the process's system
// calls.
func (s *Shim) receiveListener() (int, error) {
	data, rights := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	for {
		_, size, _, _, err := syscall.Recvmsg(int(s.socket.Fd()), data, rights, syscall.MSG_CMSG_CLOEXEC)
		if err == syscall.EINTR {
			continue
		} else if err != nil {
			return -1, err
		}
		messages, err := syscall.ParseSocketControlMessage(rights[:size])
		if err != nil || len(messages) != 1 {
			return -1, fmt.Errorf("process has not loaded the shim: %v", err)
		}
		descriptors, err := syscall.ParseUnixRights(&messages[0])
		if err != nil || len(descriptors) != 1 {
			return -1, fmt.Errorf("shim has sent no descriptor: %v", err)
		}
		return descriptors[0], nil
	}
}

// notification is the kernel's struct seccomp_notif; see seccomp_unotify(2).
type notification struct {
	id     uint64
	pid    uint32
	flags  uint32
	number int32
	arch   uint32
	ip     uint64
	args   [6]uint64
}

// response is the kernel's struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	error int32
	flags uint32
}

// Constants of seccomp_unotify(2).
const (
	notifyReceive  = 0xc0502100 // SECCOMP_IOCTL_NOTIF_RECV
	notifySend     = 0xc0182101 // SECCOMP_IOCTL_NOTIF_SEND
	notifyContinue = 1          // SECCOMP_USER_NOTIF_FLAG_CONTINUE
)

// answerCall receives the notification of one system call, and lets the call continue or fail.
func (s *Shim) answerCall(listener int) error {
	var call notification
	if err := ioctl(listener, notifyReceive, unsafe.Pointer(&call)); err != nil {
		return err
	}
	reply := response{id: call.id, flags: notifyContinue}
	if errno := s.selectError(Call(call.number)); errno != 0 {
		s.FailedCalls.Add(1)
		reply = response{id: call.id, error: -int32(errno)}
	}
	return ioctl(listener, notifySend, unsafe.Pointer(&reply))
}

func ioctl(descriptor int, request uintptr, argument unsafe.Pointer) error {
	_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(descriptor), request, uintptr(argument))
	if errno != 0 {
		return errno
	}
	return nil
}

// selectError returns the error with which a call fails, or 0 if it does not fail.
func (s *Shim) selectError(call Call) syscall.Errno {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() >= s.probability[call] {
		return 0
	}
	errnos := TransientErrors[call]
	return errnos[s.rng.IntN(len(errnos))]
}

// SetFailureProbability sets the probability, from 0 to 1, that a system call of the process fails.
func (s *Shim) SetFailureProbability(call Call, probability float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probability[call] = probability
}

// SetClockOffset sets the offset of the process's wall clock. The monotonic clock is not affected.
func (s *Shim) SetClockOffset(offset time.Duration) {
	atomic.StoreInt64((*int64)(unsafe.Pointer(&s.offset[0])), int64(offset))
}

// ClockOffset returns the offset of the process's wall clock.
func (s *Shim) ClockOffset() time.Duration {
	return time.Duration(binary.NativeEndian.Uint64(s.offset))
}
