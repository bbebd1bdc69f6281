package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// uploadBytes is far more than the buffers of a connection hold, so that the client still
	// writes when the server answers.
	uploadBytes = 6 << 20
	// uploadReadBytes is the part of an upload that the servers of these tests read.
	uploadReadBytes = 3000
)

// startUploadServer starts a server that reads the beginning of each upload and then calls
// answer. It closes the connection when answer returns.
func startUploadServer(t *testing.T, answer func(conn *net.TCPConn)) string {
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
				if _, err := io.ReadFull(conn, make([]byte, uploadReadBytes)); err == nil {
					answer(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return "http://" + l.Addr().String() + "/"
}

// upload sends an upload and returns the body of the response.
func upload(t *testing.T, client *http.Client, url string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, SingleUseBody(make([]byte, uploadBytes)))
	require.NoError(t, err)
	req.ContentLength = uploadBytes
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestResetDuringUploadIsAnError guards against a response delimited by the end of its connection
// that counts as complete although the connection was reset. A socket reports a reset once: if
// the write of the upload gets the error, a later read returns an ordinary end.
func TestResetDuringUploadIsAnError(t *testing.T) {
	const tries = 15
	for name, head := range map[string]string{
		"success":          "HTTP/1.1 200 OK\r\n\r\n",
		"failure":          "HTTP/1.1 500 x\r\n\r\n",
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\n\r\n",
		"closed":           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"interim response": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for _, body := range []string{"", "a part of the body"} {
			for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d bytes, reset after %v", name, len(body), pause), func(t *testing.T) {
					t.Parallel()
					url := startUploadServer(t, func(conn *net.TCPConn) {
						_, _ = io.WriteString(conn, head+body)
						time.Sleep(pause)
						_ = conn.SetLinger(0)
					})
					client := NewClientWith(Options{ResetOnClose: true})
					complete := 0
					for range tries {
						if _, err := upload(t, client, url); err == nil {
							complete++
						}
					}
					require.Zero(t, complete, "of %d responses", tries)
				})
			}
		}
	}
}

// TestEndDuringUploadIsComplete guards against a response that is lost although the server ended
// it in order, and against a client that waits for a server which does not read the upload.
func TestEndDuringUploadIsComplete(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	url := startUploadServer(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 413 x\r\n\r\ntoo large")
		_ = conn.CloseWrite()
		<-ended // reads no more of the upload
	})
	for range 15 {
		body, err := upload(t, NewClient(), url)
		require.NoError(t, err)
		require.Equal(t, "too large", body)
	}
}

// scriptedConn is a connection whose writes last until its write deadline is set or the test
// releases them, and whose reads return an ordinary end.
type scriptedConn struct {
	net.Conn
	writeErr error
	started  chan struct{} // receives a value when a write starts
	deadline chan struct{} // closed when a write deadline is set
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *scriptedConn) Write([]byte) (int, error) {
	c.started <- struct{}{}
	<-c.deadline
	return 1, c.writeErr
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// TestEndAwaitsWriteInProgress guards against a read that returns an ordinary end because the
// write that got the error of the connection has not returned yet, against one that waits for a
// write without bound, and against an end in order that counts as a reset.
func TestEndAwaitsWriteInProgress(t *testing.T) {
	for _, c := range []struct {
		writeErr error
		lost     bool
	}{
		{syscall.ECONNRESET, true},
		{syscall.ETIMEDOUT, true},
		{syscall.EHOSTUNREACH, true},
		{syscall.EPIPE, false},
		{os.ErrDeadlineExceeded, false},
		{nil, false},
	} {
		conn := &scriptedConn{writeErr: c.writeErr, started: make(chan struct{}, 1), deadline: make(chan struct{})}
		counting := &countingConn{Conn: conn}
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = counting.Write([]byte("x"))
		}()
		<-conn.started
		_, err := counting.Read(make([]byte, 1))
		if c.lost {
			require.ErrorIs(t, err, c.writeErr)
			require.NotErrorIs(t, err, io.EOF)
		} else {
			require.Equal(t, io.EOF, err, "%v", c.writeErr)
		}
		<-written
	}
}
