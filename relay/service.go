// Package relay lets other nodes send the dispatcher's orders to backend servers. The dispatcher makes all decisions; each relay makes the calls
// to its share of the servers, so that the processor and the network link of one VM don't limit how many tasks a fleet starts. A relay stores
// nothing: an order without an answer is treated as if its backend server had not answered.
package relay

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/internal/netrpc"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/platform"
)

// ServerClient calls backend servers.
type ServerClient interface {
	Start(ctx context.Context, server jobs.Server, o jobs.Order) jobs.StartResult
	Stop(ctx context.Context, server jobs.Server, task string, attempt, fence int64) bool
	Pace(ctx context.Context, server jobs.Server, task string, attempt, fence int64, percent int) bool
	Renew(ctx context.Context, server jobs.Server, r platform.Renewal) (jobs.Report, platform.RenewalResult)
}

const (
	// serviceName is the name of the net/rpc service.
	serviceName = "Relay"
	// maxRequestBytes bounds a request. The largest requests carry records of up to 1 MB that a node wants to have stored.
	maxRequestBytes = 2 << 20
	// maxConnections bounds the connections of a relay: one from each of several hundred nodes that may become the dispatcher in turn.
	maxConnections = 1024
)

// Target identifies an incarnation of a backend server to a relay.
type Target struct {
	ID, Address string
	DataCentre  string // empty if the dispatcher doesn't name it
	BornMS      int64  // start of the incarnation, Unix time; 0 if it isn't known
}

func (t Target) server() jobs.Server {
	return jobs.Server{ID: t.ID, Address: t.Address, DataCentre: t.DataCentre, BornMS: t.BornMS}
}

// StartArgs asks for the start of a task.
type StartArgs struct {
	Server Target
	Order  jobs.Order
}

// StartReply is the backend server's answer to a start.
type StartReply struct{ Result jobs.StartResult }

// RunArgs asks for the stop of a run, or for a change of its pace.
type RunArgs struct {
	Server         Target
	Task           string
	Attempt, Fence int64
	Percent        int // of full speed, for a change of pace
}

// RunReply says whether the backend server has confirmed the order.
type RunReply struct{ Confirmed bool }

// RenewArgs asks for a renewal of leases.
type RenewArgs struct {
	Server  Target
	Renewal platform.Renewal
}

// RenewReply is the backend server's report and the result of the renewal.
type RenewReply struct {
	Report jobs.Report
	Result platform.RenewalResult
}

// PingArgs and PingReply are the empty messages of a ping.
type (
	PingArgs  struct{}
	PingReply struct{}
)

// noToken is lower than every fencing token.
const noToken = -1

// Service is the net/rpc service of a relay. It executes the orders of dispatchers.
type Service struct {
	ctx     context.Context
	servers ServerClient
	log     zerolog.Logger

	mu     sync.Mutex
	fenced int64 // the highest fencing token that a backend server has refused
}

// Serve serves the calls of other nodes on a listener until ctx ends: the orders of dispatchers, and the methods of additional services, which
// are registered under the keys of additional.
func Serve(ctx context.Context, l net.Listener, servers ServerClient, additional map[string]any, log zerolog.Logger) error {
	handler := rpc.NewServer()
	if err := handler.RegisterName(serviceName, &Service{ctx: ctx, servers: servers, log: log, fenced: noToken}); err != nil {
		return err
	}
	for name, service := range additional {
		if err := handler.RegisterName(name, service); err != nil {
			return err
		}
	}
	netrpc.Serve(ctx, l, handler, netrpc.Bounds{MaxRequestBytes: maxRequestBytes, MaxConnections: maxConnections, FlushInterval: flushInterval}, log)
	return nil
}

// outdated reports whether a backend server has refused this or a higher fencing token, so that its dispatcher has been replaced.
func (s *Service) outdated(fence int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fence <= s.fenced
}

// markRefused records that a backend server has refused a fencing token.
func (s *Service) markRefused(fence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fenced = max(s.fenced, fence)
}

// Start starts a task.
func (s *Service) Start(args StartArgs, reply *StartReply) (err error) {
	defer netrpc.Recovered(s.log, "Start", &err)
	if s.outdated(args.Order.Fence) {
		reply.Result = jobs.StartFenced
		return nil
	}
	reply.Result = s.servers.Start(s.ctx, args.Server.server(), args.Order)
	if reply.Result == jobs.StartFenced {
		s.markRefused(args.Order.Fence)
	}
	return nil
}

// Stop ends a run.
func (s *Service) Stop(args RunArgs, reply *RunReply) (err error) {
	defer netrpc.Recovered(s.log, "Stop", &err)
	if !s.outdated(args.Fence) {
		reply.Confirmed = s.servers.Stop(s.ctx, args.Server.server(), args.Task, args.Attempt, args.Fence)
	}
	return nil
}

// Pace sets the speed of a run as a percentage of its full speed.
func (s *Service) Pace(args RunArgs, reply *RunReply) (err error) {
	defer netrpc.Recovered(s.log, "Pace", &err)
	if !s.outdated(args.Fence) {
		reply.Confirmed = s.servers.Pace(s.ctx, args.Server.server(), args.Task, args.Attempt, args.Fence, args.Percent)
	}
	return nil
}

// Renew extends the leases on a backend server and returns its report.
func (s *Service) Renew(args RenewArgs, reply *RenewReply) (err error) {
	defer netrpc.Recovered(s.log, "Renew", &err)
	if s.outdated(args.Renewal.Fence) {
		reply.Result = platform.RenewalFenced
		return nil
	}
	reply.Report, reply.Result = s.servers.Renew(s.ctx, args.Server.server(), args.Renewal)
	if reply.Result == platform.RenewalFenced {
		s.markRefused(args.Renewal.Fence)
	}
	return nil
}

// Ping does nothing. Its answer shows the dispatcher that the relay works.
func (s *Service) Ping(_ PingArgs, _ *PingReply) error { return nil }
