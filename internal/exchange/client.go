package exchange

import (
	"errors"
	"io"
	"os"
	"time"

	"brassmux/internal/lines"
)

// RelayClient relays the client's lines, and returns when both connections are closed: a client that has closed its
// sending side may still receive lines. The client's goroutine calls it once, after New or NewInherited.
func (x *Exchange) RelayClient() {
	x.relayClientLines()
	x.release()
	<-x.ended
}

// relayClientLines reads from the client until its connection ends or another process continues it.
func (x *Exchange) relayClientLines() {
	flow := x.limits.Pacer.NewFlow()
	for drainedBytes := 0; ; {
		flow.Await()
		line, transferred, err := x.readClientLine()
		if transferred {
			return
		}
		if errors.Is(err, lines.ErrTooLong) && x.rejectEarlyLines() {
			line, err = x.client.TakeBuffered(), nil
		}
		if err != nil || drainedBytes > MaxDrainBytes {
			x.handleClientEnd(err)
			return
		}
		if !x.bufferEarlyLine(line) && !x.sendToServer(line) {
			drainedBytes += len(line)
		}
	}
}

// readClientLine reads the client's next line, and pauses during handovers. transferred is true if another process
// continues the connection. A timeout error means that the client has not closed its connection in time after its final
// answer or the end of the server's connection.
func (x *Exchange) readClientLine() (line []byte, transferred bool, err error) {
	for {
		line, err = x.client.ReadLine()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return line, false, err
		}
		transferred, paused := x.pauseForHandover()
		if transferred || !paused && !x.isOpen() {
			return nil, transferred, err
		}
	}
}

// sendToServer sends a client line to the server, after the client's early lines. It returns false if no more lines are
// sent to the server: the line was read only so that the connection closes without a reset.
func (x *Exchange) sendToServer(line []byte) bool {
	<-x.answered
	x.mu.Lock()
	server, properties := x.server, propertiesOf[x.state]
	if !properties.relaysClientLines {
		x.mu.Unlock()
		return false
	}
	if len(x.pendingSentAt) < maxPendingMessages {
		x.pendingSentAt = append(x.pendingSentAt, time.Now())
	}
	if len(x.pendingSentAt) == 1 && !properties.moveRequested && x.handover == nil {
		server.SetReadDeadline(x.pendingSentAt[0].Add(x.limits.LateReportInterval))
	}
	x.mu.Unlock()
	if _, err := server.Write(line); err == nil { // otherwise the attempt's goroutine ends the exchange
		x.linesToServer.Add(1)
	}
	return true
}

// bufferEarlyLine buffers a line that the client sends before its answer. It reports whether the line was buffered. The
// client's goroutine continues to read before the answer so that it detects when the client disconnects.
func (x *Exchange) bufferEarlyLine(line []byte) bool {
	x.mu.Lock()
	awaitsAnswer, fits := propertiesOf[x.state].awaitsAnswer, len(x.earlyLines)+len(line) <= maxEarlyBytes
	if awaitsAnswer && fits {
		x.earlyLines = append(x.earlyLines, line...)
	}
	x.mu.Unlock()
	if awaitsAnswer && !fits {
		x.rejectEarlyLines()
	}
	return awaitsAnswer && fits
}

// rejectEarlyLines answers a client that has sent more than maxEarlyBytes, or too long a line, before its answer. It
// waits until the client has an answer, and reports whether that answer is the node's rather than a server's.
func (x *Exchange) rejectEarlyLines() bool {
	if x.Answer(WroteEarly, "ERR too much before the answer") {
		x.observer.ClientLeft(x)
	}
	<-x.answered
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state == stateClosed && x.server == nil
}

// handleClientLeft ends an exchange whose client has disconnected before its answer. It returns false if the client no
// longer awaits an answer. A client has nothing to send before its answer, so one that closes only its sending side
// counts as disconnected too.
func (x *Exchange) handleClientLeft() bool {
	cancel, ended := x.endUnanswered(eventClientLeft, ClientLeft)
	if ended {
		if cancel != nil {
			cancel()
		}
		x.observer.ClientLeft(x)
	}
	return ended
}

// handleClientEnd ends the server's connection in the same way as the client's has ended: with a close of the sending
// side after EOF, and otherwise with a reset.
func (x *Exchange) handleClientEnd(err error) {
	if x.handleClientLeft() {
		return
	}
	x.mu.Lock()
	server := x.server
	if !propertiesOf[x.state].relaysClientLines {
		x.mu.Unlock()
		return
	}
	switch {
	case err == io.EOF:
		x.end(eventEnded, ClientEnded)
		x.mu.Unlock()
		if partialLine := x.client.TakeBuffered(); len(partialLine) > 0 {
			server.Write(partialLine)
		}
		server.CloseWrite()
		server.SetReadDeadline(time.Now().Add(x.limits.CloseTimeout))
		return
	case errors.Is(err, lines.ErrTooLong):
		x.end(eventEnded, LineTooLong)
	case errors.Is(err, os.ErrDeadlineExceeded): // the client did not close after the server had closed
	default:
		x.end(eventEnded, ClientReset)
	}
	x.mu.Unlock()
	server.Reset()
}
