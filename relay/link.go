package relay

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/netrpc"
)

const (
	// dialTimeout bounds the opening of a connection, because a node that is cut off doesn't answer at all.
	dialTimeout = 400 * time.Millisecond
	// pingInterval is the pause between two pings of a relay, and pingTimeout how long an answer may take. Together they bound how long the leases
	// of a relay's servers aren't renewed when the relay freezes; leases last several times longer.
	pingInterval = 400 * time.Millisecond
	pingTimeout  = 700 * time.Millisecond
	// flushInterval is the minimum time between two writes to a connection in either direction. A busy dispatcher exchanges hundreds of messages a second
	// with each relay, and sends and reads several at once instead of each by itself; a task runs for half a second or more.
	flushInterval = 5 * time.Millisecond
	// failureBackoff is how long a relay that failed gets no orders.
	failureBackoff = 3 * time.Second
)

var (
	// ErrNotSent means that an order has not left this node.
	ErrNotSent = errors.New("relay: the order was not sent")
	// ErrNoAnswer means that an order may have been executed, or may still be.
	ErrNoAnswer = errors.New("relay: no answer")
)

// Link is a connection to one node. It is opened at the first call, and again at the first call after a failure and its backoff.
type Link struct {
	name, address string
	log           zerolog.Logger
	dialing       chan struct{} // holds a token while a goroutine connects

	mu           sync.Mutex
	client       *rpc.Client
	backoffUntil time.Time // end of the backoff after a failure
	closed       bool
}

// NewLink returns a link to a node. It connects at the first call.
func NewLink(name, address string, log zerolog.Logger) *Link {
	return &Link{name: name, address: address, log: log, dialing: make(chan struct{}, 1)}
}

// Usable reports whether the node may be called: the link isn't closed and hasn't failed recently.
func (l *Link) Usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && !now.Before(l.backoffUntil)
}

// Close closes the connection. All later calls fail.
func (l *Link) Close() {
	l.mu.Lock()
	client := l.client
	l.client, l.closed = nil, true
	l.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// markFailed records that the relay doesn't work, and starts the backoff. It closes the connection, which ends all calls that wait on it.
func (l *Link) markFailed(client *rpc.Client, err error) {
	l.mu.Lock()
	current := client == l.client && !l.closed
	if current {
		l.client, l.backoffUntil = nil, time.Now().Add(failureBackoff)
	}
	l.mu.Unlock()
	if client != nil {
		_ = client.Close() // it may be closed already
	}
	if current {
		events.Log(l.log, events.RelayFailed, l.name, err)
	}
}

// connect returns the connection, and opens it if there is none.
func (l *Link) connect(ctx context.Context) (*rpc.Client, error) {
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	client, closed, inBackoff := l.client, l.closed, time.Now().Before(l.backoffUntil)
	l.mu.Unlock()
	if client != nil {
		return client, nil
	}
	if closed || inBackoff {
		return nil, ErrNotSent
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		l.markFailed(nil, err)
		return nil, err
	}
	client = rpc.NewClientWithCodec(netrpc.NewClientCodec(conn, pingTimeout, flushInterval))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = client.Close()
		return nil, ErrNotSent
	}
	l.client = client
	go l.watch(client)
	return client, nil
}

// watch pings the relay periodically until its connection ends.
func (l *Link) watch(client *rpc.Client) {
	for {
		timer := time.NewTimer(pingTimeout)
		ping := make(chan *rpc.Call, 1)
		go client.Go(serviceName+".Ping", PingArgs{}, &PingReply{}, ping) // the write blocks if the connection's buffers are full
		select {
		case done := <-ping:
			timer.Stop()
			if done.Error != nil {
				l.markFailed(client, done.Error)
				return
			}
		case <-timer.C:
			l.markFailed(client, ErrNoAnswer)
			return
		}
		time.Sleep(pingInterval)
	}
}

// Call calls a net/rpc method, which is named like Service.Method, and waits for its reply until a timeout. The error is ErrNotSent if the order
// hasn't left this node, and ErrNoAnswer if it may have been executed.
func (l *Link) Call(ctx context.Context, method string, args, reply any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client, err := l.connect(ctx)
	if err != nil {
		return ErrNotSent
	}
	done := make(chan *rpc.Call, 1)
	client.Go(method, args, reply, done)
	select {
	case call := <-done:
		if call.Error == nil {
			return nil
		}
		var fromHandler rpc.ServerError
		if !errors.As(call.Error, &fromHandler) {
			l.markFailed(client, call.Error)
		}
		return ErrNoAnswer
	case <-ctx.Done():
		return ErrNoAnswer
	}
}
