// Package shim puts faults of the machine under real processes of the program: a wall clock that is stepped, and system calls that
// fail. A small library, compiled when it is first wanted, is loaded into each process by LD_PRELOAD; nothing else on the machine is touched, and no special rights are needed.
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
)

//go:embed preload/shim.c
var source []byte

// Library is the compiled library, a file in a folder of its own.
type Library struct{ dir string }

// Build compiles the library with the C compiler that the program's build needs too.
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
	if out, err := exec.Command("cc", "-shared", "-fPIC", "-O1", "-o", l.path(), file).CombinedOutput(); err != nil {
		l.Remove()
		return nil, fmt.Errorf("the shim is not compiled: %w: %s", err, out)
	}
	return l, nil
}

func (l *Library) path() string { return filepath.Join(l.dir, "shim.so") }

// Remove deletes the file. Processes that have loaded it are not affected.
func (l *Library) Remove() { os.RemoveAll(l.dir) }

// Call is a system call that may be made to fail.
type Call int

// The calls, by their numbers on x86-64.
const (
	Accept  Call = syscall.SYS_ACCEPT4
	Socket  Call = syscall.SYS_SOCKET
	Connect Call = syscall.SYS_CONNECT
)

// Errors are what a call may fail with for a moment, by its page in the manual.
var Errors = map[Call][]syscall.Errno{
	Accept: {syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM,
		syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EINTR},
	Socket: {syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM},
	Connect: {syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
		syscall.EAGAIN},
}

// Shim is what is under one process. Its methods may be called from any goroutine.
type Shim struct {
	clock  *os.File // the offset of the wall clock, which the process has mapped
	offset []byte
	shared *os.File // the process's end of the way by which its filter's descriptor comes
	own    *os.File

	mu     sync.Mutex
	rng    *rand.Rand
	chance map[Call]float64

	Failed atomic.Int64 // calls that were made to fail
}

// New makes one for a process that is started soon.
func (l *Library) New(seed uint64) (*Shim, error) {
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	s := &Shim{own: os.NewFile(uintptr(ends[0]), "shim"), shared: os.NewFile(uintptr(ends[1]), "shim"),
		rng: rand.New(rand.NewPCG(seed, 2)), chance: map[Call]float64{}}
	if s.clock, err = os.CreateTemp(l.dir, "clock"); err == nil {
		os.Remove(s.clock.Name())
		if err = s.clock.Truncate(8); err == nil {
			s.offset, err = syscall.Mmap(int(s.clock.Fd()), 0, 8, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
		}
	}
	if err != nil {
		s.closeShared()
		s.own.Close()
		return nil, err
	}
	return s, nil
}

// Prepare has a command that was not started yet load the library. Its first extra file, descriptor 3, is its own.
func (l *Library) Prepare(s *Shim, cmd *exec.Cmd) {
	cmd.ExtraFiles = append(cmd.ExtraFiles[:1:1], s.clock, s.shared) // descriptors 4 and 5: see preload/shim.c
	cmd.Env = append(cmd.Env, "LD_PRELOAD="+l.path())
}

// Serve answers the process's system calls until it ends. It is called once the process has started.
func (s *Shim) Serve() error {
	s.closeShared()
	defer s.own.Close()
	listener, err := s.receive()
	if err != nil {
		return err
	}
	defer syscall.Close(listener)
	for {
		switch err := s.answer(listener); {
		case err == nil, errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.ENOENT): // a call was interrupted and comes again, or the process has ended
			if hungUp(listener) {
				return nil
			}
		default:
			return err
		}
	}
}

// hungUp tells whether no process has the filter any more.
func hungUp(listener int) bool {
	const pollHangUp = 0x10
	p := struct {
		fd              int32
		events, revents int16
	}{fd: int32(listener)}
	_, _, errno := syscall.Syscall(syscall.SYS_POLL, uintptr(unsafe.Pointer(&p)), 1, 0)
	return errno == 0 && p.revents&pollHangUp != 0
}

func (s *Shim) closeShared() {
	s.shared.Close()
	if s.clock != nil {
		s.clock.Close()
	}
}

// receive gets the descriptor on which the process's calls come.
func (s *Shim) receive() (int, error) {
	text, rights := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	for {
		_, n, _, _, err := syscall.Recvmsg(int(s.own.Fd()), text, rights, syscall.MSG_CMSG_CLOEXEC)
		if err == syscall.EINTR {
			continue
		} else if err != nil {
			return -1, err
		}
		messages, err := syscall.ParseSocketControlMessage(rights[:n])
		if err != nil || len(messages) != 1 {
			return -1, fmt.Errorf("the process has not loaded the shim: %v", err)
		}
		descriptors, err := syscall.ParseUnixRights(&messages[0])
		if err != nil || len(descriptors) != 1 {
			return -1, fmt.Errorf("the shim sent no descriptor: %v", err)
		}
		return descriptors[0], nil
	}
}

// notification and response are the kernel's struct seccomp_notif and seccomp_notif_resp (seccomp_unotify(2)).
type notification struct {
	id     uint64
	pid    uint32
	flags  uint32
	number int32
	arch   uint32
	ip     uint64
	args   [6]uint64
}

type response struct {
	id    uint64
	value int64
	error int32
	flags uint32
}

const (
	notifyReceive  = 0xc0502100 // SECCOMP_IOCTL_NOTIF_RECV
	notifySend     = 0xc0182101 // SECCOMP_IOCTL_NOTIF_SEND
	notifyContinue = 1          // SECCOMP_USER_NOTIF_FLAG_CONTINUE
)

// answer lets one call go on, or fail.
func (s *Shim) answer(listener int) error {
	var n notification
	if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(listener), notifyReceive, uintptr(unsafe.Pointer(&n))); errno != 0 {
		return errno
	}
	r := response{id: n.id, flags: notifyContinue}
	if errno := s.draw(Call(n.number)); errno != 0 {
		s.Failed.Add(1)
		r = response{id: n.id, error: -int32(errno)}
	}
	if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(listener), notifySend, uintptr(unsafe.Pointer(&r))); errno != 0 {
		return errno
	}
	return nil
}

func (s *Shim) draw(call Call) syscall.Errno {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() >= s.chance[call] {
		return 0
	}
	all := Errors[call]
	return all[s.rng.IntN(len(all))]
}

// Fail has a system call of the process fail by chance from now on: 0 for never, 1 for always.
func (s *Shim) Fail(call Call, chance float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chance[call] = chance
}

// Step has the process's wall clock be off by so much from now on. The monotonic clock runs on.
func (s *Shim) Step(off time.Duration) {
	atomic.StoreInt64((*int64)(unsafe.Pointer(&s.offset[0])), int64(off))
}

// Offset is by how much the process's wall clock is off.
func (s *Shim) Offset() time.Duration { return time.Duration(binary.NativeEndian.Uint64(s.offset)) }
