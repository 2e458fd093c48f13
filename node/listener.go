package node

import (
	"net"
	"os"
	"syscall"

	"brassmux/internal/transient"
)

// listenTCP listens on an address. It retries for a while if the system is short of a resource, such as descriptors.
func listenTCP(addr string) (net.Listener, error) {
	return transient.RetryValue(func() (net.Listener, error) { return net.Listen("tcp", addr) })
}

// openListener returns the inherited listener if there is one, and otherwise listens on the configured address.
func (c *Config) openListener() (*net.TCPListener, error) {
	if c.ListenFD == 0 {
		listener, err := listenTCP(c.Listen)
		if err != nil {
			return nil, wrapConfigError("listen", err)
		}
		return listener.(*net.TCPListener), nil
	}
	return inheritedListener(c.ListenFD)
}

// inheritedListener returns a listener for an inherited descriptor, and closes the descriptor.
func inheritedListener(fd int) (*net.TCPListener, error) {
	isListening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || isListening == 0 {
		return nil, newEnvironmentError(listenFDVariable, err, ": descriptor %d is no listening socket", fd)
	}
	file := os.NewFile(uintptr(fd), listenFDVariable)
	defer file.Close() // net.FileListener duplicates the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, newEnvironmentError(listenFDVariable, err, ": descriptor %d: %v", fd, err)
	}
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		listener.Close()
		return nil, newEnvironmentError(listenFDVariable, nil, ": descriptor %d is not a TCP socket", fd)
	}
	return tcpListener, nil
}
