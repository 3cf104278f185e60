package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/netrpc"
)

// Defaults of a Client.
const (
	// DefaultTimeout limits a call and the connecting before it. The network latency between peers is at most some tens of milliseconds.
	DefaultTimeout = time.Second
	// DefaultSnapshotTimeout limits a Snapshot call.
	DefaultSnapshotTimeout = 30 * time.Second
	// forwardGrace is how long the client waits for the reply to a forwarded request after the request's deadline.
	forwardGrace = 100 * time.Millisecond
	// minRedialPause and maxRedialPause limit the pause between two attempts to connect.
	minRedialPause = 100 * time.Millisecond
	maxRedialPause = 2 * time.Second
)

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Client calls one peer. It connects on demand and closes the connection on an error or a timeout, so that a late reply cannot
// delay the next call. It is safe for concurrent use.
type Client struct {
	address   string
	dial      DialFunc
	timeout   time.Duration
	dialToken chan struct{} // holds a token while a goroutine connects

	mu       sync.Mutex
	conn     *rpc.Client
	failures int
	retryAt  time.Time
	closed   bool
}

// NewClient returns a client of the peer at an address. A nil dial connects over TCP; a timeout of 0 selects DefaultTimeout.
func NewClient(address string, dial DialFunc, timeout time.Duration) *Client {
	if dial == nil {
		dial = dialTCP
	}
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Client{address: address, dial: dial, timeout: timeout, dialToken: make(chan struct{}, 1)}
}

// Close closes the connection. All later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Heartbeat exchanges statuses.
func (c *Client) Heartbeat(ctx context.Context, own Status) (Status, error) {
	return call[Status](ctx, c, "Heartbeat", own, c.timeout)
}

// Records fetches records of the log.
func (c *Client) Records(ctx context.Context, args RecordsArgs) (RecordsReply, error) {
	return call[RecordsReply](ctx, c, "Records", args, c.timeout)
}

// Snapshot fetches the peer's complete state.
func (c *Client) Snapshot(ctx context.Context) (SnapshotReply, error) {
	return call[SnapshotReply](ctx, c, "Snapshot", SnapshotArgs{}, max(c.timeout, DefaultSnapshotTimeout))
}

// Append requests that the peer append a record to the log. After an error the record may nevertheless have been appended.
func (c *Client) Append(ctx context.Context, args AppendArgs) (AppendReply, error) {
	return call[AppendReply](ctx, c, "Append", args, c.timeout)
}

// Forward sends a request to the VM that issued its id and waits for the outcome. After an error of kind issuer_unreachable
// the request may have run.
func (c *Client) Forward(ctx context.Context, args ForwardArgs) (ResultReply, error) {
	return call[ResultReply](ctx, c, "Forward", args, args.TimeLeft+forwardGrace)
}

// Result queries the outcome of a request.
func (c *Client) Result(ctx context.Context, args ResultArgs) (ResultReply, error) {
	return call[ResultReply](ctx, c, "Result", args, c.timeout)
}

// call makes one call. Connection errors have the kind issuer_unreachable; errors returned by the handler keep their kind. The
// reply is read only after the call has completed, because net/rpc may write to it until then.
func call[R, A any](ctx context.Context, c *Client, method string, args A, timeout time.Duration) (R, error) {
	var zero R
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	conn, err := c.connect(ctx)
	if err != nil {
		return zero, errkind.Wrap(errkind.IssuerUnreachable, err)
	}
	reply := new(R)
	pending := conn.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
	case <-ctx.Done():
		return zero, errkind.New(errkind.IssuerUnreachable, "%s of %s: %w", method, c.address, ctx.Err())
	case <-timer.C:
		if method != "Forward" && method != "Append" { // a slow request or platform doesn't indicate a broken connection
			c.discardConn(conn)
		}
		return zero, errkind.New(errkind.IssuerUnreachable, "%s of %s: no answer within %s", method, c.address, timeout)
	}
	if pending.Error == nil {
		c.resetFailures()
		return *reply, nil
	}
	var serverError rpc.ServerError
	if errors.As(pending.Error, &serverError) {
		return zero, decodeError(string(serverError))
	}
	c.discardConn(conn)
	return zero, errkind.Wrap(errkind.IssuerUnreachable, pending.Error)
}

// decodeError restores the kind of an error that was sent as text.
func decodeError(text string) error {
	name, message, ok := strings.Cut(text, ": ")
	kind := errkind.Kind(name)
	if !ok || kind != errkind.Internal && errkind.Lookup(kind) == errkind.Lookup(errkind.Internal) {
		return errkind.New(errkind.Internal, "%s", text)
	}
	return errkind.New(kind, "%s", message)
}

// connect returns the current connection or opens a new one. One goroutine connects at a time; after a failure, all calls fail
// immediately until the pause has elapsed.
func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	select {
	case c.dialToken <- struct{}{}:
		defer func() { <-c.dialToken }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn, err := c.currentConn(); conn != nil || err != nil {
		return conn, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, err := c.dial(dialCtx, c.address)
	if err != nil {
		c.recordFailure()
		return nil, err
	}
	return c.setConn(rpc.NewClientWithCodec(netrpc.NewClientCodec(raw, c.timeout, 0)))
}

func (c *Client) currentConn() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, rpc.ErrShutdown
	case c.conn != nil:
		return c.conn, nil
	case time.Now().Before(c.retryAt):
		return nil, errkind.New(errkind.IssuerUnreachable, "%s did not answer %d times in a row", c.address, c.failures)
	}
	return nil, nil
}

func (c *Client) setConn(conn *rpc.Client) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, rpc.ErrShutdown
	}
	c.conn = conn
	return conn, nil
}

// discardConn closes a failed connection and, if it is the current one, starts the pause before the next attempt to connect.
func (c *Client) discardConn(conn *rpc.Client) {
	_ = conn.Close()
	c.mu.Lock()
	current := c.conn == conn
	if current {
		c.conn = nil
	}
	c.mu.Unlock()
	if current {
		c.recordFailure()
	}
}

func (c *Client) recordFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	pause := min(minRedialPause<<min(c.failures, 10), maxRedialPause)
	c.failures++
	c.retryAt = time.Now().Add(pause)
}

func (c *Client) resetFailures() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = 0
}
