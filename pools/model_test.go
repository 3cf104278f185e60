package pools

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/fleet"
)

// The model has five pools of ten servers with eight slots each, and a spare pool of ten servers. Each pool in turn has a burst of
// demand of five times its mean, and a twentieth of its mean otherwise. During the second hour one pool has an additional demand of 96
// slots.
const (
	poolCount     = 5
	poolServers   = 10
	slotsPerVM    = 8
	meanDemand    = 40 // mean demand of a pool, in slots
	lastingDemand = 96 // additional demand of one pool during the second hour, in slots
	burstLength   = 20 * time.Second
	moveTime      = 30 * time.Second
	modelLength   = 3 * time.Hour
)

// policy is a way to respond to demand.
type policy struct {
	name   string
	lend   bool // requests may run on servers of the spare pool without a move
	follow bool // VMs move to the pools that are full, and back
}

var policies = []policy{{name: "static"}, {name: "follow-undamped", follow: true}, {name: "lend-spare", lend: true}}

type outcome struct {
	refused, demanded, heldBack, slotSeconds float64
	moves                                    int
}

type model struct {
	policy policy
	config *fleet.Config
	vms    map[string]fleet.VM
	arrive map[string]time.Duration
	out    outcome
}

const sparePool = "pool-5"

func newModel(p policy) *model {
	m := &model{policy: p, config: fleet.NewConfig(), vms: map[string]fleet.VM{}, arrive: map[string]time.Duration{}}
	for i := range poolCount + 1 {
		pool := fmt.Sprintf("pool-%d", i)
		m.config.Pools[pool] = fleet.Pool{Min: 4, Spare: pool == sparePool}
		for j := range poolServers {
			vm := fmt.Sprintf("vm-%d-%d", i, j)
			m.config.Servers[vm] = fleet.BackendServer{Slots: slotsPerVM, Pool: pool}
			m.vms[vm] = fleet.VM{Pool: pool, Phase: fleet.Serving}
		}
	}
	return m
}

func demand(rnd *rand.Rand, now time.Duration) map[string]int {
	demands := map[string]int{}
	inBurst := int(now/burstLength) % poolCount
	for i := range poolCount {
		level := float64(meanDemand) / 20
		if inBurst == i {
			level = meanDemand * 5
		}
		if i == 0 && now > time.Hour && now < 2*time.Hour {
			level += lastingDemand
		}
		demands[fmt.Sprintf("pool-%d", i)] = int(level * (0.9 + 0.2*rnd.Float64()))
	}
	return demands
}

func (m *model) run(seed uint64) outcome {
	rnd := rand.New(rand.NewPCG(seed, 1))
	for now := time.Duration(0); now < modelLength; now += time.Second {
		m.finishMoves(now)
		demands := demand(rnd, now)
		m.serve(demands)
		if m.policy.follow {
			m.followDemand(demands, now)
		}
	}
	return m.out
}

// followDemand is the baseline: each pool takes VMs from the spare pool as soon as it is full, and returns them as soon as it isn't.
func (m *model) followDemand(demands map[string]int, now time.Duration) {
	for _, pool := range sortedNames(demands) {
		members := m.members(pool)
		need := (demands[pool] + slotsPerVM - 1) / slotsPerVM
		spare := m.members(sparePool)
		switch {
		case need > len(members) && len(spare) > m.config.Pools[sparePool].Min:
			m.move(spare[0], pool, now)
		case need < len(members) && len(members) > poolServers:
			m.move(members[0], sparePool, now)
		}
	}
}

func (m *model) members(pool string) []string {
	var names []string
	for _, name := range sortedNames(m.vms) {
		if v := m.vms[name]; v.Pool == pool && v.Phase == fleet.Serving {
			names = append(names, name)
		}
	}
	return names
}

func (m *model) move(vm, to string, now time.Duration) {
	m.vms[vm] = fleet.VM{Pool: m.vms[vm].Pool, Phase: fleet.Moving, MoveTo: to}
	m.arrive[vm] = now + moveTime
	m.out.moves++
}

func (m *model) finishMoves(now time.Duration) {
	for name, at := range m.arrive {
		if now >= at {
			m.vms[name] = fleet.VM{Pool: m.vms[name].MoveTo, Phase: fleet.Serving}
			delete(m.arrive, name)
		}
	}
}

// serve counts the demand that is refused in this second. With lending, excess demand of all pools runs on the spare pool's slots.
func (m *model) serve(demands map[string]int) {
	capacity := map[string]int{}
	for name, v := range m.vms {
		if v.Phase == fleet.Serving {
			capacity[v.Pool] += m.config.Servers[name].Slots
		}
	}
	excess := 0
	for pool, want := range demands {
		excess += max(0, want-capacity[pool])
		m.out.demanded += float64(want)
	}
	spare := capacity[sparePool]
	lent := 0
	if m.policy.lend {
		lent = min(excess, spare)
	}
	m.out.refused += float64(excess - lent)
	m.out.heldBack += float64(spare - lent)
	m.out.slotSeconds += float64((poolCount + 1) * poolServers * slotsPerVM)
}

// BenchmarkPolicies compares policies for bursts and a lasting shift of demand.
func BenchmarkPolicies(b *testing.B) {
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				out := newModel(p).run(20261204)
				b.ReportMetric(100*out.refused/out.demanded, "refused-%")
				b.ReportMetric(100*out.heldBack/out.slotSeconds, "held-back-%")
				b.ReportMetric(float64(out.moves)/modelLength.Hours(), "moves/hour")
			}
		})
	}
}

func snapshot(sizes map[string]int, preset map[string]int) Snapshot {
	c := fleet.NewConfig()
	c.InForce = "p"
	c.Presets["p"] = fleet.Preset{PoolSizes: preset}
	vms := map[string]fleet.VM{}
	for pool, n := range sizes {
		c.Pools[pool] = fleet.Pool{Min: 2, Spare: pool == "office"}
		for i := range n {
			vm := fmt.Sprintf("%s-%d", pool, i)
			c.Servers[vm] = fleet.BackendServer{Slots: slotsPerVM, Pool: pool, DataCentre: fmt.Sprintf("dc-%d", i%3)}
			vms[vm] = fleet.VM{Pool: pool, Phase: fleet.Serving, Epoch: 7}
		}
	}
	return Snapshot{Layout: 3, Config: c, VMs: vms}
}

// TestNextMoveReachesPreset guards against pools that never reach the sizes in the preset, and against an endless series of moves.
func TestNextMoveReachesPreset(t *testing.T) {
	s := snapshot(map[string]int{"a": 8, "b": 8, "office": 6}, map[string]int{"a": 12, "b": 7})
	moves := 0
	for ; moves < 20; moves++ {
		move, ok := NextMove(s)
		if !ok {
			break
		}
		require.Equal(t, uint64(3), move.Layout)
		s.VMs[move.VM] = fleet.VM{Pool: move.To, Phase: fleet.Serving}
	}
	sizes := map[string]int{}
	for _, v := range s.VMs {
		sizes[v.Pool]++
	}
	assert.Equal(t, 12, sizes["a"])
	assert.GreaterOrEqual(t, sizes["b"], 7)
	assert.GreaterOrEqual(t, sizes["office"], 2)
	assert.LessOrEqual(t, moves, 6)
}

// TestNextMoveKeepsMinimum guards against a move that leaves a pool with fewer VMs than its minimum.
func TestNextMoveKeepsMinimum(t *testing.T) {
	s := snapshot(map[string]int{"a": 3, "office": 2}, map[string]int{"a": 9})
	_, ok := NextMove(s)
	assert.False(t, ok)
}

// TestFailuresCauseNoMoves guards against moving VMs to another pool and back whenever some are drained or down.
func TestFailuresCauseNoMoves(t *testing.T) {
	s := snapshot(map[string]int{"a": 8, "office": 6}, map[string]int{"a": 8})
	s.VMs["a-0"] = fleet.VM{Pool: "a", Phase: fleet.Draining}
	s.VMs["a-1"] = fleet.VM{Pool: "a", Phase: fleet.Serving, Down: true}
	_, ok := NextMove(s)
	assert.False(t, ok)
}
