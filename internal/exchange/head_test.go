package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"brassmux/internal/lines"
)

func TestWithTimeoutReplacesOnlyTimeout(t *testing.T) {
	const line = "OPEN 9b1f03aa 7f3a9c21 c=chat,t=acme,d=2000,g=5c0f,r=1,h=0.5,new=x\r\n"
	head, err := ParseHead([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	if string(head.ID) != "9b1f03aa" || string(head.Key) != "7f3a9c21" || string(head.Class) != "chat" ||
		string(head.Group) != "5c0f" || !head.IsRepeat || head.Timeout != 2*time.Second || head.PreviousServer != nil {
		t.Errorf("parsed as %+v", head)
	}
	for timeout, want := range map[time.Duration]string{
		1234567 * time.Microsecond: "d=1234,", 0: "d=1,", -time.Second: "d=1,", 12 * time.Second: "d=12000,",
	} {
		var out bytes.Buffer
		buffers := head.WithTimeout(timeout)
		buffers.WriteTo(&out)
		if got, want := out.String(), strings.Replace(line, "d=2000,", want, 1); got != want {
			t.Errorf("timeout %v: got %q, want %q", timeout, got, want)
		}
	}
}

// The first line of a reconnect names the previous server, and has its attributes in another order than that of a new
// request.
func TestParseHeadOfReconnect(t *testing.T) {
	head, err := ParseHead([]byte("OPEN a b d=500,at=s-5be2a07c,c=chat,again=1\r\n"))
	if err != nil || string(head.PreviousServer) != "s-5be2a07c" || !head.IsRepeat {
		t.Fatalf("got %+v, %v", head, err)
	}
	var out bytes.Buffer
	buffers := head.WithTimeout(time.Second)
	buffers.WriteTo(&out)
	if got := out.String(); got != "OPEN a b d=1000,at=s-5be2a07c,c=chat,again=1\r\n" {
		t.Errorf("got %q", got)
	}
}

func TestParseHeadRejectsInvalidLines(t *testing.T) {
	for line, want := range map[string]error{
		"GET / HTTP/1.1\r\n":                                  ErrUnknown,
		"\r\n":                                                ErrUnknown,
		"STATS\r\n":                                           ErrUnknown,
		"OPENED a b c=d,d=1\r\n":                              ErrUnknown,
		"open a b c=d,d=1\r\n":                                ErrUnknown,
		"OPEN\r\n":                                            ErrMalformed,
		"OPEN a b\r\n":                                        ErrMalformed,
		"OPEN a b c=d,d=1 more\r\n":                           ErrMalformed,
		"OPEN  b c=d,d=1\r\n":                                 ErrMalformed,
		"OPEN a  c=d,d=1\r\n":                                 ErrMalformed,
		"OPEN a b c=d,d=1\n":                                  ErrMalformed, // servers require CRLF
		"OPEN a b c=d,d=1\r\r\n":                              ErrMalformed,
		"OPEN a b c=d,d=1,x=\x00\r\n":                         ErrMalformed,
		"OPEN a b c=d\r\n":                                    ErrMalformed, // no timeout
		"OPEN a b d=100\r\n":                                  ErrMalformed, // no class
		"OPEN a b c=,d=100\r\n":                               ErrMalformed,
		"OPEN a b c=d,d=100,d=200\r\n":                        ErrMalformed,
		"OPEN a b c=d,d=0\r\n":                                ErrMalformed,
		"OPEN a b c=d,d=-0\r\n":                               ErrMalformed,
		"OPEN a b c=d,d=+5\r\n":                               ErrMalformed,
		"OPEN a b c=d,d=0x1p3\r\n":                            ErrMalformed,
		"OPEN a b c=d,d=1_0\r\n":                              ErrMalformed,
		"OPEN a b c=d,d=soon\r\n":                             ErrMalformed,
		"OPEN a b c=d,d=\r\n":                                 ErrMalformed,
		"OPEN a b c=d,c=d,d=5\r\n":                            ErrMalformed, // duplicate attribute
		"OPEN a b c=d,d=5,x=1,x=2\r\n":                        ErrMalformed,
		"OPEN a b c=d,d=5,=1\r\n":                             ErrMalformed,
		"OPEN a b c=d,d=5,h=-1\r\n":                           ErrMalformed,
		"OPEN a b c=d,d=5,h=Inf\r\n":                          ErrMalformed,
		"OPEN a b c=d,d=5,r=maybe\r\n":                        ErrMalformed,
		"OPEN a b c=d,d=5,t=\xff\r\n":                         ErrMalformed, // invalid UTF-8
		"OPEN a b c=d,d=5,t=a\tb\r\n":                         ErrMalformed,
		"OPEN " + strings.Repeat("a", 200) + " b c=d,d=5\r\n": ErrMalformed,
		"OPEN a b c=d,d=-5\r\n":                               ErrMalformed,
		"OPEN a b c=d,d=NaN\r\n":                              ErrMalformed,
		"OPEN a b c=d,d=1e300\r\n":                            ErrMalformed,
		"OPEN a b c=d,d=99999999999999\r\n":                   ErrMalformed,
		"OPEN a b c=d,,d=100\r\n":                             ErrMalformed,
		"OPEN a b c=d,d=10x\r\n":                              ErrMalformed,
		"OPEN a b c=d,d\r\n":                                  ErrMalformed,
		"OPEN a b \r\n":                                       ErrMalformed,
		strings.Repeat("OPEN ", 900) + "\r\n":                 ErrMalformed,
		"OPEN a b " + strings.Repeat(",", 4000):               ErrMalformed,
	} {
		if head, err := ParseHead([]byte(line)); !errors.Is(err, want) {
			t.Errorf("%.40q: got %+v, %v, want %v", line, head, err, want)
		}
	}
}

// FuzzHead checks that a valid first line remains valid, and keeps its attributes, with any other timeout.
func FuzzHead(f *testing.F) {
	f.Add([]byte("OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f\r\n"), int64(1500))
	f.Add([]byte("OPEN a b d=1,at=x\r\n"), int64(-1))
	f.Fuzz(func(t *testing.T, line []byte, ms int64) {
		head, err := ParseHead(bytes.Clone(line))
		if err != nil {
			return
		}
		var out bytes.Buffer
		buffers := head.WithTimeout(time.Duration(ms) * time.Millisecond)
		buffers.WriteTo(&out)
		got, err := ParseHead(out.Bytes())
		if err != nil || !bytes.Equal(got.ID, head.ID) || !bytes.Equal(got.Key, head.Key) ||
			!bytes.Equal(got.Class, head.Class) || !bytes.Equal(got.Group, head.Group) ||
			got.IsRepeat != head.IsRepeat {
			t.Errorf("%q became %q (%v)", line, out.Bytes(), err)
		}
	})
}

// manyAttributes returns a first line with a number of further attributes, whose names have a length of 1 to 3 bytes.
func manyAttributes(count int) []byte {
	line := []byte("OPEN id key c=chat,d=2000")
	for i := range count {
		line = fmt.Appendf(line, ",%s=1", strconv.FormatInt(int64(i), 36)+"-")
	}
	return append(line, "\r\n"...)
}

// Guards against memory that grows with the number of attributes: many clients at once that send very many short ones
// exceeded the limit of a small machine.
func TestParseHeadWithManyAttributesAllocatesLittle(t *testing.T) {
	const attributes, rounds, maxBytes = 540, 200, 1 << 10
	line := manyAttributes(attributes)
	if len(line) > lines.MaxLength {
		t.Fatalf("%d bytes", len(line))
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range rounds {
		if _, err := ParseHead(line); err != nil {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if perHead := (after.TotalAlloc - before.TotalAlloc) / rounds; perHead > maxBytes {
		t.Errorf("%d bytes for a line with %d attributes, want at most %d", perHead, attributes, maxBytes)
	}
}

// Guards against an attribute that is given twice and accepted, or given once and rejected, among any number of others.
func TestParseHeadFindsRepeatedAttribute(t *testing.T) {
	for _, count := range []int{0, 1, 10, 540} {
		line := bytes.TrimSuffix(manyAttributes(count), []byte("\r\n"))
		for repeated, want := range map[string]error{"": nil, ",zz-=1": nil, ",z=1": nil, ",c=chat": ErrMalformed,
			",d=1": ErrMalformed} {
			if _, err := ParseHead(fmt.Appendf(nil, "%s%s\r\n", line, repeated)); err != want {
				t.Errorf("%d attributes and %q: %v, want %v", count, repeated, err, want)
			}
		}
		for i := range min(count, 300) {
			repeated := strconv.FormatInt(int64(i), 36) + "-"
			if _, err := ParseHead(fmt.Appendf(nil, "%s,%s=2\r\n", line, repeated)); err != ErrMalformed {
				t.Fatalf("%d attributes and %s again: %v", count, repeated, err)
			}
		}
	}
	full := []byte("OPEN i k c=x,d=1")
	for i := 0; len(full) < lines.MaxLength-8; i++ {
		full = fmt.Appendf(full, ",%c=", rune(0x100+i))
	}
	if _, err := ParseHead(append(full, "\r\n"...)); err != nil {
		t.Errorf("a line full of attributes: %v", err)
	}
}
