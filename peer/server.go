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

// Handler answers the calls of peers. Its errors keep their kind on the way to the caller. It is called concurrently; ctx ends
// with the server.
type Handler interface {
	// Heartbeat takes the caller's status and returns the VM's own.
	Heartbeat(ctx context.Context, from Status) (Status, error)
	Records(ctx context.Context, args RecordsArgs) (RecordsReply, error)
	Snapshot(ctx context.Context, args SnapshotArgs) (SnapshotReply, error)
	// Append appends a record to the log for a peer that cannot reach the platform.
	Append(ctx context.Context, args AppendArgs) (AppendReply, error)
	// Forward runs a request whose id this VM issued. ctx ends with the request's time left, too.
	Forward(ctx context.Context, args ForwardArgs) (ResultReply, error)
	Result(ctx context.Context, args ResultArgs) (ResultReply, error)
}

// serviceName is the name of the net/rpc service.
const serviceName = "Peer"

// maxConnections bounds the connections of a server: a few for each of 9 peers, with room for those that are broken but not
// yet closed.
const maxConnections = 256

// Server serves a Handler to peers.
type Server struct {
	listener net.Listener
	cancel   context.CancelFunc
	serving  sync.WaitGroup
}

// Listen serves h on an address, such as 10.0.0.1:7100, until Close.
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
		panic(err) // the methods of service are fixed
	}
	s.serving.Go(func() { netrpc.Serve(ctx, listener, methods, bounds, log) })
	return s
}

// Addr returns the address that is listened on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends all connections and waits for them. It always succeeds.
func (s *Server) Close() error {
	s.cancel()
	s.serving.Wait()
	return nil
}

// service has the methods that net/rpc calls.
type service struct {
	ctx     context.Context
	handler Handler
	log     zerolog.Logger
}

// Heartbeat exchanges statuses.
func (s *service) Heartbeat(args Status, reply *Status) (err error) {
	defer netrpc.Recovered(s.log, "Heartbeat", &err)
	return answer(reply)(s.handler.Heartbeat(s.ctx, args))
}

// Records returns records of the log.
func (s *service) Records(args RecordsArgs, reply *RecordsReply) (err error) {
	defer netrpc.Recovered(s.log, "Records", &err)
	return answer(reply)(s.handler.Records(s.ctx, args))
}

// Snapshot returns the whole state.
func (s *service) Snapshot(args SnapshotArgs, reply *SnapshotReply) (err error) {
	defer netrpc.Recovered(s.log, "Snapshot", &err)
	return answer(reply)(s.handler.Snapshot(s.ctx, args))
}

// Append appends a record for a peer.
func (s *service) Append(args AppendArgs, reply *AppendReply) (err error) {
	defer netrpc.Recovered(s.log, "Append", &err)
	ctx, cancel := context.WithTimeout(s.ctx, DefaultTimeout)
	defer cancel()
	return answer(reply)(s.handler.Append(ctx, args))
}

// Forward runs a request whose id this VM issued.
func (s *service) Forward(args ForwardArgs, reply *ResultReply) (err error) {
	defer netrpc.Recovered(s.log, "Forward", &err)
	ctx, cancel := context.WithTimeout(s.ctx, args.TimeLeft)
	defer cancel()
	return answer(reply)(s.handler.Forward(ctx, args))
}

// Result tells what became of a request.
func (s *service) Result(args ResultArgs, reply *ResultReply) (err error) {
	defer netrpc.Recovered(s.log, "Result", &err)
	return answer(reply)(s.handler.Result(s.ctx, args))
}

// answer stores what a handler returned. net/rpc sends an error as text, so the text starts with the kind.
func answer[T any](reply *T) func(T, error) error {
	return func(value T, err error) error {
		*reply = value
		if err == nil {
			return nil
		}
		kind := string(errkind.Of(err)) + ": "
		return errors.New(kind + strings.TrimPrefix(err.Error(), kind))
	}
}

// LogSource answers the calls for records and snapshots from a VM's own follower and store, and appends to the log for peers. A
// Handler embeds it.
type LogSource struct {
	Follower *logclient.Follower
	Store    *fleet.Store
	Log      logclient.Log
}

// Append appends a record for a peer. Each peer has one append in flight, so there are at most as many calls as peers.
func (l LogSource) Append(ctx context.Context, args AppendArgs) (AppendReply, error) {
	offset, err := l.Log.Append(ctx, args.Data)
	return AppendReply{Offset: offset}, errkind.Wrap(errkind.LogUnavailable, err)
}

// maxRecords bounds the records of one answer.
const maxRecords = 1000

// Records returns recent records.
func (l LogSource) Records(_ context.Context, args RecordsArgs) (RecordsReply, error) {
	limit := min(max(1, args.Limit), maxRecords)
	records, ok := l.Follower.Recent(args.From, limit)
	return RecordsReply{Records: records, NeedSnapshot: !ok}, nil
}

// Snapshot returns the whole state.
func (l LogSource) Snapshot(context.Context, SnapshotArgs) (SnapshotReply, error) {
	state := l.Store.Copy()
	data, err := state.Encode()
	return SnapshotReply{Offset: state.Offset, State: data}, errkind.Wrap(errkind.Internal, err)
}
