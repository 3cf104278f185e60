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

// clockSample is a reading of a server's own clock from a response.
type clockSample struct {
	bootID     string    // id of the boot in which the clock was read
	millis     int64     // the server's own clock, in milliseconds
	receivedAt time.Time // when the response was received, after the clock was read
}

// serverTime returns a time on the server's clock that is certainly not after t, if the rates of the two clocks differ by at most one part
// in rate.
func (s clockSample) serverTime(t time.Time, rate int) int64 {
	span := t.Sub(s.receivedAt)
	return s.millis + (span - span/time.Duration(rate)).Milliseconds()
}

// server is the engine's state of one backend server.
type server struct {
	address        string
	pool           string
	dataCentre     string
	slots          int
	maxConnections int // this VM's share of the connections to the server
	epoch          uint64
	available      bool // according to the fold
	leaving        bool // being drained or moved, according to the fold
	draining       bool // according to the server itself
	clock          clockSample
	polledAt       time.Time
	polling        bool
	// refusals and backoffUntil keep work away from a server that refuses it. Reading its status resets refusals.
	refusals     int
	backoffUntil time.Time
}

const (
	// maxClockSampleAge is the age of a clock sample up to which a server gets work. A server that has not responded for longer is
	// down or unreachable, and may have restarted with another clock.
	maxClockSampleAge = 75 * time.Second
	// pollPeriod is how often a server is polled or the leases of its tasks are renewed. idlePollPeriod applies to a server
	// without a lease to renew that neither drains nor refuses work. With 600 servers, polling each every 5 s would exceed a node's limit on
	// control traffic. A restart between two polls is detected by the boot id.
	pollPeriod     = 5 * time.Second
	idlePollPeriod = 30 * time.Second
	pollTimeout    = 2 * time.Second
	// Bounds of the backoff after a server refused a task before its start.
	minServerBackoff = 100 * time.Millisecond
	maxServerBackoff = 5 * time.Second
)

// setServersLocked updates the servers from the fold's VMs and the configuration.
func (e *Engine) setServersLocked(vms map[string]fleet.VM) {
	config := e.options.Store.Config()
	entryVMs := max(1, len(config.EntryVMs))
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
		s.pool, s.dataCentre, s.epoch = vm.Pool, declared.DataCentre, vm.Epoch
		s.available = vm.Available()
		s.leaving = vm.Phase == fleet.Draining || vm.Phase == fleet.Moving
		s.slots = declared.Slots
		s.maxConnections = s.slots
		if declared.Connections > 0 {
			s.maxConnections = max(1, declared.Connections/entryVMs)
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
	ejected := e.health.EjectedServers(e.byPool[pool], now)
	for _, name := range e.byPool[pool] {
		s := e.servers[name]
		if !s.available || s.draining || now.Sub(s.clock.receivedAt) > maxClockSampleAge ||
			now.Before(s.backoffUntil) || e.localLoad[name] >= s.maxConnections {
			continue
		}
		candidates = append(candidates, routing.Server{
			Name: name, DataCentre: s.dataCentre, Slots: s.slots,
			LocalTasks: e.localLoad[name], RemoteTasks: e.remoteLoad[name], Ejected: ejected[name],
			Full: e.full.Full(name, now), Failures: e.health.Failures(name),
		})
	}
	return candidates
}

// recordRefusalLocked keeps work away from a server that refused a task. A server without a free slot gets one as soon as any of its tasks
// ends, so it is marked as full only briefly. After any other refusal the server is due for a poll, and gets no work during its backoff.
func (e *Engine) recordRefusalLocked(name string, err error, now time.Time) {
	e.health.Inconclusive(name)
	if errors.Is(err, backend.ErrBusy) {
		e.full.Refused(name, now)
		return
	}
	s, ok := e.servers[name]
	if !ok {
		return
	}
	backoff := min(minServerBackoff<<min(s.refusals, 10), maxServerBackoff)
	s.refusals++
	s.backoffUntil = now.Add(backoff)
	s.polledAt = time.Time{}
}

// forgetClockLocked drops the clock sample of a server that has restarted. The server gets no work until its new clock has been read.
func (e *Engine) forgetClockLocked(name string, boot string) {
	if s, ok := e.servers[name]; ok && s.clock.bootID == boot {
		s.clock = clockSample{}
		s.polledAt = time.Time{}
		go e.pollServers(e.baseCtx)
	}
}

// pollServers polls the servers that are due, each in its own goroutine. At most one poll per server is in progress.
func (e *Engine) pollServers(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	renew := e.serversToRenewLocked(now)
	for _, name := range slices.Sorted(maps.Keys(e.servers)) {
		s := e.servers[name]
		fresh := now.Sub(s.polledAt) < s.pollPeriod(renew[name]) && !s.clock.receivedAt.IsZero()
		if s.polling || fresh {
			continue
		}
		s.polling = true
		s.polledAt = now
		until := e.extendLeasesLocked(name, s, now)
		go e.pollServer(ctx, name, s, s.clock.bootID, until)
	}
}

// renewAfter is the age from which a task's lease is renewed. Most tasks end earlier and need no renewal.
const renewAfter = 4 * time.Second

// serversToRenewLocked returns the servers on which this VM has tasks whose leases are to be renewed.
func (e *Engine) serversToRenewLocked(now time.Time) map[string]bool {
	servers := map[string]bool{}
	for _, t := range e.tasks {
		if !t.lost && now.Sub(t.startedAt) >= renewAfter {
			servers[t.server] = true
		}
	}
	return servers
}

// pollPeriod returns the server's poll period. It is short if a lease is to be renewed, or if the server drains or refuses work.
func (s *server) pollPeriod(renew bool) time.Duration {
	if renew || s.draining || s.refusals > 0 {
		return pollPeriod
	}
	return idlePollPeriod
}

// extendLeasesLocked extends the leases of this VM's tasks on a server, and returns their ends on the server's clock. The end is recorded
// before it is sent, because the server may apply it even if its response is lost.
func (e *Engine) extendLeasesLocked(name string, s *server, now time.Time) map[string]int64 {
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
		until[t.id] = s.clock.serverTime(end, e.options.Limits.ClockDriftDivisor)
	}
	return until
}

// rankLocked returns a task's position among the tasks of its team, from 0 for the oldest.
func (e *Engine) rankLocked(t *task) int {
	rank := 0
	for _, other := range e.tasks {
		if other.team == t.team && other.startSeq < t.startSeq {
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
	s.clock = clockSample{bootID: status.BootID, millis: status.ClockMillis, receivedAt: receivedAt}
	s.draining = status.Draining
	s.refusals = 0
	e.dispatchAllLocked()
}

func (e *Engine) fence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.member.Fence
}
