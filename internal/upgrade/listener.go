package upgrade

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxAddressBytes is the maximum length of a path in the address of a Unix socket.
const maxAddressBytes = 107

// SocketPath returns the path of the Unix socket in dir for upgrades of the node that listens at listenAddr. It returns
// "" if dir is empty.
func SocketPath(dir, listenAddr string) string {
	if dir == "" {
		return ""
	}
	return filepath.Join(dir, "brassmux-"+strconv.FormatUint(xxhash.Sum64String(listenAddr), 16)+".sock")
}

// withAddress calls use with an address of the Unix socket at path. A path of any length is possible: if it is too long
// for an address, the address names the directory by a descriptor, which is open until use returns.
func withAddress(path string, use func(*net.UnixAddr) error) error {
	if len(path) <= maxAddressBytes {
		return use(&net.UnixAddr{Name: path, Net: socketNetwork})
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	name := fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return use(&net.UnixAddr{Name: name, Net: socketNetwork})
}

// Listener accepts links from the successor.
type Listener struct{ listener *net.UnixListener }

// Listen listens at path. It replaces any earlier listener at path, which accepts no further links. Only processes of
// the same user can connect.
func Listen(path string) (*Listener, error) {
	temporary := path + "." + strconv.Itoa(os.Getpid())
	os.Remove(temporary) // left by an earlier process with the same ID
	var listener *net.UnixListener
	err := withAddress(temporary, func(addr *net.UnixAddr) (err error) {
		listener, err = net.ListenUnix(socketNetwork, addr)
		return err
	})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // the successor may have replaced the file by then
	if err = os.Chmod(temporary, 0o600); err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		os.Remove(temporary)
		listener.Close()
		return nil, err
	}
	return &Listener{listener}, nil
}

// Accept waits for a successor. It returns a *UserError for a process of another user, after which it can be called
// again. After Close it returns net.ErrClosed.
func (l *Listener) Accept() (*Link, error) {
	conn, err := l.listener.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return newLink(conn)
}

// Close stops listening. It leaves the socket file in place, since the successor may have replaced it.
func (l *Listener) Close() { l.listener.Close() }
