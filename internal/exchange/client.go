package exchange

import (
	"errors"
	"io"
	"os"
	"time"

	"brassmux/internal/lines"
)

// RelayClient relays what the client sends, and returns when both sides have ended: a client that has ended its sending
// may still be read to. The client's goroutine calls it once, after New.
func (x *Exchange) RelayClient() {
	x.readClient()
	x.endSide()
	<-x.ended
}

func (x *Exchange) readClient() {
	for drained := 0; ; {
		line, taken, err := x.readClientLine()
		if taken {
			return
		}
		if errors.Is(err, lines.ErrTooLong) && x.rejectEarlyLines() {
			line, err = x.client.TakeBuffered(), nil
		}
		if err != nil || drained > MaxDrainBytes {
			x.handleClientEnd(err)
			return
		}
		if !x.keepEarlyLine(line) && !x.sendToServer(line) {
			drained += len(line)
		}
	}
}

// readClientLine reads the next line of the client's, over the pauses of a hand-over. taken means that another process
// has the connection. A timeout is returned where the client has not closed after the server had.
func (x *Exchange) readClientLine() (line []byte, taken bool, err error) {
	for {
		line, err = x.client.ReadLine()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return line, false, err
		}
		taken, paused := x.pauseForHandOver()
		if taken || !paused && !x.isOpen() {
			return nil, taken, err
		}
	}
}

// sendToServer sends a line of the client's to the server, after its early lines. It returns false where the client has
// its final answer: the line is read only so that the connection closes without a reset.
func (x *Exchange) sendToServer(line []byte) bool {
	<-x.answered
	x.mu.Lock()
	server, now := x.server, owed[x.state]
	if !now.clientLines {
		x.mu.Unlock()
		return false
	}
	if len(x.pending) < maxPending {
		x.pending = append(x.pending, time.Now())
	}
	if len(x.pending) == 1 && !now.move && x.handOver == nil {
		server.SetReadDeadline(x.pending[0].Add(x.limits.LateReportInterval))
	}
	x.mu.Unlock()
	if _, err := server.Write(line); err == nil { // else the server's goroutine ends the exchange
		x.toServer.Add(1)
	}
	return true
}

// keepEarlyLine keeps a line that the client sends before its answer. The client's goroutine goes on reading, so that
// it notices when the client leaves.
func (x *Exchange) keepEarlyLine(line []byte) bool {
	x.mu.Lock()
	awaits, fits := owed[x.state].answer, len(x.early)+len(line) <= maxEarlyBytes
	if awaits && fits {
		x.early = append(x.early, line...)
	}
	x.mu.Unlock()
	if awaits && !fits {
		x.rejectEarlyLines()
	}
	return awaits && fits
}

// rejectEarlyLines answers a client that has sent more before its answer than is kept, and waits until it has an
// answer. It returns whether that is not a server's.
func (x *Exchange) rejectEarlyLines() bool {
	if x.Answer(WroteEarly, "ERR too much before the answer") {
		x.observer.ClientLeft(x)
	}
	<-x.answered
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state == stateClosed && x.server == nil
}

// leave ends an exchange whose client has left before its answer, once. A client has nothing to send before it: one
// that ends its sending has left like one that closes.
func (x *Exchange) leave() bool {
	cancel, first := x.settle(eventClientLeft, ClientLeft)
	if first {
		if cancel != nil {
			cancel()
		}
		x.observer.ClientLeft(x)
	}
	return first
}

// handleClientEnd ends the server's side the way the client's has ended.
func (x *Exchange) handleClientEnd(err error) {
	if x.leave() {
		return
	}
	x.mu.Lock()
	server := x.server
	if !owed[x.state].clientLines {
		x.mu.Unlock()
		return
	}
	switch {
	case err == io.EOF:
		x.end(eventEnded, ClientEnded)
		x.mu.Unlock()
		if partial := x.client.TakeBuffered(); len(partial) > 0 {
			server.Write(partial)
		}
		server.CloseWrite()
		server.SetReadDeadline(time.Now().Add(x.limits.CloseTimeout))
		return
	case errors.Is(err, lines.ErrTooLong):
		x.end(eventEnded, LineTooLong)
	case errors.Is(err, os.ErrDeadlineExceeded): // it did not close after the server had
	default:
		x.end(eventEnded, ClientReset)
	}
	x.mu.Unlock()
	server.Reset()
}
