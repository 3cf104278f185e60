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
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/rpccodec"
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
	rpc      *rpc.Server
	limit    int64
	ctx      context.Context
	cancel   context.CancelFunc
	serving  sync.WaitGroup
	slots    chan struct{}

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// Listen serves h on an address, such as 10.0.0.1:7100, until Close.
func Listen(address string, h Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, h), nil
}

// Serve serves h on a listener until Close.
func Serve(listener net.Listener, h Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener: listener,
		rpc:      rpc.NewServer(),
		limit:    rpccodec.MaxMessageBytes,
		ctx:      ctx,
		cancel:   cancel,
		slots:    make(chan struct{}, maxConnections),
		conns:    map[net.Conn]bool{},
	}
	if err := s.rpc.RegisterName(serviceName, &service{ctx: ctx, handler: h}); err != nil {
		panic(err) // the methods of service are fixed
	}
	s.serving.Go(s.accept)
	return s
}

// Addr returns the address that is listened on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends all connections and waits for them.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
	return err
}

// acceptPause is the pause after a failed accept, for example when the process has no file descriptors left.
const acceptPause = 50 * time.Millisecond

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if s.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			select {
			case <-time.After(acceptPause):
			case <-s.ctx.Done():
			}
			continue
		}
		s.start(conn)
	}
}

// start serves a connection, or closes it if there are too many.
func (s *Server) start(conn net.Conn) {
	select {
	case s.slots <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	if !s.track(conn) {
		_ = conn.Close()
		<-s.slots
		return
	}
	s.serving.Go(func() {
		s.rpc.ServeCodec(rpccodec.NewServer(conn, s.limit))
		s.forget(conn)
		<-s.slots
	})
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) forget(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// service has the methods that net/rpc calls.
type service struct {
	ctx     context.Context
	handler Handler
}

// Heartbeat exchanges statuses.
func (s *service) Heartbeat(args Status, reply *Status) error {
	return answer(reply)(s.handler.Heartbeat(s.ctx, args))
}

// Records returns records of the log.
func (s *service) Records(args RecordsArgs, reply *RecordsReply) error {
	return answer(reply)(s.handler.Records(s.ctx, args))
}

// Snapshot returns the whole state.
func (s *service) Snapshot(args SnapshotArgs, reply *SnapshotReply) error {
	return answer(reply)(s.handler.Snapshot(s.ctx, args))
}

// Append appends a record for a peer.
func (s *service) Append(args AppendArgs, reply *AppendReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, DefaultTimeout)
	defer cancel()
	return answer(reply)(s.handler.Append(ctx, args))
}

// Forward runs a request whose id this VM issued.
func (s *service) Forward(args ForwardArgs, reply *ResultReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, args.TimeLeft)
	defer cancel()
	return answer(reply)(s.handler.Forward(ctx, args))
}

// Result tells what became of a request.
func (s *service) Result(args ResultArgs, reply *ResultReply) error {
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
