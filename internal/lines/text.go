package lines

import (
	"bytes"
	"unicode"
	"unicode/utf8"
)

// TrimCRLF returns a line without its CRLF. ok is false if the line does not end with CRLF.
func TrimCRLF(line []byte) (text []byte, ok bool) { return bytes.CutSuffix(line, []byte("\r\n")) }

// TrimPrintable returns a line without its CRLF. ok is false if the line does not end with CRLF, or if the text is not
// valid UTF-8 or contains control characters.
func TrimPrintable(line []byte) (text []byte, ok bool) {
	text, ok = TrimCRLF(line)
	return text, ok && utf8.Valid(text) && !bytes.ContainsFunc(text, unicode.IsControl)
}

// FirstWord returns the bytes of a line before its first space, or before its line ending if it has no space.
func FirstWord(line []byte) []byte {
	text := bytes.TrimRight(line, "\r\n")
	if blank := bytes.IndexByte(text, ' '); blank >= 0 {
		return text[:blank]
	}
	return text
}
