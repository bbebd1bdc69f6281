package tablestore_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// readBytes is the part of a body that the services of these tests read.
const readBytes = 3000

// serveBytes starts a service that reads the head of a request and the beginning of its body,
// sends answer and closes the connection. If the request has more, it resets the connection.
func serveBytes(t *testing.T, answer string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.ReadFull(r.Body, make([]byte, min(r.ContentLength, readBytes)))
				_, _ = io.WriteString(conn, answer)
				if r.ContentLength > readBytes {
					time.Sleep(time.Millisecond)         // a large body fills the buffers
					_ = conn.(*net.TCPConn).SetLinger(0) // a close is a reset even if all that arrived has been read
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestResetDuringPutIsUnknown guards against an object that counts as written because the store
// sent a head before it reset the connection, while the object was still being sent.
func TestResetDuringPutIsUnknown(t *testing.T) {
	objects := tablestore.NewObjectsClient(serveBytes(t, "HTTP/1.1 200 OK\r\n\r\n"), tablestore.NewHTTPClient("token", 10*time.Second))
	for range 15 {
		err := objects.Put(context.Background(), "k", make([]byte, 6<<20))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "%v", err)
		require.Error(t, err)
	}
}

// TestMalformedAnswerIsRefused guards against an answer of the platform that is taken although its
// head is malformed, with other bytes than the service sent for a body.
func TestMalformedAnswerIsRefused(t *testing.T) {
	for name, answer := range map[string]string{
		"status":        "HTTP/1.1 000 x\r\nContent-Length: 3\r\n\r\nabc",
		"blank in name": "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabcdef",
		"folded line":   "HTTP/1.1 200 OK\r\nX: 1\r\n Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			objects := tablestore.NewObjectsClient(serveBytes(t, answer), tablestore.NewHTTPClient("token", 10*time.Second))
			data, _, err := objects.Get(context.Background(), "k")
			require.Error(t, err, "%q", data)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(objects.Put(context.Background(), "k", []byte("abc"))))
		})
	}
}
