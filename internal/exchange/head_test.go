package exchange

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

func TestHeadKeepsLineExceptWait(t *testing.T) {
	const line = "OPEN 9b1f03aa 7f3a9c21 c=chat,t=acme,d=2000,g=5c0f,r=1,h=0.5,new=x\r\n"
	h, err := ParseHead([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	if string(h.ID) != "9b1f03aa" || string(h.Key) != "7f3a9c21" || string(h.Class) != "chat" ||
		string(h.Group) != "5c0f" || !h.IsRepeat || h.Timeout != 2*time.Second || h.PreviousServer != nil {
		t.Errorf("read as %+v", h)
	}
	for wait, want := range map[time.Duration]string{
		1234567 * time.Microsecond: "d=1234,", 0: "d=1,", -time.Second: "d=1,", 12 * time.Second: "d=12000,",
	} {
		var out bytes.Buffer
		parts := h.WithTimeout(wait)
		parts.WriteTo(&out)
		if got, want := out.String(), strings.Replace(line, "d=2000,", want, 1); got != want {
			t.Errorf("wait %v: got %q, want %q", wait, got, want)
		}
	}
}

func TestHeadOfReconnect(t *testing.T) {
	h, err := ParseHead([]byte("OPEN a b d=500,at=s-5be2a07c,c=chat,again=1\r\n"))
	if err != nil || string(h.PreviousServer) != "s-5be2a07c" || !h.IsRepeat {
		t.Fatalf("got %+v, %v", h, err)
	}
	var out bytes.Buffer
	parts := h.WithTimeout(time.Second)
	parts.WriteTo(&out)
	if got := out.String(); got != "OPEN a b d=1000,at=s-5be2a07c,c=chat,again=1\r\n" {
		t.Errorf("got %q", got)
	}
}

func TestInvalidHeads(t *testing.T) {
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
		"OPEN a b c=d,d=1\n":                                  ErrMalformed, // hosts want CRLF
		"OPEN a b c=d,d=1\r\r\n":                              ErrMalformed,
		"OPEN a b c=d,d=1,x=\x00\r\n":                         ErrMalformed,
		"OPEN a b c=d\r\n":                                    ErrMalformed, // no wait
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
		"OPEN a b c=d,c=d,d=5\r\n":                            ErrMalformed, // a name twice
		"OPEN a b c=d,d=5,x=1,x=2\r\n":                        ErrMalformed,
		"OPEN a b c=d,d=5,=1\r\n":                             ErrMalformed,
		"OPEN a b c=d,d=5,h=-1\r\n":                           ErrMalformed,
		"OPEN a b c=d,d=5,h=Inf\r\n":                          ErrMalformed,
		"OPEN a b c=d,d=5,r=maybe\r\n":                        ErrMalformed,
		"OPEN a b c=d,d=5,t=\xff\r\n":                         ErrMalformed, // no text
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
		if h, err := ParseHead([]byte(line)); !errors.Is(err, want) {
			t.Errorf("%.40q: got %+v, %v, want %v", line, h, err, want)
		}
	}
}

func FuzzHead(f *testing.F) {
	f.Add([]byte("OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f\r\n"), int64(1500))
	f.Add([]byte("OPEN a b d=1,at=x\r\n"), int64(-1))
	f.Fuzz(func(t *testing.T, line []byte, ms int64) {
		h, err := ParseHead(bytes.Clone(line))
		if err != nil {
			return
		}
		var out bytes.Buffer
		parts := h.WithTimeout(time.Duration(ms) * time.Millisecond)
		parts.WriteTo(&out)
		got, err := ParseHead(out.Bytes())
		if err != nil || !bytes.Equal(got.ID, h.ID) || !bytes.Equal(got.Key, h.Key) ||
			!bytes.Equal(got.Class, h.Class) || !bytes.Equal(got.Group, h.Group) || got.IsRepeat != h.IsRepeat {
			t.Errorf("%q became %q (%v)", line, out.Bytes(), err)
		}
	})
}
