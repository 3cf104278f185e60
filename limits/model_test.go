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

// task is a task on a server. Until is in the server's clock, holderEnd in the holder's.
type task struct {
	id        int
	team      string
	holder    string // incarnation
	server    *server
	ends      time.Duration // true time at which its work is done
	until     time.Duration
	holderEnd time.Time
	ended     bool
}

// server runs tasks under leases in its own clock.
type server struct {
	centre  string
	rate    float64
	running map[int]*task
}

func (s *server) now(f *fakefleet.Fleet) time.Duration {
	return time.Duration(float64(f.Elapsed) * s.rate)
}

// node is the limits part of an entry VM. Wants is the demand by team.
type node struct {
	vm       *fakefleet.VM
	holder   *limits.Holder
	watcher  *limits.Watcher
	tasks    map[string][]*task // counted, by team, in the order of their starts
	wants    map[string]int
	observed uint64
	renewAt  time.Time
	leaseAt  time.Time
	// serverTime is what each server said of its clock, and when the VM heard it.
	serverTime map[*server][2]time.Duration
}

// model is a fleet with servers and the oracle of the upper limits.
type model struct {
	*fakefleet.Fleet
	options    limits.Options
	nodes      []*node
	servers    []*server
	peak       map[string]int // highest limit still in force, by team
	lastTask   int
	workTime   time.Duration
	noise      int // in this number of rounds the demand of a VM changes at random once; 0 for never
	violations []string
}

func newModel(seed int64, centres []string, teams map[string]fleet.Team, o limits.Options) *model {
	rng := rand.New(rand.NewSource(seed))
	config := fleet.NewConfig()
	for name, t := range teams {
		config.Teams[name] = t
	}
	m := &model{Fleet: fakefleet.New(rng, config, centres, o.ClockDriftDivisor), options: o, peak: map[string]int{}}
	m.workTime = 4 * time.Second
	for _, c := range slices.Compact(slices.Sorted(slices.Values(centres))) {
		rate := 1 + float64(rng.Intn(3)-1)/float64(2*o.ClockDriftDivisor)
		m.servers = append(m.servers, &server{centre: c, rate: rate, running: map[int]*task{}})
	}
	for _, vm := range m.VMs {
		n := &node{vm: vm, wants: map[string]int{}}
		m.nodes = append(m.nodes, n)
		m.start(n)
	}
	return m
}

// start gives a new incarnation an empty holder and watcher. The demand stays.
func (m *model) start(n *node) {
	n.holder, n.watcher = limits.NewHolder(m.options), limits.NewWatcher(m.options)
	n.tasks, n.serverTime = map[string][]*task{}, map[*server][2]time.Duration{}
	n.renewAt, n.leaseAt, n.observed = time.Time{}, time.Time{}, 0
	n.vm.OnHeartbeat = func(id string) { n.watcher.HeartbeatAnswered(id, n.vm.Now()) }
}

func (m *model) step() {
	m.Step()
	m.runServers()
	for _, n := range m.nodes {
		if n.vm.Runs() && n.vm.Joined() {
			m.act(n)
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

// act is one round of an entry VM: heartbeats have been taken, now leases, commands and tasks.
func (m *model) act(n *node) {
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
	if since, ok := view.FleetOutageSince(now, fakefleet.Bound); ok {
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
	if n.vm.Busy() {
		return
	}
	renews := now.After(n.renewAt)
	if renews {
		commands = append(commands, fleet.Command{Renew: &fleet.Renew{}})
		n.renewAt = now.Add(m.options.Lease / 10)
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

func (m *model) reaches(n *node, s *server) bool { return m.Linked(n.vm.Centre, s.centre) }

// runTasks counts ended tasks out, starts what the demand wants and renews the leases of tasks once a second.
func (m *model) runTasks(n *node, now time.Time) {
	for _, team := range slices.Sorted(maps.Keys(n.tasks)) {
		n.tasks[team] = slices.DeleteFunc(n.tasks[team], func(t *task) bool {
			over := !now.Before(t.holderEnd) || t.ended && m.reaches(n, t.server)
			if over {
				n.holder.End(team)
			}
			return over
		})
	}
	for _, s := range m.servers {
		if m.reaches(n, s) && m.Rand.Intn(20) == 0 {
			n.serverTime[s] = [2]time.Duration{s.now(m.Fleet), now.Sub(time.Unix(0, 0))}
		}
	}
	for _, team := range slices.Sorted(maps.Keys(n.wants)) {
		if m.noise > 0 && m.Rand.Intn(m.noise) == 0 {
			n.wants[team] = m.Rand.Intn(16)
		}
		want := n.wants[team]
		for len(n.tasks[team]) < want && m.startTask(n, team, now) {
		}
		n.holder.SetWaiting(team, max(0, want-len(n.tasks[team])))
	}
	if !now.Before(n.leaseAt) {
		n.leaseAt = now.Add(time.Second)
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
	t.until = n.serverEnd(m, s, t.holderEnd)
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

// serverEnd converts a time of the holder to the server's clock as the design says.
func (n *node) serverEnd(m *model, s *server, end time.Time) time.Duration {
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
			until := n.serverEnd(m, t.server, end)
			m.Send(func() bool { t.until = max(t.until, until); return true })
		}
	}
}

// check compares what really runs with the highest limit that is in force: a lowered limit counts from when the grants have
// come down to it. No holder may run more than its grant either, which fails also when others leave room below the limit.
func (m *model) check() {
	running, held := map[string]int{}, map[[2]string]int{}
	for _, s := range m.servers {
		for _, t := range s.running {
			running[t.team]++
			held[[2]string{t.team, t.holder}]++
		}
	}
	for h, n := range held {
		if g := m.Master.GrantOf(h[0], h[1]).Total(); n > g {
			m.fail("team %s: %s runs %d with a grant of %d", h[0], h[1], n, g)
		}
	}
	for name, team := range m.Master.Config.Teams {
		granted := m.Master.Granted(name)
		m.peak[name] = max(team.Limit, min(m.peak[name], granted))
		if granted > m.peak[name] {
			m.fail("team %s: %d granted, limit %d", name, granted, m.peak[name])
		}
		if running[name] > m.peak[name] {
			m.fail("team %s: %d running, limit %d", name, running[name], m.peak[name])
		}
	}
}

func (m *model) fail(format string, args ...any) {
	if len(m.violations) < 5 {
		m.violations = append(m.violations, fmt.Sprintf("%v: ", m.Elapsed)+fmt.Sprintf(format, args...))
	}
}

func (m *model) setTeam(name string, t fleet.Team) {
	m.peak[name] = max(m.peak[name], t.Limit)
	m.Configure(fleet.Change{Team: &fleet.Object[fleet.Team]{Name: name, Value: &t}})
}

// heal ends every failure and starts what has crashed.
func (m *model) heal() {
	m.Outage, m.Slow = false, false
	clear(m.Cut)
	for _, n := range m.nodes {
		n.vm.Frozen, n.vm.Isolated, n.vm.NoPlatform = false, false, false
		if n.vm.Crashed {
			n.vm.Start()
			m.start(n)
		}
	}
}
