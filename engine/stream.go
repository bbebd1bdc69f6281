package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxEventBytes bounds the size of one event of an event stream.
const MaxEventBytes = 1 << 20

// ErrEventTooLarge is returned for an event that exceeds the limit of its reader.
var ErrEventTooLarge = errors.New("event exceeds the size limit")

// EventReader decodes the data of server-sent events.
type EventReader struct {
	reader *bufio.Reader
	limit  int
	data   []byte
	size   int // bytes read of the current event, including fields other than data
	blank  int // bytes read since the last event before the current one began
}

// NewEventReader returns a reader of events of at most limit bytes.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{reader: bufio.NewReader(r), limit: limit}
}

// Next returns the data of the next event, which is valid until the next call of
// Next. At the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF if the
// stream ends within an event.
func (e *EventReader) Next() ([]byte, error) {
	e.data, e.size, e.blank = e.data[:0], 0, 0
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, e.endError(err)
		}
		if len(line) == 0 {
			if hasData {
				return e.data, nil
			}
			e.blank += e.size
			e.size = 0
			continue
		}
		if field, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, bytes.TrimPrefix(field, []byte(" "))...)
			hasData = true
		}
	}
}

// endError replaces io.EOF with io.ErrUnexpectedEOF within an event.
func (e *EventReader) endError(err error) error {
	if errors.Is(err, io.EOF) && e.size > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLine returns a line without its line ending. The line may be longer than the
// buffer of the reader, but the event must not exceed the limit.
func (e *EventReader) readLine() ([]byte, error) {
	var long []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		e.size += len(part)
		if e.blank+e.size > e.limit {
			return nil, ErrEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if err != nil {
			return nil, err
		}
		if long != nil {
			part = append(long, part...)
		}
		return bytes.TrimSuffix(part[:len(part)-1], []byte("\r")), nil
	}
}
