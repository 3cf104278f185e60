// Package netrpc serves net/rpc between nodes: gob with bounded messages and write deadlines, a bounded number of connections, and calls whose
// panic ends only them.
package netrpc

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"time"
)

// Bounds of a connection.
const (
	// MaxMessageBytes bounds a message in either direction. The largest is a snapshot of the state.
	MaxMessageBytes = 64 << 20
	// maxPending bounds the calls of one connection that are served at a time.
	maxPending = 1024
	// writeTimeout ends a server's connection whose other side takes nothing.
	writeTimeout = 10 * time.Second
)

var errTooLarge = errors.New("netrpc: the message is too large")

// boundedReader fails when a message exceeds its bound. The codec resets it for each message; read-ahead of the buffer
// above it counts for the message before.
type boundedReader struct {
	conn  net.Conn
	limit int64
	left  int64
}

func (r *boundedReader) reset() { r.left = r.limit }

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLarge
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.conn.Read(p)
	r.left -= int64(n)
	return n, err
}

// codec is the gob encoding of net/rpc with bounded messages and write deadlines. It serves as a server's and as a client's.
type codec struct {
	conn    net.Conn
	in      *boundedReader
	dec     *gob.Decoder
	enc     *gob.Encoder
	out     *bufio.Writer
	pending chan struct{} // nil for a client
	stuck   time.Duration // bounds a write
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

		stuck: writeTimeout,
	}
}

// NewClientCodec returns the codec of a client. A write that takes longer than timeout ends the connection.
func NewClientCodec(conn net.Conn, timeout time.Duration) rpc.ClientCodec {
	c := newCodec(conn, MaxMessageBytes)
	c.stuck = timeout
	return clientCodec{c}
}

// NewServerCodec returns the codec of a server whose requests have at most limit bytes.
func NewServerCodec(conn net.Conn, limit int64) rpc.ServerCodec {
	c := newCodec(conn, limit)
	c.pending = make(chan struct{}, maxPending)
	return serverCodec{c}
}

func (c *codec) readHeader(header any) error {
	c.in.reset()
	return c.dec.Decode(header)
}

func (c *codec) readBody(body any) error { return c.dec.Decode(body) }

func (c *codec) write(header, body any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.stuck)); err != nil {
		return err
	}
	if err := c.enc.Encode(header); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.out.Flush()
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

var _ rpc.ServerCodec = serverCodec{}

// ReadRequestHeader waits while too many calls of the connection are served. It sets no deadline: a forwarded request may run
// for hours without another message, and a broken connection is found by TCP's keep-alive probes.
func (s serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := s.readHeader(r); err != nil {
		return err
	}
	s.pending <- struct{}{}
	return nil
}

// ReadRequestBody reads the arguments of a call. A broken body ends the connection, because what follows cannot be told apart.
func (s serverCodec) ReadRequestBody(body any) error {
	err := s.readBody(body)
	if err != nil && !errors.Is(err, io.EOF) {
		_ = s.Close()
	}
	return err
}

// WriteResponse writes the answer of a call. A failed write ends the connection.
func (s serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-s.pending }()
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
