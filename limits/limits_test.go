package limits_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/testenv"
	"example.org/comfreyrouter/limits"
)

func TestMain(m *testing.M) { testenv.Main(m) }

// scaledOptions are the default settings with shorter times and a wider clock rate bound, so that the drift over one lease is
// several ticks and a scenario crosses many leases.
func scaledOptions() limits.Options {
	return limits.Options{
		Lease:     30 * time.Second,
		TaskLease: 5 * time.Second,
		ClockRate: 25,
		Idle:      2 * time.Second,
		Contact:   3 * time.Second,
	}
}

var twoPerCentre = []string{"a", "a", "b", "b", "c", "c"}

func scaledTeams() map[string]fleet.Team {
	return map[string]fleet.Team{"firm": {Limit: 14, FirmPerEntryVM: 1}, "leased": {Limit: 9}}
}

// op is one drawn operation. Its failure lasts until a later operation of the same kind on the same target.
type op struct {
	kind   string
	node   int
	centre int
	count  int
	after  time.Duration
}

func drawOps(t *rapid.T) []op {
	kinds := []string{"demand", "demand", "freeze", "crash", "successor", "cut", "platform", "isolate", "outage", "limit", "listed"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
		return op{
			kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			node:   rapid.IntRange(0, len(twoPerCentre)-1).Draw(t, "node"),
			centre: rapid.IntRange(0, 2).Draw(t, "centre"),
			count:  rapid.IntRange(0, 15).Draw(t, "count"),
			after:  rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, 3 * time.Second, 35 * time.Second}).Draw(t, "after"),
		}
	}), 5, 40).Draw(t, "ops")
}

func (m *model) apply(o op) {
	n := m.nodes[o.node]
	vm := n.vm
	switch o.kind {
	case "demand":
		n.wants[[]string{"firm", "leased"}[o.centre%2]] = o.count
	case "freeze":
		vm.Frozen = !vm.Frozen && !vm.Crashed
	case "crash":
		vm.Crashed = true
	case "listed":
		vm.Listed = vm.Crashed
	case "successor":
		vm.Start()
		m.start(n)
	case "cut":
		pair := [][2]string{{"a", "b"}, {"b", "c"}, {"a", "c"}}[o.centre]
		m.Cut[pair] = !m.Cut[pair]
	case "platform":
		vm.NoPlatform = !vm.NoPlatform
	case "isolate":
		vm.Isolated = !vm.Isolated
	case "outage":
		m.Outage = !m.Outage
	case "limit":
		m.setTeam("leased", fleet.Team{Limit: o.count})
		m.setTeam("firm", fleet.Team{Limit: 6 + o.count, FirmPerEntryVM: o.count % 2})
	}
	m.run(o.after)
}

// TestLimitHolds guards against more tasks running than the limit allows while VMs, clocks, network and log fail in any
// order, and against a fleet that does not use its limit again afterwards.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int64().Draw(t, "seed")
		ops := drawOps(t)
		m := newModel(seed, twoPerCentre, scaledTeams(), scaledOptions())
		m.run(2 * time.Second)
		for _, o := range ops {
			m.apply(o)
		}
		m.heal()
		m.checkRecovery(0)
		for _, v := range m.violations {
			t.Error(v)
		}
	})
}

// checkRecovery checks that a healed fleet serves the whole limit through one VM while the others are idle.
func (m *model) checkRecovery(node int) {
	m.setTeam("firm", fleet.Team{Limit: 14, FirmPerEntryVM: 1})
	m.setTeam("leased", fleet.Team{Limit: 9})
	for _, n := range m.nodes {
		n.wants["firm"], n.wants["leased"] = 0, 0
	}
	n := m.nodes[node]
	n.wants["firm"], n.wants["leased"] = 50, 50
	m.run(2 * m.options.Lease)
	for team, want := range map[string]int{"firm": 14 - (len(m.nodes) - 1), "leased": 9} {
		if got := n.holder.Allowed(team, n.vm.Now()); got != want {
			m.fail("after recovery %s may run %d tasks of %s, want %d", n.vm.Name, got, team, want)
		}
	}
}
