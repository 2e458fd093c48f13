package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"brassmux/internal/settings"
)

// Errors of invalid input. Read wraps them in a *LineError.
var (
	ErrTruncatedBatch = errors.New("the input ends within a batch")
	ErrTruncatedLine  = errors.New("the last line has no line feed")
	ErrNoTick         = errors.New("a batch must start with a TICK")
	ErrUnexpectedTick = errors.New("a TICK within a batch or without at_time_us")
	ErrUnknownMessage = errors.New("the line has no known message")
)

// OutcomeError reports an unknown outcome code of an attempt or a health check.
type OutcomeError struct{ Code int }

func (e *OutcomeError) Error() string { return fmt.Sprintf("unknown outcome: ending is %d", e.Code) }

// LineError reports invalid input with its line number, from 1.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the error of the line.
func (e *LineError) Unwrap() error { return e.Err }

const bufferSize = 1 << 16

// Reader decodes batches of events.
type Reader struct {
	in           *bufio.Reader
	line         int
	buffer       []byte
	reportFields map[int][]string // names of the values of a load report, by node
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, bufferSize), reportFields: map[int][]string{}}
}

// Read returns the next batch, or io.EOF if the input ends between two batches. Any other error is a *LineError.
func (r *Reader) Read() (Batch, error) {
	var batch Batch
	first, err := r.readMessage()
	if err == io.EOF {
		return batch, io.EOF
	}
	if err != nil {
		return batch, r.lineError(err)
	}
	switch {
	case first.Tick == nil:
		return batch, r.lineError(ErrNoTick)
	case first.Tick.NowMicros == nil:
		return batch, r.lineError(ErrUnexpectedTick)
	}
	batch.Now = settings.Microseconds(*first.Tick.NowMicros)
	return batch, r.readEvents(&batch)
}

// readEvents reads the events of a batch up to its COMMIT.
func (r *Reader) readEvents(batch *Batch) error {
	for {
		msg, err := r.readMessage()
		switch {
		case err == io.EOF:
			return r.lineError(ErrTruncatedBatch)
		case err != nil:
			return r.lineError(err)
		case msg.Tick != nil:
			return r.lineError(ErrUnexpectedTick)
		case msg.Commit != nil:
			return nil
		}
		event, err := r.event(msg)
		if err != nil {
			return r.lineError(err)
		}
		if event.Start != nil || event.Stop || event.Event != nil {
			batch.Events = append(batch.Events, event)
		}
	}
}

func (r *Reader) lineError(err error) error { return &LineError{Line: r.line, Err: err} }

// readMessage returns the message of the next line, or io.EOF.
func (r *Reader) readMessage() (*inputMessage, error) {
	data, err := r.readLine()
	if err != nil {
		return nil, err
	}
	msg := &inputMessage{}
	if err := json.Unmarshal(data, msg); err != nil {
		return nil, err
	}
	return msg, nil
}

// readLine returns the next line without surrounding white space. The result is valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	r.buffer = r.buffer[:0]
	for {
		chunk, err := r.in.ReadSlice('\n')
		r.buffer = append(r.buffer, chunk...)
		switch {
		case err == nil:
			r.line++
			return bytes.TrimSpace(r.buffer), nil
		case err == bufio.ErrBufferFull:
		case err == io.EOF && len(r.buffer) > 0:
			r.line++
			return nil, ErrTruncatedLine
		default:
			return nil, err
		}
	}
}
