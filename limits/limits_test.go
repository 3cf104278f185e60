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

// scaledOptions returns options with shorter times and more clock drift than the defaults, so that the drift over one lease is
// several ticks and a run covers many leases.
func scaledOptions() limits.Options {
	return limits.Options{
		Lease:             30 * time.Second,
		TaskLease:         5 * time.Second,
		ClockDriftDivisor: 25,
		IdleWindow:        2 * time.Second,
		ContactWindow:     3 * time.Second,
	}
}

var twoPerDataCentre = []string{"a", "a", "b", "b", "c", "c"}

func scaledTeams() map[string]fleet.Team {
	return map[string]fleet.Team{"firm": {Limit: 14, FirmPerEntryVM: 1}, "leased": {Limit: 9}}
}

// op is one operation on the model. The kinds "freeze", "isolate", "platform", "others", "cut", "outage" and "slow" toggle a fault:
// "isolate" partitions the VM from its peers, "platform" partitions it from the log, and "others" all other VMs from the log. "blink",
// "short", "long" and "expiry" only let time pass.
type op struct {
	kind  string
	node  int // index of a VM, or of a pair of data centres
	count int
	after time.Duration // how long the fleet runs afterwards
}

var opKinds = []string{"demand", "pause", "freeze", "crash", "listed", "successor", "cut", "platform", "others", "isolate", "outage", "slow", "limit"}

// faultSequences are sequences of operations on one VM that reach states which random operations rarely reach. drawOps mixes them with
// random operations.
var faultSequences = [][]string{
	{"pause", "isolate", "platform", "long", "isolate", "platform"},
	{"others", "isolate", "platform", "long", "isolate", "platform", "short", "others"},
	{"crash", "listed", "long", "others", "isolate", "successor", "long", "long", "isolate", "others"},
	{"outage", "long", "crash", "short", "listed", "long", "outage"},
	{"crash", "listed"},
	{"isolate", "platform", "short", "isolate", "blink", "isolate", "long", "platform", "isolate"},
	{"slow", "isolate", "platform", "expiry", "isolate", "platform", "long", "slow"},
}

func drawOps(t *rapid.T) []op {
	waits := rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, time.Second, 5 * time.Second, 35 * time.Second})
	var ops []op
	for range rapid.IntRange(2, 8).Draw(t, "parts") {
		node := rapid.IntRange(0, len(twoPerDataCentre)-1).Draw(t, "node")
		sequence := []string{rapid.SampledFrom(opKinds).Draw(t, "kind")}
		if rapid.Bool().Draw(t, "is sequence") {
			sequence = rapid.SampledFrom(faultSequences).Draw(t, "sequence")
		}
		for _, kind := range sequence {
			o := op{kind: kind, node: node, count: rapid.IntRange(0, 15).Draw(t, "count")}
			if len(sequence) == 1 || kind == "pause" {
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
		n.demand["leased"], n.demand["firm"] = o.count, o.count/2
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
		vm.ListedGone = vm.Crashed
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
		m.SlowAppends = !m.SlowAppends
	case "expiry": // until about the time at which the other members expire the lease
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

// TestLimitHolds guards against more running tasks than the limit allows while VMs, clocks, the network and the log fail in any
// order, and against a fleet that cannot use its whole limit again afterwards.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int64().Draw(t, "seed")
		ops := drawOps(t)
		m := newModel(seed, twoPerDataCentre, scaledTeams(), scaledOptions())
		m.demandNoise = rapid.SampledFrom([]int{3, 30, 300}).Draw(t, "noise")
		m.workTime = rapid.SampledFrom([]time.Duration{time.Second, 4 * time.Second, 20 * time.Second}).Draw(t, "work time")
		for _, n := range m.nodes {
			n.demand["firm"], n.demand["leased"] = 5, 5
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

// checkRecovery checks that after all faults have ended one VM gets the whole limit, less the firm parts of the other, idle VMs.
func (m *model) checkRecovery(node int) {
	m.setTeam("firm", fleet.Team{Limit: 14, FirmPerEntryVM: 1})
	m.setTeam("leased", fleet.Team{Limit: 9})
	for _, n := range m.nodes {
		n.demand["firm"], n.demand["leased"] = 0, 0
	}
	m.demandNoise = 0
	n := m.nodes[node]
	n.demand["firm"], n.demand["leased"] = 50, 50
	m.run(2 * m.options.Lease)
	for team, want := range map[string]int{"firm": 14 - (len(m.nodes) - 1), "leased": 9} {
		if got := n.holder.Allowed(team, n.vm.Now()); got != want {
			m.fail("after recovery %s may run %d tasks of %s, want %d: %v", n.vm.Name, got, team, want, m.LogState.Grants[team])
		}
	}
}
