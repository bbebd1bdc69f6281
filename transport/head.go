package transport

import "strings"

// Parts of the responses on a connection, as headScanner tells them apart.
type responsePart int

const (
	partStatusLine responsePart = iota
	partLineStart               // the first byte of a field line, or the empty line after the head
	partLine                    // the rest of a field line
	partBody
)

// headScanner follows the heads of the responses on a connection, in the bytes as they arrive,
// and finds folded field lines. net/http joins a line that begins with a blank to the field before
// it, after which such a line can't be told from a value with a blank.
type headScanner struct {
	part   responsePart
	status []byte // beginning of the status line, without repeated blanks
	folded bool   // a field line began with a blank
}

// statusLineBytes is the length of a status line up to its status, "HTTP/1.1 100".
const statusLineBytes = 12

// next makes the scanner expect the head of the next response.
func (s *headScanner) next() { s.part, s.status = partStatusLine, s.status[:0] }

// scan processes the next bytes of the connection.
func (s *headScanner) scan(data []byte) {
	for _, b := range data {
		switch s.part {
		case partStatusLine:
			s.scanStatusLine(b)
		case partLineStart:
			s.scanLineStart(b)
		case partLine:
			if b == '\n' {
				s.part = partLineStart
			}
		case partBody:
			return
		}
	}
}

func (s *headScanner) scanStatusLine(b byte) {
	n := len(s.status)
	switch {
	case b == '\n':
		s.part = partLineStart
	case n < statusLineBytes && (b != ' ' || n == 0 || s.status[n-1] != ' '):
		s.status = append(s.status, b)
	}
}

func (s *headScanner) scanLineStart(b byte) {
	switch b {
	case '\n':
		s.endHead()
	case '\r': // the line is empty, or net/http refuses the response
	case ' ', '\t':
		s.folded = true
		s.part = partLine
	default:
		s.part = partLine
	}
}

// endHead expects another head after that of an interim response. Like net/http, it takes 101 for
// the status of a final response.
func (s *headScanner) endHead() {
	_, status, _ := strings.Cut(string(s.status), " ")
	if strings.HasPrefix(status, "1") && status != "101" {
		s.next()
		return
	}
	s.part = partBody
}
