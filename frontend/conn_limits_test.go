package frontend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestConnBounds guards against bounds that a small host cannot hold and against ones that
// leave no room for anybody.
func TestConnBounds(t *testing.T) {
	for _, c := range []struct {
		memoryMB, descriptors int
		want                  ConnBounds
	}{
		{144, 3075, ConnBounds{Callers: 329, Peers: 439, Checks: 57, HeadBytes: 7_200_000, MessageBytes: 14_400_000}},
		{536, 10250, ConnBounds{Callers: 1226, Peers: 1635, Checks: 201, HeadBytes: 26_800_000, MessageBytes: 53_600_000}},
		{64, 0, ConnBounds{Callers: 146, Peers: 195, Checks: 57, HeadBytes: 3_200_000, MessageBytes: 6_400_000}},
		{144, 100, ConnBounds{Callers: 12, Peers: 10, Checks: 16, HeadBytes: 7_200_000, MessageBytes: 14_400_000}},
	} {
		got := NewConnBounds(int64(c.memoryMB)*1_000_000, c.descriptors)
		require.Equal(t, c.want, got, "%d MB, %d descriptors", c.memoryMB, c.descriptors)
	}
}

// meteredReader reads a connection whose bytes arrive in pieces, as callerConn does.
type meteredReader struct {
	data   []byte
	piece  int
	meter  headMeter
	limits desired.Limits
	reason verdict.Reason
}

func (r *meteredReader) Read(p []byte) (int, error) {
	if r.reason = r.meter.check(r.limits); r.reason != "" {
		return 0, io.ErrClosedPipe
	}
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), r.piece)], r.data)
	r.meter.add(r.data[:n])
	r.data = r.data[n:]
	return n, nil
}

// readMetered reads a request head and returns the reason for which it was refused.
func readMetered(data []byte, piece int, limits desired.Limits) (*meteredReader, error) {
	r := &meteredReader{data: data, piece: piece, limits: limits}
	_, err := http.ReadRequest(bufio.NewReader(r))
	return r, err
}

// TestHeadWithinLimitsIsRead guards against a refusal of heads within the limits, whatever
// their fields are, in one piece or a byte at a time.
func TestHeadWithinLimitsIsRead(t *testing.T) {
	limits := desired.Limits{HeaderBytes: 16384}
	field := func(n int) string { return fmt.Sprintf("%c%c%c: %d\r\n", 'a'+n%26, 'a'+n/26%26, 'a'+n/676, n%10) } // 4 bytes count
	var many strings.Builder
	for n := range limits.HeaderBytes / 4 {
		many.WriteString(field(n))
	}
	for name, fields := range map[string]string{
		"one field":   "Filler: " + strings.Repeat("x", limits.HeaderBytes-len("Filler")) + "\r\n",
		"many fields": many.String(),
		"same fields": strings.Repeat("a: b\r\n", limits.HeaderBytes/2),
		"long target": "A: b\r\n",
	} {
		for _, piece := range []int{1, 4096} {
			target := "/"
			if name == "long target" {
				target += strings.Repeat("x", 8000)
			}
			head := "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"
			_, err := readMetered([]byte(head), piece, limits)
			require.NoError(t, err, "%s, %d bytes at a time", name, piece)
		}
	}
}

// TestBodyIsNotCountedAsHead guards against a refusal because of a body of line ends that
// arrives with its head.
func TestBodyIsNotCountedAsHead(t *testing.T) {
	limits := desired.Limits{HeaderBytes: 100}
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("\n", 100000)
	_, err := readMetered([]byte(head), 4096, limits)
	require.NoError(t, err)
}

// TestHeadOutsideLimitsIsRefused guards against heads that are read without end.
func TestHeadOutsideLimitsIsRefused(t *testing.T) {
	limits := desired.Limits{HeaderBytes: 4096}
	const bound = 4096 + 8192 + 2*4096
	for name, c := range map[string]struct {
		data   string
		reason verdict.Reason
	}{
		"line":     {"GET / HTTP/1.1\r\nFiller: " + strings.Repeat("x", 1<<20), verdict.ReasonHeaderTooLarge},
		"fields":   {"GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", 1<<20), verdict.ReasonHeaderTooLarge},
		"greeting": {"\x16\x03\x01" + strings.Repeat("x", 1<<20), verdict.ReasonBadRequest},
		"zeros":    {strings.Repeat("\x00", 1<<20), verdict.ReasonBadRequest},
	} {
		for _, piece := range []int{1, 4096} {
			r, err := readMetered([]byte(c.data), piece, limits)
			require.Error(t, err, name)
			require.Equal(t, c.reason, r.reason, name)
			require.LessOrEqual(t, r.meter.size, bound+4096, name)
		}
	}
}

// FuzzHeadMeter looks for valid requests that are refused although they are within the
// bounds, and for input that is read beyond the bounds.
func FuzzHeadMeter(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), 1, 100)
	f.Add([]byte("\r\n\r\nPOST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n\n\n\n"), 7, 1)
	f.Add([]byte("\x16\x03\x01\x02\x00"), 4096, 0)
	f.Add(bytes.Repeat([]byte("a:\n"), 5000), 4096, 10)
	f.Fuzz(func(t *testing.T, data []byte, piece, headerBytes int) {
		limits := desired.Limits{HeaderBytes: headerBytes % (1 << 20)}
		piece = 1 + max(0, piece)%4096
		_, want := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		r, err := readMetered(data, piece, limits)
		effective := limits.HeaderBytes
		if effective <= 0 {
			effective = defaultHeaderBytes
		}
		bound := requestLineBytes + effective + fieldSeparators*(effective/minFieldBytes)
		require.LessOrEqual(t, r.meter.size, bound+4096)
		require.GreaterOrEqual(t, r.meter.memory(), int64(0))
		switch r.reason {
		case "":
			require.Equal(t, want == nil, err == nil, "a head that is not refused is read as without the meter")
		case verdict.ReasonBadRequest:
			require.Error(t, want, "a valid request was refused")
		case verdict.ReasonHeaderTooLarge:
			lines := bytes.Count(data, []byte("\n"))
			require.True(t, len(data) > bound || lines > effective/minFieldBytes+2, "a small head was refused")
		default:
			t.Fatalf("unexpected reason %q", r.reason)
		}
	})
}

// TestByteSum guards against heads that together exceed their bound and against bytes that
// are not returned.
func TestByteSum(t *testing.T) {
	s := byteSum{bound: 100}
	require.True(t, s.resize(0, 60))
	require.False(t, s.resize(0, 50))
	require.True(t, s.resize(60, 100))
	require.True(t, s.resize(100, 0))
	require.Zero(t, s.held.Load())

	require.True(t, s.resize(0, 40))
	require.True(t, s.resize(0, 40))
	require.False(t, s.resize(40, 70))
	require.True(t, s.resize(40, 100), "the reservation of a refused head makes room for others at once")
	require.True(t, s.resize(100, 0))
	require.Zero(t, s.held.Load())
}
