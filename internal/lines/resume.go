package lines

import (
	"net"
	"net/textproto"
)

// Resume wraps a connection of which another process has read some bytes ahead: those come first.
func Resume(c *net.TCPConn, ahead []byte) *Conn {
	return &Conn{c, textproto.NewConn(&resumed{c, ahead})}
}

type resumed struct {
	*net.TCPConn
	ahead []byte
}

func (r *resumed) Read(p []byte) (int, error) {
	if len(r.ahead) == 0 {
		return r.TCPConn.Read(p)
	}
	n := copy(p, r.ahead)
	r.ahead = r.ahead[n:]
	return n, nil
}
