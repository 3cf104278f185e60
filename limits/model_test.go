package limits_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/fakefleet"
	"example.org/comfreyrouter/limits"
)

// task is a task on a server. until is a time of the server's clock, holderEnd one of the holder's.
type task struct {
	id        int
	team      string
	holder    string // incarnation
	server    *server
	ends      time.Duration // simulated time at which its work is done
	until     time.Duration
	holderEnd time.Time
	ended     bool
}

// server runs tasks under leases by its own clock.
type server struct {
	dataCentre string
	rate       float64
	running    map[int]*task
}

func (s *server) now(f *fakefleet.Fleet) time.Duration {
	return time.Duration(float64(f.Elapsed) * s.rate)
}

// node is the part of an entry VM that enforces limits. demand is the number of wanted tasks by team.
type node struct {
	vm            *fakefleet.VM
	holder        *limits.Holder
	watcher       *limits.Watcher
	tasks         map[string][]*task // counted, by team, in the order of their starts
	demand        map[string]int
	observed      uint64
	memberRenewAt time.Time
	taskRenewAt   time.Time
	// serverTime holds the time of each server's clock as last read, and the VM's own time of that reading.
	serverTime map[*server][2]time.Duration
}

// model is a simulated fleet with servers that checks the upper limits in every step.
type model struct {
	*fakefleet.Fleet
	options      limits.Options
	nodes        []*node
	servers      []*server
	highestLimit map[string]int // highest limit still in force, by team
	lastTask     int
	workTime     time.Duration
	demandNoise  int // mean number of rounds between random changes of a VM's demand for a team; 0 for no changes
	violations   []string
}

func newModel(seed int64, dataCentres []string, teams map[string]fleet.Team, o limits.Options) *model {
	rng := rand.New(rand.NewSource(seed))
	config := fleet.NewConfig()
	for name, t := range teams {
		config.Teams[name] = t
	}
	m := &model{Fleet: fakefleet.New(rng, config, dataCentres, o.ClockDriftDivisor), options: o, highestLimit: map[string]int{}}
	m.workTime = 4 * time.Second
	for _, c := range slices.Compact(slices.Sorted(slices.Values(dataCentres))) {
		rate := 1 + float64(rng.Intn(3)-1)/float64(2*o.ClockDriftDivisor)
		m.servers = append(m.servers, &server{dataCentre: c, rate: rate, running: map[int]*task{}})
	}
	for _, vm := range m.VMs {
		n := &node{vm: vm, demand: map[string]int{}}
		m.nodes = append(m.nodes, n)
		m.start(n)
	}
	return m
}

// start gives a node's new incarnation an empty holder and watcher. It keeps the demand.
func (m *model) start(n *node) {
	n.holder, n.watcher = limits.NewHolder(m.options), limits.NewWatcher(m.options)
	n.tasks, n.serverTime = map[string][]*task{}, map[*server][2]time.Duration{}
	n.memberRenewAt, n.taskRenewAt, n.observed = time.Time{}, time.Time{}, 0
	n.vm.OnHeartbeat = func(id string) { n.watcher.HeartbeatAnswered(id, n.vm.Now()) }
}

func (m *model) step() {
	m.Step()
	m.runServers()
	for _, n := range m.nodes {
		if n.vm.Running() && n.vm.Joined() {
			m.runRound(n)
		}
	}
	m.check()
}

func (m *model) run(d time.Duration) {
	for end := m.Elapsed + d; m.Elapsed < end; {
		m.step()
	}
}

func (m *model) runServers() {
	for _, s := range m.servers {
		for id, t := range s.running {
			if m.Elapsed >= t.ends || s.now(m.Fleet) >= t.until {
				delete(s.running, id)
				t.ended = true
			}
		}
	}
}

// runRound runs one round of an entry VM after its heartbeats: leases, tasks and commands.
func (m *model) runRound(n *node) {
	now, self, s := n.vm.Now(), n.vm.Incarnation, n.vm.State
	n.watcher.Observe(s.Members, self, now)
	if n.observed != s.Offset {
		n.observed = s.Offset
		n.holder.Observe(s, self)
	}
	view := n.vm.View()
	if at, ok := view.MajorityAskedAt(now); ok {
		n.watcher.MajorityContact(at, now)
	}
	if since, ok := view.FleetOutageSince(now, fakefleet.FreshnessBound); ok {
		n.holder.RenewedByPeers(since, now)
	}
	m.runTasks(n, now)
	commands := n.watcher.DueCommands(now)
	for _, id := range s.LiveMembers() {
		if m.Gone(s.Members[id].VM) {
			commands = append(commands, fleet.Command{Fence: &fleet.Fence{Incarnation: id}})
		}
	}
	m.submit(n, commands, now)
}

func (m *model) submit(n *node, commands []fleet.Command, now time.Time) {
	if n.vm.AppendInFlight() {
		return
	}
	renews := now.After(n.memberRenewAt)
	if renews {
		commands = append(commands, fleet.Command{Renew: &fleet.Renew{}})
		n.memberRenewAt = now.Add(m.options.Lease / 10)
	}
	commands = append(commands, n.holder.Plan(now).Commands()...)
	if len(commands) == 0 {
		return
	}
	holder := n.holder
	n.vm.Submit(commands, func() {
		if renews {
			holder.Renewed(now)
		}
		holder.Confirmed(n.vm.State, n.vm.Incarnation)
	})
}

func (m *model) reaches(n *node, s *server) bool { return m.Linked(n.vm.DataCentre, s.dataCentre) }

// runTasks stops counting ended tasks, starts tasks up to the demand, and renews the leases of tasks once a second.
func (m *model) runTasks(n *node, now time.Time) {
	for _, team := range slices.Sorted(maps.Keys(n.tasks)) {
		n.tasks[team] = slices.DeleteFunc(n.tasks[team], func(t *task) bool {
			done := !now.Before(t.holderEnd) || t.ended && m.reaches(n, t.server)
			if done {
				n.holder.End(team)
			}
			return done
		})
	}
	for _, s := range m.servers {
		if m.reaches(n, s) && m.Rand.Intn(20) == 0 {
			n.serverTime[s] = [2]time.Duration{s.now(m.Fleet), now.Sub(time.Unix(0, 0))}
		}
	}
	for _, team := range slices.Sorted(maps.Keys(n.demand)) {
		if m.demandNoise > 0 && m.Rand.Intn(m.demandNoise) == 0 {
			n.demand[team] = m.Rand.Intn(16)
		}
		want := n.demand[team]
		for len(n.tasks[team]) < want && m.startTask(n, team, now) {
		}
		n.holder.SetWaiting(team, max(0, want-len(n.tasks[team])))
	}
	if !now.Before(n.taskRenewAt) {
		n.taskRenewAt = now.Add(time.Second)
		m.renewTasks(n, now)
	}
}

func (m *model) startTask(n *node, team string, now time.Time) bool {
	s := m.servers[m.Rand.Intn(len(m.servers))]
	if _, ok := n.serverTime[s]; !ok || !n.holder.Start(team, now) {
		return false
	}
	if n.vm.State.Granted(team) > n.vm.State.Config.Teams[team].Limit {
		m.fail("%s started a task of %s above a lowered limit that it has read", n.vm.Name, team)
	}
	m.lastTask++
	work := time.Duration(m.Rand.Int63n(int64(2 * m.workTime)))
	t := &task{id: m.lastTask, team: team, holder: n.vm.Incarnation, server: s, ends: m.Elapsed + work}
	t.holderEnd = n.holder.TaskLeaseEnd(team, len(n.tasks[team]), now)
	t.until = n.toServerClock(m, s, t.holderEnd)
	n.tasks[team] = append(n.tasks[team], t)
	m.Send(func() bool {
		if m.reaches(n, s) && s.now(m.Fleet) < t.until {
			s.running[t.id] = t
		} else {
			t.ended = true
		}
		return true
	})
	return true
}

// toServerClock converts a time of the holder's clock to the server's, shortened by the clock drift since the server's clock was read.
func (n *node) toServerClock(m *model, s *server, end time.Time) time.Duration {
	at := n.serverTime[s]
	span := end.Sub(time.Unix(0, 0)) - at[1]
	return at[0] + span - span/time.Duration(m.options.ClockDriftDivisor)
}

func (m *model) renewTasks(n *node, now time.Time) {
	for _, team := range slices.Sorted(maps.Keys(n.tasks)) {
		for rank, t := range n.tasks[team] {
			end := n.holder.TaskLeaseEnd(team, rank, now)
			if !end.After(t.holderEnd) || !m.reaches(n, t.server) {
				continue
			}
			t.holderEnd = end
			until := n.toServerClock(m, t.server, end)
			m.Send(func() bool { t.until = max(t.until, until); return true })
		}
	}
}

// check compares the tasks that run with the highest limit in force: a lowered limit is in force once the grants have come down to
// it. It also checks that no holder runs more than its grant, which finds faults while the others leave a part of the limit unused.
func (m *model) check() {
	running, held := map[string]int{}, map[[2]string]int{}
	for _, s := range m.servers {
		for _, t := range s.running {
			running[t.team]++
			held[[2]string{t.team, t.holder}]++
		}
	}
	for h, n := range held {
		if g := m.LogState.GrantOf(h[0], h[1]).Total(); n > g {
			m.fail("team %s: %s runs %d with a grant of %d", h[0], h[1], n, g)
		}
	}
	for name, team := range m.LogState.Config.Teams {
		granted := m.LogState.Granted(name)
		m.highestLimit[name] = max(team.Limit, min(m.highestLimit[name], granted))
		if granted > m.highestLimit[name] {
			m.fail("team %s: %d granted, limit %d", name, granted, m.highestLimit[name])
		}
		if running[name] > m.highestLimit[name] {
			m.fail("team %s: %d running, limit %d", name, running[name], m.highestLimit[name])
		}
	}
}

func (m *model) fail(format string, args ...any) {
	if len(m.violations) < 5 {
		m.violations = append(m.violations, fmt.Sprintf("%v: ", m.Elapsed)+fmt.Sprintf(format, args...))
	}
}

func (m *model) setTeam(name string, t fleet.Team) {
	m.highestLimit[name] = max(m.highestLimit[name], t.Limit)
	m.Configure(fleet.Change{Team: &fleet.Object[fleet.Team]{Name: name, Value: &t}})
}

// heal ends every fault and restarts the crashed VMs.
func (m *model) heal() {
	m.Outage, m.SlowAppends = false, false
	clear(m.Cut)
	for _, n := range m.nodes {
		n.vm.Frozen, n.vm.Isolated, n.vm.NoPlatform = false, false, false
		if n.vm.Crashed {
			n.vm.Start()
			m.start(n)
		}
	}
}
