// Package netrpc runs net/rpc between nodes: gob encoding with bounded messages and write deadlines, a bounded number of connections, and
// recovery from a panic in a call, which fails only that call.
package netrpc

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// Bounds of a connection.
const (
	// MaxMessageBytes bounds a message in either direction. The largest is a snapshot of the state.
	MaxMessageBytes = 64 << 20
	// maxConcurrentCalls bounds the calls of one connection that are served concurrently.
	maxConcurrentCalls = 1024
	// writeTimeout closes a server's connection whose client stops reading.
	writeTimeout = 10 * time.Second
)

var errTooLarge = errors.New("netrpc: the message is too large")

// boundedReader fails when a message exceeds its limit. The codec resets it for each message; bytes that the buffer above it
// reads ahead count towards the previous message.
type boundedReader struct {
	conn      net.Conn
	limit     int64
	remaining int64
}

func (r *boundedReader) reset() { r.remaining = r.limit }

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLarge
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.conn.Read(p)
	r.remaining -= int64(n)
	return n, err
}

// codec is the gob encoding of net/rpc with bounded messages and write deadlines. Servers and clients use it.
type codec struct {
	conn         net.Conn
	in           *boundedReader
	dec          *gob.Decoder
	enc          *gob.Encoder
	callSlots    chan struct{} // limits the calls that are served concurrently; nil for a client
	writeTimeout time.Duration // bounds a write
	// flushInterval is the minimum time between two flushes. Messages in between are sent together.
	flushInterval time.Duration

	mu           sync.Mutex // guards the fields below
	out          *bufio.Writer
	flushedAt    time.Time
	flushPending bool
}

func newCodec(conn net.Conn, limit int64) *codec {
	in := &boundedReader{conn: conn, limit: limit}
	in.reset()
	out := bufio.NewWriter(conn)
	return &codec{
		conn: conn,
		in:   in,
		dec:  gob.NewDecoder(bufio.NewReader(in)),
		enc:  gob.NewEncoder(out),
		out:  out,

		writeTimeout: writeTimeout,
	}
}

// NewClientCodec returns the codec of a client. A write that takes longer than timeout fails and breaks the connection. Requests that follow each other
// within flushInterval are sent together; with 0, each is sent at once.
func NewClientCodec(conn net.Conn, timeout, flushInterval time.Duration) rpc.ClientCodec {
	c := newCodec(conn, MaxMessageBytes)
	c.writeTimeout, c.flushInterval = timeout, flushInterval
	return clientCodec{c}
}

// NewServerCodec returns the codec of a server.
func NewServerCodec(conn net.Conn, b Bounds) rpc.ServerCodec {
	c := newCodec(conn, b.MaxRequestBytes)
	c.flushInterval = b.FlushInterval
	c.callSlots = make(chan struct{}, maxConcurrentCalls)
	return serverCodec{c}
}

func (c *codec) readHeader(header any) error {
	c.in.reset()
	return c.dec.Decode(header)
}

func (c *codec) readBody(body any) error { return c.dec.Decode(body) }

// write sends a message: at once, or with the messages that follow within the flush interval. A message that can't be sent later closes the connection,
// so that its call fails.
func (c *codec) write(header, body any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if err := c.conn.SetWriteDeadline(now.Add(c.flushInterval + c.writeTimeout)); err != nil {
		return err
	}
	if err := c.enc.Encode(header); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	wait := c.flushInterval - now.Sub(c.flushedAt)
	if wait <= 0 && !c.flushPending {
		return c.flush(now)
	}
	if !c.flushPending {
		c.flushPending = true
		time.AfterFunc(wait, c.flushLater)
	}
	return nil
}

// flush sends what has been written. c.mu must be held.
func (c *codec) flush(now time.Time) error {
	c.flushedAt = now
	return c.out.Flush()
}

func (c *codec) flushLater() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushPending = false
	if c.flush(time.Now()) != nil {
		_ = c.Close()
	}
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

var _ rpc.ServerCodec = serverCodec{}

// ReadRequestHeader blocks while too many calls of the connection are in progress. It sets no deadline: a forwarded request may run
// for hours without another message, and TCP keep-alive probes detect a broken connection.
func (s serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := s.readHeader(r); err != nil {
		return err
	}
	s.callSlots <- struct{}{}
	return nil
}

// ReadRequestBody reads the arguments of a call. A malformed body closes the connection, because the start of the next message
// can't be determined.
func (s serverCodec) ReadRequestBody(body any) error {
	err := s.readBody(body)
	if err != nil && !errors.Is(err, io.EOF) {
		_ = s.Close()
	}
	return err
}

// WriteResponse writes the answer to a call. A failed write closes the connection.
func (s serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-s.callSlots }()
	err := s.write(r, body)
	if err != nil {
		_ = s.Close()
	}
	return err
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

var _ rpc.ClientCodec = clientCodec{}

// WriteRequest writes a call.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader reads the header of an answer.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody reads an answer.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }
