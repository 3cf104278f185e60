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

func (m *model) preemptOn(v *entryVM) {
	if !m.preempt {
		return
	}
	u := fairshare.UrgentLoad{FreeSlots: free(m.view(v))}
	u.Overdue, _ = m.pressure(v)
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
		m.at(checkpoint, func() { m.endTask(v, r, start, true, true) })
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

func free(servers []routing.Server) int {
	sum := 0
	for _, s := range servers {
		if !s.Ejected {
			sum += max(0, s.Free())
		}
	}
	return sum
}

func (m *model) fairView(v *entryVM, room int) fairshare.View {
	running := maps.Clone(v.byTeam)
	view := fairshare.View{
		Shares: m.shares, Running: running, FreeSlots: room, HeldSlots: len(v.running), HeldUrgentSlots: m.heldUrgent(v), Allotment: v.allotment,
		ReservedSlots: fairshare.Reserve(m.servers*slotsPerServer, m.reserve), MayStart: func(string) bool { return true },
	}
	if m.fifo || m.alone {
		view.Allotment = 0
		return view
	}
	for _, p := range v.peers {
		for name, n := range p.demand.Running {
			running[name] += n
		}
	}
	if !m.momentary {
		view.Usage = v.usage.Excess(m.clock())
	}
	return view
}

func (m *model) heldUrgent(v *entryVM) int {
	_, overnight := m.pressure(v)
	return len(v.running) - overnight
}

func (m *model) dispatch(v *entryVM) {
	for !v.dead && len(v.waiting) > 0 && m.now >= v.blocked {
		servers := m.view(v)
		room := free(servers)
		probe := m.probe > 0 && room <= 0 && v.prober.Allowed(m.clock())
		if room <= 0 && !probe {
			m.wakeForProbe(v)
			return
		}
		fair := m.fairView(v, max(room, 1))
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
		i, ok := m.choose(servers, v.centre, r.exclude, m.rnd)
		if !ok && probe {
			i, ok = routing.ChooseProbe(servers, r.exclude, m.rnd)
			r.probe = ok
			v.prober.Sent(m.clock())
		}
		if !ok {
			v.queue.Return(item)
			r.exclude = nil
			v.blocked = m.now + blockedFor
			m.at(blockedFor, func() { m.dispatch(v) })
			return
		}
		delete(v.waiting, item.ID)
		m.send(v, r, i)
	}
}

// wakeForProbe dispatches again when the next probe is due.
func (m *model) wakeForProbe(v *entryVM) {
	if m.probe > 0 && !v.waking {
		v.waking = true
		m.at(max(m.probe, 5*time.Millisecond), func() { v.waking = false; m.dispatch(v) })
	}
}

func (m *model) count(v *entryVM, r *request, by int) {
	v.local[r.server] += by
	v.byTeam[r.team.name] += by
	v.usage.SetRunning(v.name, maps.Clone(v.byTeam), m.clock())
}

func (m *model) send(v *entryVM, r *request, i int) {
	r.server = i
	v.running[r.item.ID] = r
	m.count(v, r, 1)
	v.health.Started(m.pool[i], m.clock())
	m.at(m.hop(), func() {
		if m.busy[i] >= slotsPerServer {
			m.refusals++
			m.at(m.hop(), func() { m.onRefused(v, r) })
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
		if i < m.bad || r.poison {
			run, ok = failFast, false
		}
		start := r.starts
		m.at(run, func() { m.endTask(v, r, start, ok, false) })
	})
}

// endTask ends one start of a task on its server, unless it has ended, and tells its entry VM.
func (m *model) endTask(v *entryVM, r *request, start int, ok, stopped bool) {
	if !r.onServer || r.starts != start {
		return
	}
	r.onServer = false
	r.run -= m.now - r.startAt
	m.busy[r.server]--
	m.held[r.team.name]--
	m.at(m.hop(), func() { m.onEnd(v, r, r.server, ok, stopped) })
}

func (m *model) onRefused(v *entryVM, r *request) {
	delete(v.running, r.item.ID)
	m.count(v, r, -1)
	m.probeEnded(v, r, false)
	v.full.Refused(m.pool[r.server], m.clock())
	if r.exclude == nil {
		r.exclude = map[string]bool{}
	}
	r.exclude[m.pool[r.server]] = true
	m.again(v, r)
}

func (m *model) probeEnded(v *entryVM, r *request, taken bool) {
	if r.probe {
		v.prober.Completed(taken)
		r.probe = false
	}
}

func (m *model) again(v *entryVM, r *request) {
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
	m.count(v, r, -1)
	v.full.TaskEnded(m.pool[i])
	r.stopping = false
	switch {
	case stopped:
		m.again(v, r)
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
	m.again(v, r)
}
