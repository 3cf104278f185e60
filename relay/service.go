// Package relay lets nodes carry out the orders of the dispatcher. The dispatcher decides everything; a relay makes the calls to its share of
// the backend servers, so that the processor and the link of one VM don't bound how many tasks a fleet starts. A relay keeps nothing: an
// order that gets no answer counts as one whose backend server has not answered.
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

// ServerClient makes calls to backend servers.
type ServerClient interface {
	Start(ctx context.Context, server jobs.Server, o jobs.Order) jobs.StartResult
	Stop(ctx context.Context, server jobs.Server, task string, attempt, fence int64) bool
	Pace(ctx context.Context, server jobs.Server, task string, attempt, fence int64, percent int) bool
	Renew(ctx context.Context, server jobs.Server, r platform.Renewal) (jobs.Report, platform.RenewalResult)
}

const (
	// serviceName is the name of the net/rpc service.
	serviceName = "Relay"
	// maxRequestBytes bounds a request. The largest are records of up to 1 MB that a node wants to be stored.
	maxRequestBytes = 2 << 20
	// maxConnections bounds the connections of a relay: one from each of several hundred nodes that may dispatch one after another.
	maxConnections = 1024
)

// Target names a backend server for a relay.
type Target struct{ ID, Address string }

func (t Target) server() jobs.Server { return jobs.Server{ID: t.ID, Address: t.Address} }

// StartArgs is a start of a task.
type StartArgs struct {
	Server Target
	Order  jobs.Order
}

// StartReply is the backend server's answer to a start.
type StartReply struct{ Result jobs.StartResult }

// RunArgs is a stop of a run, or a change of its pace.
type RunArgs struct {
	Server         Target
	Task           string
	Attempt, Fence int64
	Percent        int // of a change of pace
}

// RunReply says whether the backend server has confirmed.
type RunReply struct{ Confirmed bool }

// RenewArgs is a renewal of leases.
type RenewArgs struct {
	Server  Target
	Renewal platform.Renewal
}

// RenewReply is the backend server's report.
type RenewReply struct {
	Report jobs.Report
	Result platform.RenewalResult
}

// PingArgs and PingReply are empty messages that show whether a relay works.
type (
	PingArgs  struct{}
	PingReply struct{}
)

// noToken is below every token.
const noToken = -1

// Service carries out the orders of dispatchers.
type Service struct {
	ctx     context.Context
	servers ServerClient
	log     zerolog.Logger

	mu     sync.Mutex
	fenced int64 // the highest token that a backend server has refused
}

// Serve answers the calls of other nodes that come over a listener until ctx ends: the orders of dispatchers, and the methods of others, by
// the name of their service.
func Serve(ctx context.Context, l net.Listener, servers ServerClient, others map[string]any, log zerolog.Logger) error {
	handler := rpc.NewServer()
	if err := handler.RegisterName(serviceName, &Service{ctx: ctx, servers: servers, log: log, fenced: noToken}); err != nil {
		return err
	}
	for name, service := range others {
		if err := handler.RegisterName(name, service); err != nil {
			return err
		}
	}
	netrpc.Serve(ctx, l, handler, netrpc.Bounds{MessageBytes: maxRequestBytes, Connections: maxConnections}, log)
	return nil
}

// outdated reports whether a backend server has refused a token as high, so that the dispatcher that has it is no longer the one.
func (s *Service) outdated(fence int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fence <= s.fenced
}

func (s *Service) refused(fence int64) {
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
		s.refused(args.Order.Fence)
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

// Pace sets the share of its speed at which a run works.
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
		s.refused(args.Renewal.Fence)
	}
	return nil
}

// Ping answers, so that a dispatcher sees that the relay works.
func (s *Service) Ping(_ PingArgs, _ *PingReply) error { return nil }
