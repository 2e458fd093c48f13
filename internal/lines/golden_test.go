package lines

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// testdata/lines.txt has for each line the results of TrimCRLF, TrimPrintable and FirstWord.
func TestGoldenLines(t *testing.T) {
	want, err := os.ReadFile("testdata/lines.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, line := range []string{
		"UP r-1\r\n", "BUSY\r\n", "bare\n", "\r\n", "", "no end", "a b c\r\r\n", "tab\tin it\r\n", "no text \xff\r\n",
		" leading\r\n", "MOVE ", "nul\x00\r\n", "Grüße allen\r\n",
	} {
		text, hasCRLF := TrimCRLF([]byte(line))
		printable, isPrintable := TrimPrintable([]byte(line))
		fmt.Fprintf(&got, "%q: %q %v %q %v %q\n", line, text, hasCRLF, printable, isPrintable, FirstWord([]byte(line)))
	}
	if got.String() != string(want) {
		t.Errorf("got\n%swant\n%s", got.String(), want)
	}
}
