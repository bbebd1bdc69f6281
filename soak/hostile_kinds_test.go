package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	requestLine  = "GET /calls/x HTTP/1.1\r\nHost: h\r\n"
	postChunked  = "POST /calls/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n"
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// Types and flags of HTTP/2 frames.
const (
	frameData, frameHeaders, frameSettings, framePing, frameContinuation = 0, 1, 4, 6, 9
	flagEndHeaders                                                       = 4
)

// hostileKinds returns all kinds of callers that exceed the limits.
func hostileKinds() []hostileKind {
	kinds := []hostileKind{
		{name: "legal heads that are sent slowly", crowd: 550, send: once(requestLine + "Filler: " + strings.Repeat("x", 4000))},
		{name: "body slower than any limit", send: slowBody},
		{name: "chunk size without end", send: repeat(postChunked, "0")},
		{name: "chunk extension without end", send: repeat(postChunked+"1;", "x")},
		{name: "chunks with extensions", send: repeat(postChunked, "1;"+strings.Repeat("x", 4000)+"\r\nx\r\n")},
		{name: "trailers without end", send: repeat(postChunked+"1\r\nx\r\n0\r\n", "a: b\r\n")},
		{name: "body announced and not sent", send: once("POST /calls/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat("x", 1<<20-1))},
		{name: "small body announced and not sent", crowd: 500, send: once("POST /calls/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\nContent-Length: 65536\r\n\r\n")},
		{name: "pipelined requests, answers not read", send: pipelined("/calls/x", "")},
		{name: "pipelined requests to unknown routes, answers not read", send: repeat("", "GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n")},
		{name: "pipelined requests behind a stream", send: func(conn net.Conn) {
			repeat(streamRequest("behind"), "GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n")(conn)
		}},
		{name: "large answer not read", send: pipelined("/endless/x", "")},
		{name: "large answer read bytewise", send: pipelined("/endless/x", ""), read: readBytewise},
		{name: "stream not read", send: once(streamRequest("unread"))},
		{name: "stream read bytewise", send: once(streamRequest("slow")), read: readBytewise},
	}
	ports := []struct {
		name string
		at   func(h *host) string
	}{{"front", nil}, {"readiness", port("8141")}, {"metrics", port("7395")}, {"grpc", port("7380")}}
	for _, p := range ports {
		if p.name != "grpc" {
			kinds = append(kinds,
				hostileKind{name: p.name + ", head over the limit", port: p.at, send: once(requestLine + "Filler: " + strings.Repeat("x", 900<<10) + "\r\n\r\n"), read: readAll},
				hostileKind{name: p.name + ", head without end", port: p.at, send: repeat(requestLine, "Filler: "+strings.Repeat("x", 1000)+"\r\n")},
				hostileKind{name: p.name + ", one endless header line", port: p.at, send: repeat(requestLine+"Filler: ", "x")},
				hostileKind{name: p.name + ", hundred thousand small fields", port: p.at, send: smallFields})
		}
		kinds = append(kinds,
			hostileKind{name: p.name + ", bytes that are no request", port: p.at, send: repeat("\x00\xff", "\x81\x13\x07")},
			hostileKind{name: p.name + ", connections opened and left", port: p.at, crowd: hostileOpenCrowd, send: once("")})
	}
	grpc := port("7380")
	return append(kinds,
		hostileKind{name: "folded fields", send: repeat(requestLine+"Filler: x\r\n", " folded\r\n")},
		hostileKind{name: "fields without a colon", send: repeat(requestLine, "field\r\n")},
		hostileKind{name: "empty lines before a request", send: repeat("", "\r\n")},
		hostileKind{name: "empty lines after a request", send: repeat("POST /none/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "\r\n")},
		hostileKind{name: "TLS greeting", send: repeat("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "\x5a")},
		hostileKind{name: "HTTP/2 greeting", send: repeat(http2Preface, string(frame(frameSettings, 0, 0, nil)))},
		hostileKind{name: "grpc, pings whose answers are not read", port: grpc, send: repeat(http2Preface+string(frame(frameSettings, 0, 0, nil)), string(frame(framePing, 0, 0, make([]byte, 8))))},
		hostileKind{name: "grpc, header block without end", port: grpc, send: endlessHeaderBlock},
		hostileKind{name: "grpc, large messages that do not end", port: grpc, send: unfinishedMessages},
	)
}

func port(number string) func(h *host) string {
	return func(h *host) string { return strings.Split(h.frontAddress, ":")[0] + ":" + number }
}

// once returns a function that sends a text.
func once(text string) func(net.Conn) {
	return func(conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// repeat returns a function that sends a text and then copies of another one.
func repeat(begin, unit string) func(net.Conn) {
	block := []byte(strings.Repeat(unit, 1+(16<<10)/len(unit)))
	return func(conn net.Conn) {
		_, err := io.WriteString(conn, begin)
		for sent := 0; err == nil && sent < hostileBytes; sent += len(block) {
			_, err = conn.Write(block)
		}
	}
}

// smallFields sends a head of 1 MB, the most that net/http accepts by default.
func smallFields(conn net.Conn) { _, _ = conn.Write(smallFieldsHead()) }

// smallFieldsHead returns the head of smallFields, which takes long to build for each caller
// with the race detector.
var smallFieldsHead = sync.OnceValue(func() []byte {
	var b bytes.Buffer
	b.WriteString(requestLine)
	for n := range 100_000 {
		fmt.Fprintf(&b, "%x:1\r\n", n)
	}
	b.WriteString("\r\n")
	return b.Bytes()
})

// slowBody sends a byte of a body each 100 ms.
func slowBody(conn net.Conn) {
	_, err := io.WriteString(conn, "POST /calls/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: s\r\nContent-Length: 1048576\r\n\r\n")
	for ; err == nil; time.Sleep(100 * time.Millisecond) {
		_, err = conn.Write([]byte("x"))
	}
}

// pipelined returns a function that sends requests without waiting for answers.
func pipelined(path, body string) func(net.Conn) {
	return func(conn net.Conn) {
		var err error
		for n, sent := 0, 0; err == nil && sent < hostileBytes; n++ {
			request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %p-%d\r\nContent-Length: %d\r\n\r\n%s", path, conn, n, len(body), body)
			_, err = io.WriteString(conn, request)
			sent += len(request)
		}
	}
}

func streamRequest(id string) string {
	return "POST /endless-streams/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	return append(append(b, bigEndian(stream)...), payload...)
}

func bigEndian(n uint32) []byte { return []byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)} }

// literal returns the HPACK encoding of a header field without indexing.
func literal(name, value string) []byte {
	b := append([]byte{0, byte(len(name))}, name...)
	return append(append(b, byte(len(value))), value...)
}

// endlessHeaderBlock sends a header block in continuation frames.
func endlessHeaderBlock(conn net.Conn) {
	begin := http2Preface + string(frame(frameSettings, 0, 0, nil)) + string(frame(frameHeaders, 0, 1, literal(":method", "POST")))
	repeat(begin, string(frame(frameContinuation, 0, 1, bytes.Repeat(literal("filler", strings.Repeat("x", 100)), 100))))(conn)
}

// unfinishedMessages sends the beginning of a message on each of a number of streams, within
// the windows that the host grants at first.
func unfinishedMessages(conn net.Conn) {
	head := bytes.Join([][]byte{
		literal(":method", "POST"), literal(":scheme", "http"), literal(":path", "/lavenderstand.peer.v1.Store/Commit"), literal(":authority", "h"),
		literal("content-type", "application/grpc"), literal("te", "trailers"),
	}, nil)
	_, err := conn.Write(append([]byte(http2Preface), frame(frameSettings, 0, 0, nil)...))
	length := append([]byte{0}, bigEndian(4<<20-1)...)
	go readAll(conn)
	// The windows are ignored: a host may close the connection for it, and must then.
	for stream, sent := uint32(1), 0; err == nil && sent < hostileBytes; stream += 2 {
		message := append(frame(frameHeaders, flagEndHeaders, stream, head), frame(frameData, 0, stream, append(length, make([]byte, 16<<10-5)...))...)
		for range 3 {
			message = append(message, frame(frameData, 0, stream, make([]byte, 16<<10-5))...)
		}
		_, err = conn.Write(message)
		sent += len(message)
		time.Sleep(10 * time.Millisecond) // lets the host extend the window of the connection
	}
}
