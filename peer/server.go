package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/netrpc"
	"example.org/comfreyrouter/logclient"
)

// Handler handles calls from peers. The caller receives the kind of a returned error. Methods are called concurrently; ctx is
// cancelled when the server closes.
type Handler interface {
	// Heartbeat processes the caller's status and returns the VM's own.
	Heartbeat(ctx context.Context, from Status) (Status, error)
	// Records returns recent records of the log to a peer that cannot read it.
	Records(ctx context.Context, args RecordsArgs) (RecordsReply, error)
	// Snapshot returns the complete state to a peer that is behind the records that Records still has.
	Snapshot(ctx context.Context, args SnapshotArgs) (SnapshotReply, error)
	// Append appends a record to the log for a peer that cannot reach the platform.
	Append(ctx context.Context, args AppendArgs) (AppendReply, error)
	// Forward runs a request whose id this VM issued. ctx is also cancelled when the request's TimeLeft has elapsed.
	Forward(ctx context.Context, args ForwardArgs) (ResultReply, error)
	// Result returns the outcome of a request, as far as this VM knows it.
	Result(ctx context.Context, args ResultArgs) (ResultReply, error)
}

// serviceName is the name of the net/rpc service.
const serviceName = "Peer"

// maxConnections limits the connections to a server: a few for each of 9 peers, plus a margin for connections that are broken
// but not yet closed.
const maxConnections = 256

// Server dispatches the calls of peers to a Handler.
type Server struct {
	listener net.Listener
	cancel   context.CancelFunc
	serving  sync.WaitGroup
}

// Listen listens on an address, such as 10.0.0.1:7100, and serves h there until Close.
func Listen(address string, h Handler, log zerolog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, h, log), nil
}

// Serve serves h on a listener until Close.
func Serve(listener net.Listener, h Handler, log zerolog.Logger) *Server {
	return serve(listener, h, log, netrpc.Bounds{MaxRequestBytes: netrpc.MaxMessageBytes, MaxConnections: maxConnections})
}

func serve(listener net.Listener, h Handler, log zerolog.Logger, bounds netrpc.Bounds) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, cancel: cancel}
	methods := rpc.NewServer()
	if err := methods.RegisterName(serviceName, &service{ctx: ctx, handler: h, log: log}); err != nil {
		panic(err) // cannot happen: service has a fixed set of valid methods
	}
	s.serving.Go(func() { netrpc.Serve(ctx, listener, methods, bounds, log) })
	return s
}

// Addr returns the listener's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes all connections and waits until they are closed. It always returns nil.
func (s *Server) Close() error {
	s.cancel()
	s.serving.Wait()
	return nil
}

// service holds the methods that net/rpc calls.
type service struct {
	ctx     context.Context
	handler Handler
	log     zerolog.Logger
}

// Heartbeat exchanges statuses.
func (s *service) Heartbeat(args Status, reply *Status) (err error) {
	defer netrpc.Recovered(s.log, "Heartbeat", &err)
	return setReply(reply)(s.handler.Heartbeat(s.ctx, args))
}

// Records returns records of the log.
func (s *service) Records(args RecordsArgs, reply *RecordsReply) (err error) {
	defer netrpc.Recovered(s.log, "Records", &err)
	return setReply(reply)(s.handler.Records(s.ctx, args))
}

// Snapshot returns the complete state.
func (s *service) Snapshot(args SnapshotArgs, reply *SnapshotReply) (err error) {
	defer netrpc.Recovered(s.log, "Snapshot", &err)
	return setReply(reply)(s.handler.Snapshot(s.ctx, args))
}

// Append appends a record for a peer.
func (s *service) Append(args AppendArgs, reply *AppendReply) (err error) {
	defer netrpc.Recovered(s.log, "Append", &err)
	ctx, cancel := context.WithTimeout(s.ctx, DefaultTimeout)
	defer cancel()
	return setReply(reply)(s.handler.Append(ctx, args))
}

// Forward runs a request whose id this VM issued.
func (s *service) Forward(args ForwardArgs, reply *ResultReply) (err error) {
	defer netrpc.Recovered(s.log, "Forward", &err)
	ctx, cancel := context.WithTimeout(s.ctx, args.TimeLeft)
	defer cancel()
	return setReply(reply)(s.handler.Forward(ctx, args))
}

// Result returns the outcome of a request.
func (s *service) Result(args ResultArgs, reply *ResultReply) (err error) {
	defer netrpc.Recovered(s.log, "Result", &err)
	return setReply(reply)(s.handler.Result(s.ctx, args))
}

// setReply stores a handler's result in reply. net/rpc sends an error as text, so the text is prefixed with the error's kind.
func setReply[T any](reply *T) func(T, error) error {
	return func(value T, err error) error {
		*reply = value
		if err == nil {
			return nil
		}
		kind := string(errkind.Of(err)) + ": "
		return errors.New(kind + strings.TrimPrefix(err.Error(), kind))
	}
}

// LogSource implements the Records, Snapshot and Append methods of a Handler with the VM's own follower, store and log. It is
// embedded in Handler implementations.
type LogSource struct {
	Follower *logclient.Follower
	Store    *fleet.Store
	Log      logclient.Log
}

// Append appends a record for a peer. Each peer has one append in flight, so concurrent calls are at most as many as peers.
func (l LogSource) Append(ctx context.Context, args AppendArgs) (AppendReply, error) {
	offset, err := l.Log.Append(ctx, args.Data)
	return AppendReply{Offset: offset}, errkind.Wrap(errkind.LogUnavailable, err)
}

// maxRecords limits the number of records in one reply.
const maxRecords = 1000

// Records returns recent records from the follower's memory.
func (l LogSource) Records(_ context.Context, args RecordsArgs) (RecordsReply, error) {
	limit := min(max(1, args.Limit), maxRecords)
	records, ok := l.Follower.Recent(args.From, limit)
	return RecordsReply{Records: records, NeedSnapshot: !ok}, nil
}

// Snapshot returns the complete state.
func (l LogSource) Snapshot(context.Context, SnapshotArgs) (SnapshotReply, error) {
	state := l.Store.Copy()
	data, err := state.Encode()
	return SnapshotReply{Offset: state.Offset, State: data}, errkind.Wrap(errkind.Internal, err)
}
