package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/routing"
)

// clockSample is a server's own clock as read in a response.
type clockSample struct {
	boot       string    // boot of the server that the clock belongs to
	server     int64     // milliseconds of the server's own clock
	receivedAt time.Time // when the response was received, after the clock was read
}

// at returns the time on the server's clock that is certainly not after t, for clocks whose rates differ by one part in rate.
func (s clockSample) at(t time.Time, rate int) int64 {
	span := t.Sub(s.receivedAt)
	return s.server + (span - span/time.Duration(rate)).Milliseconds()
}

// server is what the engine knows of a backend server.
type server struct {
	address     string
	pool        string
	centre      string
	slots       int
	connections int // this VM's part of the connections to the server
	epoch       uint64
	serving     bool // by the fold
	leaving     bool // being drained or moved, by the fold
	draining    bool // by the server itself
	clock       clockSample
	polledAt    time.Time
	polling     bool
	// refusals and coolUntil keep work away from a server that refuses, until its status says why.
	refusals  int
	coolUntil time.Time
}

const (
	// maxSampleAge is the age of a clock sample up to which a server gets work. A server that was silent for longer is down
	// or cut off, and may have started again with another clock.
	maxSampleAge = 75 * time.Second
	// pollPeriod is how often a server is asked for its status or its task leases are renewed, and idlePollPeriod how often one is asked on
	// which this VM runs nothing. At 600 servers, asking all of them every 5 s would take more than the control traffic that a node may
	// have. A restart in between is noticed by the boot id.
	pollPeriod     = 5 * time.Second
	idlePollPeriod = 30 * time.Second
	pollTimeout    = 2 * time.Second
	// Pauses after refusals before the start.
	minCool = 100 * time.Millisecond
	maxCool = 5 * time.Second
)

// setServersLocked takes the servers of the fold.
func (e *Engine) setServersLocked(vms map[string]fleet.VM) {
	config := e.options.Store.Config()
	share := max(1, len(config.EntryVMs))
	byPool := map[string][]string{}
	for name, vm := range vms {
		declared, ok := config.Servers[name]
		if !ok {
			continue
		}
		s, ok := e.servers[name]
		if !ok || s.address != declared.Address {
			s = &server{address: declared.Address}
			e.servers[name] = s
		}
		s.pool, s.centre, s.epoch = vm.Pool, declared.DataCentre, vm.Epoch
		s.serving = vm.Available()
		s.leaving = vm.Phase == fleet.Draining || vm.Phase == fleet.Moving
		s.slots = declared.Slots
		s.connections = s.slots
		if declared.Connections > 0 {
			s.connections = max(1, declared.Connections/share)
		}
		byPool[vm.Pool] = append(byPool[vm.Pool], name)
	}
	known := map[string]bool{}
	for name := range e.servers {
		_, known[name] = vms[name]
		if !known[name] {
			delete(e.servers, name)
		}
	}
	for _, names := range byPool {
		slices.Sort(names)
	}
	e.health.Retain(known)
	e.byPool = byPool
}

// candidatesLocked returns the servers of a pool that may get work.
func (e *Engine) candidatesLocked(pool string, now time.Time) []routing.Server {
	var candidates []routing.Server
	out := e.health.EjectedServers(e.byPool[pool], now)
	for _, name := range e.byPool[pool] {
		s := e.servers[name]
		if !s.serving || s.draining || now.Sub(s.clock.receivedAt) > maxSampleAge || now.Before(s.coolUntil) || e.local[name] >= s.connections {
			continue
		}
		candidates = append(candidates, routing.Server{
			Name: name, DataCentre: s.centre, Slots: s.slots,
			LocalTasks: e.local[name], RemoteTasks: e.remoteLoad[name], Ejected: out[name],
			Full: e.full.Full(name, now), Failures: e.health.Failures(name),
		})
	}
	return candidates
}

// refusedLocked keeps work away from a server that refused. A server without a free slot gets one with the end of any of its tasks, so
// its mark is short; for another reason the server is polled at once and rests until its status says why.
func (e *Engine) refusedLocked(name string, err error, now time.Time) {
	e.health.Inconclusive(name)
	if errors.Is(err, backend.ErrBusy) {
		e.full.Refused(name, now)
		return
	}
	s, ok := e.servers[name]
	if !ok {
		return
	}
	cool := min(minCool<<min(s.refusals, 10), maxCool)
	s.refusals++
	s.coolUntil = now.Add(cool)
	s.polledAt = time.Time{}
}

// forgetClockLocked drops the clock sample of a server that has restarted. It gets no work until it has told its new clock.
func (e *Engine) forgetClockLocked(name string, boot string) {
	if s, ok := e.servers[name]; ok && s.clock.boot == boot {
		s.clock = clockSample{}
		s.polledAt = time.Time{}
		go e.pollServers(e.base)
	}
}

// pollServers asks the servers that are due, each in a goroutine, and never two at once for one server.
func (e *Engine) pollServers(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	renew := e.renewalsLocked(now)
	for _, name := range slices.Sorted(maps.Keys(e.servers)) {
		s := e.servers[name]
		fresh := now.Sub(s.polledAt) < s.pollPeriod(renew[name]) && !s.clock.receivedAt.IsZero()
		if s.polling || fresh {
			continue
		}
		s.polling = true
		s.polledAt = now
		until := e.leasesLocked(name, s, now)
		go e.pollServer(ctx, name, s, s.clock.boot, until)
	}
}

// renewAfter is the age from which a task's lease is renewed. Most tasks end before, and cost no renewal.
const renewAfter = 4 * time.Second

// renewalsLocked returns the servers on which this VM has tasks whose leases are to be renewed.
func (e *Engine) renewalsLocked(now time.Time) map[string]bool {
	servers := map[string]bool{}
	for _, t := range e.tasks {
		if !t.lost && now.Sub(t.startedAt) >= renewAfter {
			servers[t.server] = true
		}
	}
	return servers
}

// pollPeriod returns how often a server is asked: often if a lease on it is to be renewed or it refuses work.
func (s *server) pollPeriod(renew bool) time.Duration {
	if renew || s.draining || s.refusals > 0 {
		return pollPeriod
	}
	return idlePollPeriod
}

// leasesLocked extends the leases of this VM's tasks on a server. The end is noted before it is sent: the server may take it even
// if its answer is lost.
func (e *Engine) leasesLocked(name string, s *server, now time.Time) map[string]int64 {
	if s.clock.receivedAt.IsZero() {
		return nil
	}
	until := map[string]int64{}
	for _, t := range e.tasks {
		if t.server != name || t.lost {
			continue
		}
		end := e.holder.TaskLeaseEnd(t.team, e.rankLocked(t), now)
		if end.After(t.leaseEnd) {
			t.leaseEnd = end
		}
		until[t.id] = s.clock.at(end, e.options.Limits.ClockDriftDivisor)
	}
	return until
}

// rankLocked returns a task's place among the tasks of its team, from 0 for the oldest.
func (e *Engine) rankLocked(t *task) int {
	rank := 0
	for _, other := range e.tasks {
		if other.team == t.team && other.number < t.number {
			rank++
		}
	}
	return rank
}

func (e *Engine) pollServer(ctx context.Context, name string, s *server, boot string, until map[string]int64) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var status backend.Status
	var err error
	if len(until) > 0 {
		request := backend.LeaseRequest{Holder: e.options.VM, Fence: e.fence(), BootID: boot, Until: until}
		status, err = e.options.Backend.Renew(ctx, s.address, request)
	} else {
		status, err = e.options.Backend.Status(ctx, s.address)
	}
	receivedAt := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s.polling = false
	if err != nil || status.Name != name {
		return
	}
	s.clock = clockSample{boot: status.BootID, server: status.ClockMillis, receivedAt: receivedAt}
	s.draining = status.Draining
	s.refusals = 0
	e.dispatchAllLocked()
}

func (e *Engine) fence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.member.Fence
}
