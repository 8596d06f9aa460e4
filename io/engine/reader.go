package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// Maximum sizes of a line and of an event in a stream. An event with the output of one prefill step is far smaller.
const (
	maxLineBytes  = 1 << 20
	maxEventBytes = 2 << 20
)

// event is one server-sent event.
type event struct {
	name string
	data []byte
}

// streamReader reads server-sent events of bounded size.
type streamReader struct {
	input *bufio.Reader
}

func newStreamReader(input io.Reader) *streamReader {
	return &streamReader{input: bufio.NewReader(input)}
}

// next returns the next event that has data. It returns io.EOF if the input ends between two events, and a StreamError
// if an event is incomplete or too long.
func (r *streamReader) next() (event, error) {
	var e event
	started := false
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) && !started && len(line) == 0 {
			return event{}, io.EOF
		}
		if errors.Is(err, io.EOF) {
			return event{}, StreamError{Fault: FaultTruncated, Cause: io.ErrUnexpectedEOF}
		}
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if e.data != nil {
				return e, nil
			}
			e, started = event{}, false
			continue
		}
		started = true
		if err := e.addLine(line); err != nil {
			return event{}, err
		}
	}
}

func (e *event) addLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		e.name = string(value)
	case "data":
		if len(e.data)+len(value)+1 > maxEventBytes {
			return StreamError{Fault: FaultEventTooLong}
		}
		if e.data == nil {
			e.data = make([]byte, 0, len(value))
		} else {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
	return nil
}

// readLine returns the next line without its line ending. At the end of the input it returns the remaining bytes and
// io.EOF.
func (r *streamReader) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := r.input.ReadSlice('\n')
		if len(line)+len(part) > maxLineBytes {
			return nil, StreamError{Fault: FaultLineTooLong}
		}
		line = append(line, part...)
		switch {
		case err == nil:
			line = line[:len(line)-1]
			return bytes.TrimSuffix(line, []byte("\r")), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return line, io.EOF
		default:
			return nil, StreamError{Fault: FaultTruncated, Cause: err}
		}
	}
}
