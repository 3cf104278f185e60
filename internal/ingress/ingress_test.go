package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeConn is a connection whose reads return pieces of a text, each read at most one. After the last piece it ends.
type fakeConn struct {
	net.Conn // nil: only the methods below are called
	address  string
	pieces   [][]byte

	mu      sync.Mutex
	written bytes.Buffer
	closed  bool
	expired bool // its read deadline has passed
	halves  int  // how often its sending half was closed
}

func (f *fakeConn) Read(p []byte) (int, error) {
	if len(f.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, f.pieces[0])
	if f.pieces[0] = f.pieces[0][n:]; len(f.pieces[0]) == 0 {
		f.pieces = f.pieces[1:]
	}
	return n, nil
}

func (f *fakeConn) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.written.Write(p)
}

func (f *fakeConn) Close() error {
	f.closed = true
	return nil
}

func (f *fakeConn) CloseWrite() error {
	f.halves++
	return nil
}

func (f *fakeConn) RemoteAddr() net.Addr {
	host, port, _ := net.SplitHostPort(f.address)
	return fakeAddr(net.JoinHostPort(host, port))
}

func (f *fakeConn) SetReadDeadline(t time.Time) error {
	f.expired = !t.IsZero() && t.Before(time.Now())
	return nil
}

func (f *fakeConn) SetWriteDeadline(time.Time) error { return nil }

type fakeAddr string

func (fakeAddr) Network() string  { return "tcp" }
func (a fakeAddr) String() string { return string(a) }

// open admits a connection from an address, and reads a text from it with a buffer of net/http's size. It returns the error of the last read.
func open(t *testing.T, g *Guard, address, text string) (*Conn, error) {
	t.Helper()
	f := &fakeConn{address: address}
	if text != "" {
		f.pieces = [][]byte{[]byte(text)}
	}
	c := g.admit(f)
	require.NotNil(t, c)
	return c, readAll(c, len(text))
}

func readAll(c *Conn, size int) error {
	buffer := make([]byte, bufferBytes)
	for read := 0; read < size; {
		n, err := c.Read(buffer)
		if err != nil {
			return err
		}
		read += n
	}
	return nil
}

func headOf(bytes int) string {
	return "POST /q HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", bytes-37) + "\r\n\r\n"
}

// TestHeadsOverTheLimitAreRefused guards against heads without end, and against a head within the limit that is refused.
func TestHeadsOverTheLimitAreRefused(t *testing.T) {
	for _, c := range []struct {
		name, head string
		refused    bool
	}{
		{"at the limit", headOf(DefaultHeaderBytes), false},
		{"over the limit", headOf(DefaultHeaderBytes + 2*bufferBytes), true},
		{"shortest lines within the limit", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", DefaultHeaderBytes/shortestLine-5) + "\r\n", false},
		{"empty lines", strings.Repeat("\r\n", 3*DefaultHeaderBytes), true},
		{"shorter lines than any", strings.Repeat("\n", DefaultHeaderBytes), true},
		{"a request line without end", strings.Repeat("x", 3*DefaultHeaderBytes), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewGuard(Options{})
			conn, err := open(t, g, "10.0.0.1:1", c.head)
			require.Equal(t, c.refused, errors.Is(err, io.EOF), "error: %v", err)
			answer := conn.Conn.(*fakeConn).written.String()
			require.Equal(t, c.refused, strings.HasPrefix(answer, "HTTP/1.1 431 "), answer)
			require.NoError(t, conn.Close())
			require.Zero(t, g.Held())
			require.Zero(t, g.Open())
		})
	}
}

// TestPipelinedRequestsAreNoHead guards against a request within the limit that is refused because of the requests that came in one read with it.
func TestPipelinedRequestsAreNoHead(t *testing.T) {
	g := NewGuard(Options{HeaderBytes: 1000})
	c, err := open(t, g, "10.0.0.1:1", strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 100))
	require.NoError(t, err)
	c.State(http.StateActive)
	c.Conn.(*fakeConn).pieces = [][]byte{[]byte("G")}
	require.NoError(t, readAll(c, 1), "net/http reads on before the handler has the request")
	require.True(t, c.begin(&http.Request{Header: http.Header{}}))
	require.Empty(t, c.Conn.(*fakeConn).written.String())
}

// TestTheLimitOfHeadsChanges guards against a limit of the configuration that isn't used.
func TestTheLimitOfHeadsChanges(t *testing.T) {
	g := NewGuard(Options{HeaderBytes: 1000})
	_, err := open(t, g, "10.0.0.1:1", headOf(9000))
	require.ErrorIs(t, err, io.EOF)
	g.SetHeaderBytes(9000)
	_, err = open(t, g, "10.0.0.1:2", headOf(9000))
	require.NoError(t, err)
}

// TestTheClientThatHoldsMostIsRefused guards against a crowd of one client that keeps the requests of the others out.
func TestTheClientThatHoldsMostIsRefused(t *testing.T) {
	g := NewGuard(Options{Budget: 100_000})
	small, err := open(t, g, "10.0.0.1:1", headOf(100))
	require.NoError(t, err)
	var crowd []*Conn
	refused := 0
	for i := range 20 {
		c, err := open(t, g, fmt.Sprintf("10.0.0.2:%d", i+1), headOf(3000))
		if err != nil {
			refused++
		}
		crowd = append(crowd, c)
	}
	other, err := open(t, g, "10.0.0.3:1", headOf(2000))
	require.NoError(t, err, "a client that holds less")
	require.False(t, small.refused())
	require.False(t, other.refused())
	for _, c := range crowd {
		if c.refused() {
			refused++
		}
		require.NoError(t, c.Close())
	}
	require.Positive(t, refused)
	require.LessOrEqual(t, g.Held(), int64(50_000), "what is closed is released")
}

// TestStalledRequestsAreRefusedFirst guards against requests that progress and are refused although others stall.
func TestStalledRequestsAreRefusedFirst(t *testing.T) {
	g := NewGuard(Options{Budget: 100_000})
	stalled, err := open(t, g, "10.0.0.1:1", headOf(4000))
	require.NoError(t, err)
	for range stalledTicks {
		g.advance()
	}
	_, err = open(t, g, "10.0.0.2:1", headOf(8000))
	require.NoError(t, err)
	_, err = open(t, g, "10.0.0.2:2", headOf(13000))
	require.NoError(t, err)
	require.True(t, stalled.refused())
}

// TestCompleteRequestsAreNotRefused guards against a request that runs though it was answered with a refusal, and one that is cut off while it runs.
func TestCompleteRequestsAreNotRefused(t *testing.T) {
	g := NewGuard(Options{Budget: 100_000})
	c, err := open(t, g, "10.0.0.1:1", headOf(4000))
	require.NoError(t, err)
	request := &http.Request{Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}
	require.True(t, c.begin(request))
	require.True(t, c.complete())
	require.False(t, c.refuse(OutOfMemory))
	require.False(t, c.refused())

	c, err = open(t, g, "10.0.0.1:2", headOf(4000))
	require.NoError(t, err)
	require.True(t, c.begin(request))
	require.True(t, c.refuse(OutOfMemory))
	require.False(t, c.complete(), "a refused request must not run")
}

// TestPipelinedHeadsAreAccountedFor guards against heads that arrive with the request before them and hold memory that nobody counts.
func TestPipelinedHeadsAreAccountedFor(t *testing.T) {
	g := NewGuard(Options{Budget: 1 << 20})
	c, err := open(t, g, "10.0.0.1:1", headOf(100))
	require.NoError(t, err)
	require.True(t, c.begin(&http.Request{Header: http.Header{}}))
	c.end()
	require.Zero(t, g.Held())
	header := http.Header{}
	for i := range 500 {
		header.Set(fmt.Sprint("X-", i), "")
	}
	require.True(t, c.begin(&http.Request{Header: header}))
	require.Greater(t, g.Held(), int64(500*costOfLine))
}

// TestIdleConnectionsMakeRoom guards against connections without a request that keep callers out, and against more connections than the limit.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	g := NewGuard(Options{MaxConns: 4})
	var idle []*Conn
	for i := range 4 {
		c, err := open(t, g, fmt.Sprintf("10.0.0.1:%d", i+1), "")
		require.NoError(t, err)
		idle = append(idle, c)
		g.advance()
	}
	_, err := open(t, g, "10.0.0.2:1", headOf(100))
	require.NoError(t, err)
	require.True(t, idle[0].refused(), "the oldest goes first")
	require.True(t, idle[0].Conn.(*fakeConn).expired)
	require.False(t, idle[1].refused())

	busy := NewGuard(Options{MaxConns: 1})
	c, err := open(t, busy, "10.0.0.1:1", headOf(100))
	require.NoError(t, err)
	require.True(t, c.begin(&http.Request{Header: http.Header{}}))
	require.Nil(t, busy.admit(&fakeConn{address: "10.0.0.1:2"}))
}

// TestHeadsByTheByteMakeRoom guards against heads that come a byte at a time and so keep callers out, and against a connection that has just been opened and
// goes before them.
func TestHeadsByTheByteMakeRoom(t *testing.T) {
	g := NewGuard(Options{MaxConns: 2})
	slow, err := open(t, g, "10.0.0.1:1", "POST /q")
	require.NoError(t, err)
	for range stalledTicks {
		g.advance()
		slow.Conn.(*fakeConn).pieces = [][]byte{[]byte("x")}
		require.NoError(t, readAll(slow, 1))
	}
	opened, err := open(t, g, "10.0.0.2:1", "")
	require.NoError(t, err)
	_, err = open(t, g, "10.0.0.2:2", "")
	require.NoError(t, err)
	require.True(t, slow.refused())
	require.False(t, opened.refused())
}

// TestSlowBodiesAreRefused guards against bodies that stop short of their end and stay open.
func TestSlowBodiesAreRefused(t *testing.T) {
	counts := map[Reason]int{}
	g := NewGuard(Options{OnRefused: func(r Reason, n int) { counts[r] += n }})
	request := &http.Request{Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}
	c, err := open(t, g, "10.0.0.1:1", headOf(100))
	require.NoError(t, err)
	require.True(t, c.begin(request))
	for range bodyTicks {
		g.advance()
		require.False(t, c.refused())
	}
	g.advance()
	g.advance()
	require.True(t, c.refused())
	g.report()
	require.Equal(t, map[Reason]int{TooSlow: 1}, counts)
}

// TestRefusedRequestsDoNotRun guards against a handler that runs a request whose body was refused, on real connections.
func TestRefusedRequestsDoNotRun(t *testing.T) {
	g := NewGuard(Options{Budget: 64 << 10})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	results := make(chan error, 1)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		ConnState:         func(c net.Conn, s http.ConnState) { c.(*Conn).State(s) },
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return ConnContext(ctx, c.(*Conn)) },
		Handler: g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := ReadBody(r, 1<<20)
			if r.ContentLength > 1000 {
				results <- err
			}
			if err != nil {
				w.WriteHeader(http.StatusTooManyRequests)
			}
		})),
	}
	go func() { _ = server.Serve(g.Listener(l)) }() // ends with Close
	defer func() { require.NoError(t, server.Close()) }()
	for _, size := range []int{200_000, 1000} {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		if size > 1000 {
			require.ErrorIs(t, <-results, ErrRefused)
			require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
			require.True(t, resp.Close)
		} else {
			require.Equal(t, http.StatusOK, resp.StatusCode, "a request inside the limits is served")
		}
		require.NoError(t, conn.Close())
	}
}

// TestStopDoesNotWaitForRefusedClients guards against a planned stop that waits for one refused client after the other.
func TestStopDoesNotWaitForRefusedClients(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		g := NewGuard(Options{})
		c, err := open(t, g, "10.0.0.1:1", headOf(3*DefaultHeaderBytes))
		require.ErrorIs(t, err, io.EOF)
		if stopping {
			g.Stop()
		}
		require.NoError(t, c.Close())
		require.Equal(t, !stopping, c.Conn.(*fakeConn).halves == 1)
	}
}

// TestReadBodyStopsAtTheLimit guards against bodies of which more is kept than the limit.
func TestReadBodyStopsAtTheLimit(t *testing.T) {
	for _, c := range []struct{ length, limit, want int }{{0, 10, 0}, {10, 10, 10}, {100_000, 100_000, 100_000}, {100_001, 100_000, 100_001}, {300_000, 100_000, 100_001}} {
		for _, known := range []bool{true, false} {
			r := &http.Request{ContentLength: -1, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", c.length)))}
			if known {
				r.ContentLength = int64(c.length)
			}
			data, err := ReadBody(r, int64(c.limit))
			require.NoError(t, err)
			require.Len(t, data, c.want)
		}
	}
}

// FuzzHeads guards against a head within the limit that is refused, and against one that net/http reads although it is over the limit by more than a read,
// however the bytes are cut into reads.
func FuzzHeads(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), uint16(5))
	f.Add([]byte("POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\n\n\n\n"), uint16(1))
	f.Add([]byte("POST /q HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n4\r\n\n\n\n\n\r\n0\r\n\r\n"), uint16(7))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 200)+"\r\n"), uint16(64))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n c\r\n", 40)+"\r\n"), uint16(100))
	f.Add([]byte(strings.Repeat("\r\n", 300)+"GET / HTTP/1.1\r\nHost: h\r\n\r\n"), uint16(64))
	f.Add([]byte("GET /"+strings.Repeat("x", 2000)+" HTTP/1.1\r\nHost: h\r\n\r\n"), uint16(500))
	const limit = 256
	f.Fuzz(func(t *testing.T, data []byte, piece uint16) {
		size := int(piece)%bufferBytes + 1
		plain := bufio.NewReader(bytes.NewReader(data))
		_, plainErr := http.ReadRequest(plain)
		headBytes := len(data) - plain.Buffered() // an upper bound: a buffer holds more than the head
		if plainErr == nil && len(data) <= bufferBytes {
			headBytes = headLength(data)
		}
		fake := &fakeConn{address: "10.0.0.1:1"}
		for rest := data; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			fake.pieces = append(fake.pieces, rest[:min(size, len(rest))])
		}
		g := NewGuard(Options{HeaderBytes: limit})
		c := g.admit(fake)
		_, err := http.ReadRequest(bufio.NewReader(c))
		answer := fake.written.String()
		require.NoError(t, c.Close())
		require.Zero(t, g.Held())
		if plainErr != nil {
			return // it isn't served
		}
		lines := bytes.Count(data[:min(headBytes, len(data))], []byte{'\n'})
		switch {
		case headBytes <= limit && lines <= limit/shortestLine:
			require.NoError(t, err)
			require.Empty(t, answer)
		case headBytes > limit+size:
			require.Error(t, err)
			require.Contains(t, answer, " 431 ")
		}
	})
}

// headLength returns the length of the head of a request that net/http can read.
func headLength(data []byte) int {
	for n := 1; n <= len(data); n++ {
		if _, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data[:n]))); err == nil {
			return n
		}
	}
	return len(data)
}
