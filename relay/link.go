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
	// dialTimeout bounds the opening of a connection; a cut link doesn't answer at all.
	dialTimeout = 400 * time.Millisecond
	// pingEvery is the pause between two looks at a relay, and pingTimeout how long an answer may take. Together they bound how long the leases
	// of a relay's servers aren't renewed when it freezes; they last several times longer.
	pingEvery   = 400 * time.Millisecond
	pingTimeout = 700 * time.Millisecond
	// restAfterFailure is how long a relay that failed gets no orders.
	restAfterFailure = 3 * time.Second
)

var (
	// ErrNotSent says that an order has not left this node.
	ErrNotSent = errors.New("relay: the order was not sent")
	// ErrNoAnswer says that an order may have been carried out, or may still be.
	ErrNoAnswer = errors.New("relay: no answer")
)

// Link is the connection to one node.
type Link struct {
	name, address string
	log           zerolog.Logger
	dialing       chan struct{} // holds a token while a goroutine connects

	mu     sync.Mutex
	client *rpc.Client
	rest   time.Time // the relay gets no orders before
	closed bool
}

// NewLink returns a link to a node. It connects when it is needed.
func NewLink(name, address string, log zerolog.Logger) *Link {
	return &Link{name: name, address: address, log: log, dialing: make(chan struct{}, 1)}
}

// Usable reports whether the node may be called: it hasn't failed a moment ago.
func (l *Link) Usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && !now.Before(l.rest)
}

// Close ends the connection and fails all later calls.
func (l *Link) Close() {
	l.mu.Lock()
	client := l.client
	l.client, l.closed = nil, true
	l.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// failed notes that a relay doesn't work. All calls that wait for it end.
func (l *Link) failed(client *rpc.Client, err error) {
	l.mu.Lock()
	current := client == l.client && !l.closed
	if current {
		l.client, l.rest = nil, time.Now().Add(restAfterFailure)
	}
	l.mu.Unlock()
	if client != nil {
		_ = client.Close() // it may have ended by itself
	}
	if current {
		events.Log(l.log, events.RelayFailed, l.name, err)
	}
}

// connect returns the connection, or makes one.
func (l *Link) connect(ctx context.Context) (*rpc.Client, error) {
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	client, closed, rests := l.client, l.closed, time.Now().Before(l.rest)
	l.mu.Unlock()
	if client != nil {
		return client, nil
	}
	if closed || rests {
		return nil, ErrNotSent
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		l.failed(nil, err)
		return nil, err
	}
	client = rpc.NewClientWithCodec(netrpc.NewClient(conn, pingTimeout))
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

// watch looks at the relay from time to time until its connection ends.
func (l *Link) watch(client *rpc.Client) {
	for {
		timer := time.NewTimer(pingTimeout)
		ping := make(chan *rpc.Call, 1)
		go client.Go(serviceName+".Ping", PingArgs{}, &PingReply{}, ping) // a full connection would block the write
		select {
		case done := <-ping:
			timer.Stop()
			if done.Error != nil {
				l.failed(client, done.Error)
				return
			}
		case <-timer.C:
			l.failed(client, ErrNoAnswer)
			return
		}
		time.Sleep(pingEvery)
	}
}

// Call makes one call, of a method like Service.Method. The error is ErrNotSent if the order hasn't left this node, and ErrNoAnswer if it may have been carried out.
func (l *Link) Call(ctx context.Context, method string, args, reply any, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
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
			l.failed(client, call.Error)
		}
		return ErrNoAnswer
	case <-ctx.Done():
		return ErrNoAnswer
	}
}
