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
	// DefaultTimeout bounds a call, and the connecting before it. Peers are at most some tens of milliseconds away.
	DefaultTimeout = time.Second
	// DefaultSnapshotTimeout bounds the fetching of a whole state.
	DefaultSnapshotTimeout = 30 * time.Second
	// forwardGrace is how long after its deadline a forwarded request's answer is awaited.
	forwardGrace = 100 * time.Millisecond
	// redialMin and redialMax bound the pause between two attempts to connect.
	redialMin = 100 * time.Millisecond
	redialMax = 2 * time.Second
)

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Client calls one peer. It connects when needed and closes the connection on an error or a timeout, because an answer that
// comes late must not delay the next call. It is safe for concurrent use.
type Client struct {
	address string
	dial    DialFunc
	timeout time.Duration
	dialing chan struct{} // holds a token while a goroutine connects

	mu       sync.Mutex
	conn     *rpc.Client
	failures int
	retryAt  time.Time
	closed   bool
}

// NewClient returns a client of the peer at an address. A nil dial connects by TCP; timeout 0 is DefaultTimeout.
func NewClient(address string, dial DialFunc, timeout time.Duration) *Client {
	if dial == nil {
		dial = dialTCP
	}
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Client{address: address, dial: dial, timeout: timeout, dialing: make(chan struct{}, 1)}
}

// Close ends the connection and fails all later calls.
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

// Snapshot fetches the peer's whole state.
func (c *Client) Snapshot(ctx context.Context) (SnapshotReply, error) {
	return call[SnapshotReply](ctx, c, "Snapshot", SnapshotArgs{}, max(c.timeout, DefaultSnapshotTimeout))
}

// Append has the peer append a record to the log. After an error the record may have been appended.
func (c *Client) Append(ctx context.Context, args AppendArgs) (AppendReply, error) {
	return call[AppendReply](ctx, c, "Append", args, c.timeout)
}

// Forward hands a request to the VM that issued its id and waits for the outcome. After an error of kind issuer_unreachable
// the request may have run.
func (c *Client) Forward(ctx context.Context, args ForwardArgs) (ResultReply, error) {
	return call[ResultReply](ctx, c, "Forward", args, args.TimeLeft+forwardGrace)
}

// Result asks what became of a request.
func (c *Client) Result(ctx context.Context, args ResultArgs) (ResultReply, error) {
	return call[ResultReply](ctx, c, "Result", args, c.timeout)
}

// call makes one call. Errors of the connection are of kind issuer_unreachable; those of the handler keep their kind. The
// reply is read only once the call is done, since net/rpc may still write to it.
func call[R, A any](ctx context.Context, c *Client, method string, args A, timeout time.Duration) (R, error) {
	var none R
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	conn, err := c.connect(ctx)
	if err != nil {
		return none, errkind.Wrap(errkind.IssuerUnreachable, err)
	}
	reply := new(R)
	pending := conn.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
	case <-ctx.Done():
		return none, errkind.New(errkind.IssuerUnreachable, "%s of %s: %w", method, c.address, ctx.Err())
	case <-timer.C:
		if method != "Forward" && method != "Append" { // a slow request or platform says nothing about the connection
			c.drop(conn)
		}
		return none, errkind.New(errkind.IssuerUnreachable, "%s of %s: no answer within %s", method, c.address, timeout)
	}
	if pending.Error == nil {
		c.answered()
		return *reply, nil
	}
	var fromHandler rpc.ServerError
	if errors.As(pending.Error, &fromHandler) {
		return none, handlerError(string(fromHandler))
	}
	c.drop(conn)
	return none, errkind.Wrap(errkind.IssuerUnreachable, pending.Error)
}

// handlerError restores the kind of an error that came as text.
func handlerError(text string) error {
	name, message, ok := strings.Cut(text, ": ")
	kind := errkind.Kind(name)
	if !ok || kind != errkind.Internal && errkind.Lookup(kind) == errkind.Lookup(errkind.Internal) {
		return errkind.New(errkind.Internal, "%s", text)
	}
	return errkind.New(kind, "%s", message)
}

// connect returns the connection, or makes one. One goroutine connects at a time; after a failure all fail at once until the
// pause has passed.
func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	select {
	case c.dialing <- struct{}{}:
		defer func() { <-c.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn, err := c.current(); conn != nil || err != nil {
		return conn, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, err := c.dial(dialCtx, c.address)
	if err != nil {
		c.failed()
		return nil, err
	}
	return c.use(rpc.NewClientWithCodec(netrpc.NewClientCodec(raw, c.timeout)))
}

func (c *Client) current() (*rpc.Client, error) {
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

func (c *Client) use(conn *rpc.Client) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, rpc.ErrShutdown
	}
	c.conn = conn
	return conn, nil
}

// drop closes a connection that failed.
func (c *Client) drop(conn *rpc.Client) {
	_ = conn.Close()
	c.mu.Lock()
	current := c.conn == conn
	if current {
		c.conn = nil
	}
	c.mu.Unlock()
	if current {
		c.failed()
	}
}

func (c *Client) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	pause := min(redialMin<<min(c.failures, 10), redialMax)
	c.failures++
	c.retryAt = time.Now().Add(pause)
}

func (c *Client) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = 0
}
