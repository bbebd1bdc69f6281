package lot

import (
	"unicode/utf8"
)

const (
	// maxCommitRows and maxCommitBytes bound the results and the progress in one commit. The
	// store allows 100 rows, conditions included, and 1 MB; the rest is for the head.
	maxCommitRows  = 90
	maxCommitBytes = 900_000
	// rowOverheadBytes is what a row takes in a call besides its value: names and punctuation.
	rowOverheadBytes = 400
	// recordOverheadBytes is what a record takes besides its texts.
	recordOverheadBytes = 200
	// versionBytes bounds the digits of a version.
	versionBytes = 20
)

// Size is the space that records take in a commit, as the store counts it.
type Size struct {
	Rows  int
	Bytes int // of the encoded call
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size { return Size{s.Rows + o.Rows, s.Bytes + o.Bytes} }

// Fits reports whether records of this size fit into one commit.
func (s Size) Fits() bool { return s.Rows <= maxCommitRows && s.Bytes <= maxCommitBytes }

// Size returns an upper bound of the space that the result takes.
func (r *Result) Size() Size {
	return sizeOfRecord(EncodedLength(r.Item) + EncodedLength(r.Text) + EncodedLength(r.Score) + versionBytes*len(r.Versions))
}

// Size returns an upper bound of the space that the progress takes.
func (p *Progress) Size() Size {
	n := EncodedLength(p.Item) + EncodedLength(string(p.Software)) + versionBytes*len(p.Versions)
	for _, e := range p.Events {
		n += EncodedLength(e) + 1
	}
	return sizeOfRecord(n)
}

// sizeOfRecord returns the space of a record whose fields take n bytes.
func sizeOfRecord(n int) Size {
	n += recordOverheadBytes
	rows := (n + maxChunkBytes - 1) / maxChunkBytes
	return Size{Rows: rows, Bytes: base64Length(n) + rows*(rowOverheadBytes+3)}
}

// base64Length returns the length of n bytes in base64.
func base64Length(n int) int { return (n + 2) / 3 * 4 }

// EncodedLength returns the length of a text as a JSON string, with its quotes and without
// escape sequences for HTML.
func EncodedLength(text string) int {
	const short, long = 2, 6 // \n, \u001f
	n := 2
	for i := 0; i < len(text); {
		if c := text[i]; c < utf8.RuneSelf {
			switch {
			case c == '"' || c == '\\' || c == '\n' || c == '\r' || c == '\t' || c == '\b' || c == '\f':
				n += short
			case c < ' ':
				n += long
			default:
				n++
			}
			i++
			continue
		}
		r, size := utf8.DecodeRuneInString(text[i:])
		if (r == utf8.RuneError && size == 1) || r == '\u2028' || r == '\u2029' {
			n += long
		} else {
			n += size
		}
		i += size
	}
	return n
}
