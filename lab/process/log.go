package process

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"strings"
)

const (
	maxLogLines   = 400     // maximum number of stored lines
	maxCrashLines = 60      // maximum number of stored lines of a crash report
	maxLineBytes  = 1 << 20 // maximum length of a line; the log is discarded from a longer line on
	excerptLines  = 5       // number of lines in an excerpt without a match
)

// readLog reads the log until it ends, and waits while it is paused. It stores the last lines, the crash report, the
// address and the counters.
func (p *Process) readLog(log io.Reader, handle LogHandler) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		p.waitWhileLogPaused()
		var line map[string]any
		json.Unmarshal(scanner.Bytes(), &line)
		p.mu.Lock()
		p.keepLine(scanner.Text(), line == nil)
		p.applyLine(line)
		p.mu.Unlock()
		handle(p, line)
	}
	io.Copy(io.Discard, log)
}

// keepLine stores a line for excerpts and, from the beginning of a crash report, for Crash. p.mu must be held.
func (p *Process) keepLine(text string, notJSON bool) {
	if len(p.crashLines) > 0 || notJSON && beginsCrash(text) {
		if len(p.crashLines) < maxCrashLines {
			p.crashLines = append(p.crashLines, text)
		}
	}
	if p.lastLines = append(p.lastLines, text); len(p.lastLines) > maxLogLines {
		p.lastLines = append([]string{p.lastLines[0]}, p.lastLines[len(p.lastLines)-maxLogLines/2:]...)
	}
}

// applyLine updates the state of the process from a line of the log. p.mu must be held.
func (p *Process) applyLine(line map[string]any) {
	switch line["msg"] {
	case "serving":
		p.addr, _ = line["listen"].(string)
		p.serving = true
		close(p.Listening)
	case "counters", "stopped":
		p.counters = map[string]float64{}
		for name, value := range line {
			if number, ok := value.(float64); ok {
				p.counters[name] = number
			}
		}
	}
}

// beginsCrash reports whether a line that is not JSON is the first line of the Go runtime's report of a crash or data
// race.
func beginsCrash(line string) bool {
	for _, prefix := range []string{"panic: ", "fatal error: ", "WARNING: DATA RACE", "SIG"} {
		if strings.HasPrefix(line, prefix) {
			return true
		}
	}
	return false
}

// Crash returns the first maxCrashLines lines of the Go runtime's report of a crash or data race, or "" if there is
// none.
func (p *Process) Crash() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.crashLines, "\n")
}

// PauseLog pauses the reading of the log, so that the pipe fills, or ends a pause. Pauses may overlap; reading resumes
// when all have ended.
func (p *Process) PauseLog(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case paused:
		if p.logPauses++; p.logPauses == 1 {
			p.logResumed = make(chan struct{})
		}
	case p.logPauses > 0:
		if p.logPauses--; p.logPauses == 0 {
			close(p.logResumed)
		}
	}
}

func (p *Process) waitWhileLogPaused() {
	p.mu.Lock()
	resumed, pauses := p.logResumed, p.logPauses
	p.mu.Unlock()
	if pauses > 0 {
		<-resumed
	}
}

// LogExcerpt returns the stored lines that contain a request ID. If there are none, or requestID is "", it returns the
// last excerptLines lines.
func (p *Process) LogExcerpt(requestID string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var matches []string
	for _, line := range p.lastLines {
		if requestID != "" && strings.Contains(line, requestID) {
			matches = append(matches, line)
		}
	}
	if len(matches) == 0 {
		matches = p.lastLines[max(len(p.lastLines)-excerptLines, 0):]
	}
	return fmt.Sprintf("node %d:\n  %s", p.Node, strings.Join(matches, "\n  "))
}

// Counters returns the last logged counters, or nil if none were logged.
func (p *Process) Counters() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counters)
}

// CountersSettled reports whether the process has logged its counters, or is not serving and may never log them.
func (p *Process) CountersSettled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters != nil || !p.serving
}
