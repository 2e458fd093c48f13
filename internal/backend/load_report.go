package backend

import (
	"bytes"
	"math"
	"strconv"

	"brassmux/balance"
)

// ParseLoadReport parses the load report at the end of a server's line, a comma-separated list of name=value pairs. It
// returns nil if there is none. The utilisation is -1 if the report has no valid value for the configured field.
func (c *Client) ParseLoadReport(line []byte) *balance.LoadReport {
	text := bytes.TrimSpace(line)
	blank := bytes.LastIndexByte(text, ' ')
	if blank < 0 || !bytes.Contains(text[blank:], []byte("=")) {
		return nil
	}
	report := &balance.LoadReport{Utilisation: -1}
	for pair := range bytes.SplitSeq(text[blank+1:], []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		if string(name) != c.cfg.LoadField {
			continue
		}
		if load, err := strconv.ParseFloat(string(value), 64); err == nil && load >= 0 && !math.IsInf(load, 0) {
			report.Utilisation = load
		}
	}
	return report
}
