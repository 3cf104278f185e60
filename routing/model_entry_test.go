package routing_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/routing"
)

// preemptTasks checkpoints the overnight tasks of a VM that Preempt selects.
func (m *model) preemptTasks(v *entryVM) {
	if !m.preempt {
		return
	}
	u := fairshare.UrgentLoad{FreeSlots: freeSlots(m.view(v))}
	u.Overdue, _ = m.overdueAndOvernight(v)
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		u.PeersOverdue = append(u.PeersOverdue, v.peers[name].overdue)
		u.PeersOvernight = append(u.PeersOvernight, v.peers[name].overnight)
	}
	var tasks []fairshare.RunningTask
	for id, r := range v.running {
		if r.team.class == fleet.Overnight {
			started := time.Unix(0, 0).Add(r.arrived)
			tasks = append(tasks, fairshare.RunningTask{ID: fmt.Sprint(id), Team: r.team.name, Started: started, Checkpointing: r.stopping})
		}
	}
	for _, id := range fairshare.Preempt(u, tasks, v.usage.Excess(m.clock()), m.shares) {
		n, _ := strconv.ParseUint(id, 10, 64)
		r := v.running[n]
		r.stopping = true
		m.checkpoints++
		start := r.starts
		m.after(checkpointTime, func() { m.endTask(v, r, start, true, true) })
	}
}

func (m *model) view(v *entryVM) []routing.Server {
	servers := make([]routing.Server, m.servers)
	out := v.health.EjectedServers(m.pool, m.clock())
	for i, name := range m.pool {
		servers[i] = routing.Server{Name: name, DataCentre: fmt.Sprint("dc-", i%3), Slots: slotsPerServer, LocalTasks: v.local[i]}
		if m.localView {
			continue
		}
		for _, p := range v.peers {
			servers[i].RemoteTasks += p.outstanding[i]
		}
		servers[i].Full = v.full.Full(name, m.clock())
		if !m.noHealth {
			servers[i].Failures = v.health.Failures(name)
		}
	}
	for i, name := range m.pool {
		servers[i].Ejected = out[name] && !m.noHealth
	}
	m.ejections = max(m.ejections, len(out))
	return servers
}

// freeSlots returns the free slots of the servers that are not ejected.
func freeSlots(servers []routing.Server) int {
	sum := 0
	for _, s := range servers {
		if !s.Ejected {
			sum += max(0, s.Free())
		}
	}
	return sum
}

func (m *model) fairView(v *entryVM, free int) fairshare.View {
	running := maps.Clone(v.byTeam)
	view := fairshare.View{
		Shares: m.shares, Running: running, FreeSlots: free, HeldSlots: len(v.running), HeldUrgentSlots: m.heldUrgent(v), Allotment: v.allotment,
		ReservedSlots: fairshare.Reserve(m.servers*slotsPerServer, m.reserve), MayStart: func(string) bool { return true },
	}
	if m.fifo || m.perVMShares {
		view.Allotment = 0
		return view
	}
	for _, p := range v.peers {
		for name, n := range p.demand.Running {
			running[name] += n
		}
	}
	if !m.noDecay {
		view.Usage = v.usage.Excess(m.clock())
	}
	return view
}

func (m *model) heldUrgent(v *entryVM) int {
	_, overnight := m.overdueAndOvernight(v)
	return len(v.running) - overnight
}

func (m *model) dispatch(v *entryVM) {
	for !v.dead && len(v.waiting) > 0 && m.now >= v.pausedUntil {
		servers := m.view(v)
		free := freeSlots(servers)
		probe := m.probeInterval > 0 && free <= 0 && v.prober.Allowed(m.clock())
		if free <= 0 && !probe {
			m.scheduleProbe(v)
			return
		}
		fair := m.fairView(v, max(free, 1))
		item, ok := v.queue.Next(fair)
		if !ok {
			return
		}
		r := v.waiting[item.ID]
		if r.team.deadline > 0 && m.now-r.arrived >= r.team.deadline {
			m.refused++
			delete(v.waiting, item.ID)
			continue
		}
		i, ok := m.choose(servers, v.dataCentre, r.exclude, m.rnd)
		if !ok && probe {
			i, ok = routing.ChooseProbe(servers, r.exclude, m.rnd)
			r.probe = ok
			v.prober.Sent(m.clock())
		}
		if !ok {
			v.queue.Return(item)
			r.exclude = nil
			v.pausedUntil = m.now + noServerPause
			m.after(noServerPause, func() { m.dispatch(v) })
			return
		}
		delete(v.waiting, item.ID)
		m.send(v, r, i)
	}
}

// scheduleProbe schedules a dispatch that may send the next probe, unless one is scheduled.
func (m *model) scheduleProbe(v *entryVM) {
	if m.probeInterval > 0 && !v.probeScheduled {
		v.probeScheduled = true
		m.after(max(m.probeInterval, 5*time.Millisecond), func() { v.probeScheduled = false; m.dispatch(v) })
	}
}

func (m *model) countTask(v *entryVM, r *request, by int) {
	v.local[r.server] += by
	v.byTeam[r.team.name] += by
	v.usage.SetRunning(v.name, maps.Clone(v.byTeam), m.clock())
}

func (m *model) send(v *entryVM, r *request, i int) {
	r.server = i
	v.running[r.item.ID] = r
	m.countTask(v, r, 1)
	v.health.Started(m.pool[i], m.clock())
	m.after(m.networkDelay(), func() {
		if m.busy[i] >= slotsPerServer {
			m.refusals++
			m.after(m.networkDelay(), func() { m.onRefused(v, r) })
			return
		}
		m.probeEnded(v, r, true)
		m.busy[i]++
		m.held[r.team.name]++
		if r.starts == 0 {
			m.started++
			m.delays[r.team.class] = append(m.delays[r.team.class], m.now-r.arrived)
		}
		r.starts++
		r.onServer, r.startAt = true, m.now
		run, ok := r.run, true
		if i < m.badServers || r.poison {
			run, ok = failureTime, false
		}
		start := r.starts
		m.after(run, func() { m.endTask(v, r, start, ok, false) })
	})
}

// endTask ends the given start of a task on its server, unless it has already ended, and notifies its entry VM.
func (m *model) endTask(v *entryVM, r *request, start int, ok, stopped bool) {
	if !r.onServer || r.starts != start {
		return
	}
	r.onServer = false
	r.run -= m.now - r.startAt
	m.busy[r.server]--
	m.held[r.team.name]--
	m.after(m.networkDelay(), func() { m.onEnd(v, r, r.server, ok, stopped) })
}

func (m *model) onRefused(v *entryVM, r *request) {
	delete(v.running, r.item.ID)
	m.countTask(v, r, -1)
	m.probeEnded(v, r, false)
	v.full.Refused(m.pool[r.server], m.clock())
	if r.exclude == nil {
		r.exclude = map[string]bool{}
	}
	r.exclude[m.pool[r.server]] = true
	m.requeue(v, r)
}

func (m *model) probeEnded(v *entryVM, r *request, accepted bool) {
	if r.probe {
		v.prober.Completed(accepted)
		r.probe = false
	}
}

// requeue returns a request to its entry VM's queue, or sends it to another VM if that one is gone.
func (m *model) requeue(v *entryVM, r *request) {
	if v.dead {
		m.arrive(r)
		return
	}
	v.waiting[r.item.ID] = r
	v.queue.Return(r.item)
	m.dispatch(v)
}

func (m *model) onEnd(v *entryVM, r *request, i int, ok, stopped bool) {
	delete(v.running, r.item.ID)
	m.countTask(v, r, -1)
	v.full.TaskEnded(m.pool[i])
	r.stopping = false
	switch {
	case stopped:
		m.requeue(v, r)
	case ok:
		v.health.Report(m.pool[i], true, m.pool, m.clock())
		v.times.Observe("queue", r.team.name, m.now-r.startAt, time.Unix(0, 0).Add(m.now))
		m.done++
		if r.team.deadline > 0 && m.now-r.arrived > r.team.deadline {
			m.late++
		}
	default:
		m.onFailed(v, r, i)
	}
	m.dispatch(v)
}

func (m *model) onFailed(v *entryVM, r *request, i int) {
	r.attempts++
	if r.failedOn == "" {
		v.health.Report(m.pool[i], false, m.pool, m.clock())
	} else {
		v.health.RetractFailure(r.failedOn)
	}
	r.failedOn = m.pool[i]
	if !routing.MayRetry(errkind.BackendFailed, true, r.attempts, v.budget) {
		m.failed++
		return
	}
	m.retries++
	if r.exclude == nil {
		r.exclude = map[string]bool{}
	}
	r.exclude[m.pool[i]] = true
	m.requeue(v, r)
}
