package exchange

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"time"

	"brassmux/internal/lines"
)

// Head is a client's first line, parsed in place: its parts are pieces of the line.
type Head struct {
	line     []byte // with its end
	ID, Key  []byte
	Class    []byte
	Group    []byte
	At       []byte        // the server that has held the connection, where it stood before
	Again    bool          // a repeat, or back after a break
	Wait     time.Duration // how long the client waits, from when it sent the line
	from, to int           // where the wait stands in the line
}

// The errors of ParseHead. Their texts are what the client is told.
var (
	ErrUnknown   = errors.New("unknown request")
	ErrMalformed = errors.New("malformed request")
)

const waitMost = 24 * time.Hour

// ParseHead reads a line with its end. The head keeps the line.
func ParseHead(line []byte) (*Head, error) {
	text, ok := lines.Text(line)
	if string(lines.Word(line)) != "OPEN" {
		return nil, ErrUnknown
	} else if !ok || bytes.ContainsAny(text, "\r\x00") {
		return nil, ErrMalformed
	}
	parts := bytes.Split(text, []byte(" "))
	if len(parts) != 4 || len(parts[1]) == 0 || len(parts[2]) == 0 {
		return nil, ErrMalformed
	}
	h := &Head{line: line, ID: parts[1], Key: parts[2]}
	at := len(text) - len(parts[3])
	for pair := range bytes.SplitSeq(parts[3], []byte(",")) {
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok {
			return nil, ErrMalformed
		}
		switch string(name) {
		case "c":
			h.Class = value
		case "g":
			h.Group = value
		case "at":
			h.At = value
		case "r", "again":
			h.Again = h.Again || string(value) == "1"
		case "d":
			ms, err := strconv.ParseFloat(string(value), 64)
			if err != nil || h.to > 0 || !(ms > 0 && ms <= float64(waitMost.Milliseconds())) {
				return nil, ErrMalformed
			}
			h.Wait = time.Duration(ms * float64(time.Millisecond))
			h.from, h.to = at+len(name)+1, at+len(pair)
		}
		at += len(pair) + 1
	}
	if h.to == 0 || len(h.Class) == 0 {
		return nil, ErrMalformed
	}
	return h, nil
}

// With gives the line with another wait, in whole milliseconds, ready for one gathered write.
func (h *Head) With(wait time.Duration) net.Buffers {
	ms := strconv.AppendInt(nil, max(wait.Milliseconds(), 1), 10)
	return net.Buffers{h.line[:h.from], ms, h.line[h.to:]}
}
