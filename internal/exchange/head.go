package exchange

import (
	"bytes"
	"errors"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"brassmux/internal/lines"
)

// Head is a client's first line, parsed in place: its byte fields are slices of the line.
type Head struct {
	line                     []byte // including CRLF
	ID, Key                  []byte
	Class                    []byte
	Group                    []byte
	PreviousServer           []byte        // server of the client's previous connection; nil for none
	IsRepeat                 bool          // the client repeats the request, or reconnects
	Timeout                  time.Duration // time that the client waits for its answer after it has sent the line
	timeoutStart, timeoutEnd int           // position of the timeout in the line
}

// Errors of ParseHead. Their texts are sent to the client.
var (
	ErrUnknown   = errors.New("unknown request")
	ErrMalformed = errors.New("malformed request")
)

const (
	maxTimeout    = 24 * time.Hour
	maxTokenBytes = 128 // length of an ID or a key
	fieldCount    = 4   // of a first line: OPEN, ID, key and attributes
)

// ParseHead parses a first line, including its CRLF. The head refers to the line, which must not change. Lines that a
// server would reject as invalid are rejected, because a server's error answer to such a line would count as a failure
// of the server. The error is ErrUnknown or ErrMalformed.
func ParseHead(line []byte) (*Head, error) {
	text, ok := lines.TrimPrintable(line)
	if string(lines.FirstWord(line)) != "OPEN" {
		return nil, ErrUnknown
	} else if !ok || len(line) > lines.MaxLength {
		return nil, ErrMalformed
	}
	fields := bytes.Split(text, []byte(" "))
	if len(fields) != fieldCount || !isToken(fields[1]) || !isToken(fields[2]) {
		return nil, ErrMalformed
	}
	head := &Head{line: line, ID: fields[1], Key: fields[2]}
	offset := len(text) - len(fields[3])
	var names nameSet
	for pair := range bytes.SplitSeq(fields[3], []byte(",")) {
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || len(name) == 0 || !names.add(text, offset, len(name)) {
			return nil, ErrMalformed
		}
		if !head.setAttribute(string(name), value, offset+len(name)+1) {
			return nil, ErrMalformed
		}
		offset += len(pair) + 1
	}
	if head.timeoutEnd == 0 || len(head.Class) == 0 {
		return nil, ErrMalformed
	}
	return head, nil
}

// nameSetSize exceeds the number of attributes that fit in a line, so that a nameSet is never full.
const nameSetSize = lines.MaxLength / 2

// nameSet is a hash table of the attribute names in a line. It takes no memory beyond its own, so that lines with very
// many attributes cost no more than others.
type nameSet [nameSetSize]uint16 // offsets of names in the line, 0 for none: the first name follows the ID

// add adds the name of a length at an offset of text. It returns false if the set contains the name.
func (s *nameSet) add(text []byte, offset, length int) bool {
	name := text[offset : offset+length]
	for i := xxhash.Sum64(name); ; i++ {
		slot := &s[i%nameSetSize]
		if *slot == 0 {
			*slot = uint16(offset)
			return true
		}
		if other := text[*slot:]; len(other) > length && other[length] == '=' && bytes.Equal(other[:length], name) {
			return false
		}
	}
}

// setAttribute sets the attribute whose value begins at the offset in the line. It returns false for an invalid value.
// Unknown attributes are ignored, since the server may know them.
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
		if !ok || !(ms > 0 && ms <= float64(maxTimeout.Milliseconds())) {
			return false
		}
		h.Timeout = time.Duration(ms * float64(time.Millisecond))
		h.timeoutStart, h.timeoutEnd = offset, offset+len(value)
	}
	return true
}

// isToken reports whether text is valid as an ID or a key.
func isToken(text []byte) bool { return len(text) > 0 && len(text) <= maxTokenBytes }

// parseNumber parses a non-negative decimal number. It rejects hexadecimal numbers and words such as inf.
func parseNumber(text []byte) (float64, bool) {
	if len(bytes.Trim(text, "0123456789.e-+")) > 0 || bytes.HasPrefix(text, []byte("+")) {
		return 0, false
	}
	number, err := strconv.ParseFloat(string(text), 64)
	return number, err == nil && number >= 0 && !math.Signbit(number)
}

// WithTimeout returns the line with another timeout, in whole milliseconds but at least 1, as buffers for one vectored
// write.
func (h *Head) WithTimeout(timeout time.Duration) net.Buffers {
	ms := strconv.AppendInt(nil, max(timeout.Milliseconds(), 1), 10)
	return net.Buffers{h.line[:h.timeoutStart], ms, h.line[h.timeoutEnd:]}
}
