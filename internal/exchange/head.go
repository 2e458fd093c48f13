package exchange

import (
	"bytes"
	"errors"
	"math"
	"net"
	"strconv"
	"time"

	"brassmux/internal/lines"
)

// Head is a client's first line, parsed in place: its parts are slices of the line.
type Head struct {
	line             []byte // with its end
	ID, Key          []byte
	Class            []byte
	Group            []byte
	PreviousServer   []byte        // the server of a connection that the client had before; nil for none
	IsRepeat         bool          // the client repeats the request, or reconnects
	Timeout          time.Duration // how long the client waits for its answer, from sending the line
	waitFrom, waitTo int           // where the wait is in the line
}

// The errors of ParseHead. Their texts are what the client is told.
var (
	ErrUnknown   = errors.New("unknown request")
	ErrMalformed = errors.New("malformed request")
)

const (
	maxWait       = 24 * time.Hour
	maxTokenBytes = 128 // of an ID and a key
	fieldCount    = 4   // of a first line: OPEN, ID, key and attributes
)

// ParseHead parses a line with its end; the head keeps the line. It accepts only what a server can read: a server's
// answer to another line would count as its failure. The error is ErrUnknown or ErrMalformed.
func ParseHead(line []byte) (*Head, error) {
	text, ok := lines.TrimPrintable(line)
	if string(lines.FirstWord(line)) != "OPEN" {
		return nil, ErrUnknown
	} else if !ok {
		return nil, ErrMalformed
	}
	fields := bytes.Split(text, []byte(" "))
	if len(fields) != fieldCount || !isToken(fields[1]) || !isToken(fields[2]) {
		return nil, ErrMalformed
	}
	h := &Head{line: line, ID: fields[1], Key: fields[2]}
	offset := len(text) - len(fields[3])
	seen := map[string]bool{}
	for pair := range bytes.SplitSeq(fields[3], []byte(",")) {
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || len(name) == 0 || seen[string(name)] {
			return nil, ErrMalformed
		}
		seen[string(name)] = true
		if !h.setAttribute(string(name), value, offset+len(name)+1) {
			return nil, ErrMalformed
		}
		offset += len(pair) + 1
	}
	if h.waitTo == 0 || len(h.Class) == 0 {
		return nil, ErrMalformed
	}
	return h, nil
}

// setAttribute sets an attribute whose value is at an offset in the line; false for an invalid value. Unknown
// attributes are for the server.
func (h *Head) setAttribute(name string, value []byte, offset int) bool {
	switch name {
	case "c":
		h.Class = value
	case "g":
		h.Group = value
	case "at":
		h.PreviousServer = value
	case "r", "again":
		if string(value) != "0" && string(value) != "1" {
			return false
		}
		h.IsRepeat = h.IsRepeat || string(value) == "1"
	case "h":
		_, ok := parseNumber(value)
		return ok
	case "d":
		ms, ok := parseNumber(value)
		if !ok || !(ms > 0 && ms <= float64(maxWait.Milliseconds())) {
			return false
		}
		h.Timeout = time.Duration(ms * float64(time.Millisecond))
		h.waitFrom, h.waitTo = offset, offset+len(value)
	}
	return true
}

// isToken reports whether text can be an ID or a key.
func isToken(text []byte) bool { return len(text) > 0 && len(text) <= maxTokenBytes }

// parseNumber parses a decimal number that is not negative; neither a hexadecimal one nor a word such as inf.
func parseNumber(text []byte) (float64, bool) {
	if len(bytes.Trim(text, "0123456789.e-+")) > 0 || bytes.HasPrefix(text, []byte("+")) {
		return 0, false
	}
	n, err := strconv.ParseFloat(string(text), 64)
	return n, err == nil && n >= 0 && !math.Signbit(n)
}

// WithTimeout returns the line with another timeout, in whole milliseconds of at least 1, for one vectored write.
func (h *Head) WithTimeout(wait time.Duration) net.Buffers {
	ms := strconv.AppendInt(nil, max(wait.Milliseconds(), 1), 10)
	return net.Buffers{h.line[:h.waitFrom], ms, h.line[h.waitTo:]}
}
