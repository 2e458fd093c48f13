package upgrade

import (
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxPathBytes leaves room for the process ID of a temporary name within the 108 bytes of a Unix socket's path.
const maxPathBytes = 100

// SocketPath returns the path of the Unix socket in dir for upgrades of the node that listens at listenAddr. It returns
// "" if dir is empty or the path would be too long for a socket.
func SocketPath(dir, listenAddr string) string {
	if dir == "" {
		return ""
	}
	path := filepath.Join(dir, "brassmux-"+strconv.FormatUint(xxhash.Sum64String(listenAddr), 16)+".sock")
	if len(path) > maxPathBytes {
		return ""
	}
	return path
}

// Listener accepts links from the successor.
type Listener struct{ listener *net.UnixListener }

// Listen listens at path. It replaces any earlier listener at path, which accepts no further links. Only processes of
// the same user can connect.
func Listen(path string) (*Listener, error) {
	temporary := path + "." + strconv.Itoa(os.Getpid())
	os.Remove(temporary) // left by an earlier process with the same ID
	listener, err := net.ListenUnix(socketNetwork, &net.UnixAddr{Name: temporary, Net: socketNetwork})
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
