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
		Lease:             30 * time.Second,
		TaskLease:         5 * time.Second,
		ClockDriftDivisor: 25,
		IdleWindow:        2 * time.Second,
		ContactWindow:     3 * time.Second,
	}
}

var twoPerCentre = []string{"a", "a", "b", "b", "c", "c"}

func scaledTeams() map[string]fleet.Team {
	return map[string]fleet.Team{"firm": {Limit: 14, FirmPerEntryVM: 1}, "leased": {Limit: 9}}
}

// op is one operation. The failures "isolate", "platform", "others", "cut" and "outage" toggle.
type op struct {
	kind  string
	node  int // index of a VM, or of a pair of data centres
	count int
	after time.Duration // how long the fleet runs on afterwards
}

var kinds = []string{"demand", "pause", "freeze", "crash", "listed", "successor", "cut", "platform", "others", "isolate", "outage", "slow", "limit"}

// stories are sequences of operations on one VM that several faults need in this order; random operations come between them.
var stories = [][]string{
	{"pause", "isolate", "platform", "long", "isolate", "platform"},
	{"others", "isolate", "platform", "long", "isolate", "platform", "short", "others"},
	{"crash", "listed", "long", "others", "isolate", "successor", "long", "long", "isolate", "others"},
	{"outage", "long", "crash", "short", "listed", "long", "outage"},
	{"crash", "listed"},
	{"isolate", "platform", "short", "isolate", "blink", "isolate", "long", "platform", "isolate"},
	{"slow", "isolate", "platform", "lapse", "isolate", "platform", "long", "slow"},
}

func drawOps(t *rapid.T) []op {
	waits := rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, time.Second, 5 * time.Second, 35 * time.Second})
	var ops []op
	for range rapid.IntRange(2, 8).Draw(t, "parts") {
		node := rapid.IntRange(0, len(twoPerCentre)-1).Draw(t, "node")
		story := []string{rapid.SampledFrom(kinds).Draw(t, "kind")}
		if rapid.Bool().Draw(t, "is story") {
			story = rapid.SampledFrom(stories).Draw(t, "story")
		}
		for _, kind := range story {
			o := op{kind: kind, node: node, count: rapid.IntRange(0, 15).Draw(t, "count")}
			if len(story) == 1 || kind == "pause" {
				o.after = waits.Draw(t, "after")
			}
			ops = append(ops, o)
		}
	}
	return ops
}

func (m *model) apply(o op) {
	n := m.nodes[o.node]
	vm := n.vm
	switch o.kind {
	case "demand":
		n.wants["leased"], n.wants["firm"] = o.count, o.count/2
	case "pause":
		vm.Frozen = !vm.Crashed
		m.run(o.after)
		vm.Frozen = false
		m.run(time.Second)
		return
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
		pair := [][2]string{{"a", "b"}, {"b", "c"}, {"a", "c"}}[o.node%3]
		m.Cut[pair] = !m.Cut[pair]
	case "platform":
		vm.NoPlatform = !vm.NoPlatform
	case "others":
		for _, other := range m.VMs {
			other.NoPlatform = other.NoPlatform != (other != vm)
		}
	case "isolate":
		vm.Isolated = !vm.Isolated
	case "outage":
		m.Outage = !m.Outage
	case "limit":
		m.setTeam("leased", fleet.Team{Limit: o.count})
		m.setTeam("firm", fleet.Team{Limit: 6 + o.count, FirmPerEntryVM: o.count % 2})
	case "slow":
		m.Slow = !m.Slow
	case "lapse": // to about when the others count the lease as lapsed
		m.run(m.options.Lease + time.Duration(o.count)*200*time.Millisecond)
	case "blink":
		m.run(600 * time.Millisecond)
	case "short":
		m.run(5 * time.Second)
	case "long":
		m.run(m.options.Lease * 6 / 5)
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
		m.noise = rapid.SampledFrom([]int{3, 30, 300}).Draw(t, "noise")
		m.workTime = rapid.SampledFrom([]time.Duration{time.Second, 4 * time.Second, 20 * time.Second}).Draw(t, "work time")
		for _, n := range m.nodes {
			n.wants["firm"], n.wants["leased"] = 5, 5
		}
		m.run(5 * time.Second)
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
	m.noise = 0
	n := m.nodes[node]
	n.wants["firm"], n.wants["leased"] = 50, 50
	m.run(2 * m.options.Lease)
	for team, want := range map[string]int{"firm": 14 - (len(m.nodes) - 1), "leased": 9} {
		if got := n.holder.Allowed(team, n.vm.Now()); got != want {
			m.fail("after recovery %s may run %d tasks of %s, want %d: %v", n.vm.Name, got, team, want, m.Master.Grants[team])
		}
	}
}
