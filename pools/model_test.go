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

// The model: five pools of ten servers with eight slots and a spare pool of ten. The demand of each pool in turn is five times its mean
// for some seconds and a twentieth of it in between. From the first to the second hour one pool also has a lasting demand of 96 slots.
const (
	poolCount   = 5
	poolServers = 10
	slotsPerVM  = 8
	meanBusy    = 40 // slots of a pool's mean demand
	lasting     = 96 // slots
	burst       = 20 * time.Second
	moveTime    = 30 * time.Second
	modelLength = 3 * time.Hour
)

// policy is a way to answer demand.
type policy struct {
	name    string
	overlap bool // requests may run on the spare pool's servers without a move
	planner *Options
}

func policies() []policy {
	undamped := Options{TargetPercent: 80, MaxMoves: 10}
	damped := DefaultOptions()
	return []policy{
		{name: "static"},
		{name: "follow-undamped", planner: &undamped},
		{name: "damped-moves", planner: &damped},
		{name: "lend-spare", overlap: true},
		{name: "lend-spare-and-damped-moves", overlap: true, planner: &damped},
	}
}

type outcome struct {
	refused, asked, heldBack, slotSeconds float64
	moves                                 int
}

type model struct {
	policy  policy
	planner *Planner
	config  *fleet.Config
	vms     map[string]fleet.VM
	arrive  map[string]time.Duration
	layout  uint64
	out     outcome
}

func newModel(p policy) *model {
	m := &model{policy: p, config: fleet.NewConfig(), vms: map[string]fleet.VM{}, arrive: map[string]time.Duration{}}
	if p.planner != nil {
		m.planner = NewPlanner(*p.planner)
	}
	for i := range poolCount + 1 {
		pool := fmt.Sprintf("pool-%d", i)
		m.config.Pools[pool] = fleet.Pool{Min: 4, MaxUnavailable: 3, Spare: i == poolCount}
		for j := range poolServers {
			vm := fmt.Sprintf("vm-%d-%d", i, j)
			m.config.Servers[vm] = fleet.BackendServer{Slots: slotsPerVM, Pool: pool, DataCentre: fmt.Sprintf("dc-%d", j%3)}
			m.vms[vm] = fleet.VM{Pool: pool, Phase: fleet.Serving}
		}
	}
	return m
}

func demand(rnd *rand.Rand, now time.Duration) map[string]int {
	busy := map[string]int{}
	inBurst := int(now/burst) % poolCount
	for i := range poolCount {
		level := float64(meanBusy) / 20
		if inBurst == i {
			level = meanBusy * 5
		}
		if i == 0 && now > time.Hour && now < 2*time.Hour {
			level += lasting
		}
		busy[fmt.Sprintf("pool-%d", i)] = int(level * (0.9 + 0.2*rnd.Float64()))
	}
	return busy
}

func (m *model) run(seed uint64) outcome {
	rnd := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(0, 0)
	for now := time.Duration(0); now < modelLength; now += time.Second {
		m.finishMoves(now)
		busy := demand(rnd, now)
		m.serve(busy)
		if m.planner == nil {
			continue
		}
		move, ok := m.planner.Plan(Snapshot{Layout: m.layout, Config: m.config, VMs: m.vms, Busy: busy}, start.Add(now))
		if ok {
			vm := m.vms[move.VM]
			vm.Phase, vm.MoveTo = fleet.Moving, move.To
			m.vms[move.VM] = vm
			m.arrive[move.VM] = now + moveTime
			m.layout++
			m.out.moves++
		}
	}
	return m.out
}

func (m *model) finishMoves(now time.Duration) {
	for name, at := range m.arrive {
		if now >= at {
			m.vms[name] = fleet.VM{Pool: m.vms[name].MoveTo, Phase: fleet.Serving}
			delete(m.arrive, name)
		}
	}
}

// serve counts what fits. With lending, the excess of all pools runs on the spare pool's free slots.
func (m *model) serve(busy map[string]int) {
	capacity := map[string]int{}
	for name, v := range m.vms {
		if v.Phase == fleet.Serving {
			capacity[v.Pool] += m.config.Servers[name].Slots
		}
	}
	excess := 0
	for pool, want := range busy {
		excess += max(0, want-capacity[pool])
		m.out.asked += float64(want)
	}
	spare := capacity[fmt.Sprintf("pool-%d", poolCount)]
	lent := 0
	if m.policy.overlap {
		lent = min(excess, spare)
	}
	m.out.refused += float64(excess - lent)
	m.out.heldBack += float64(spare - lent)
	m.out.slotSeconds += float64((poolCount + 1) * poolServers * slotsPerVM)
}

// BenchmarkPolicies compares ways to answer bursts and a lasting shift of demand.
func BenchmarkPolicies(b *testing.B) {
	for _, p := range policies() {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				out := newModel(p).run(20261204)
				b.ReportMetric(100*out.refused/out.asked, "refused-%")
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

// TestPlanReachesThePreset guards against a preset whose pool sizes never come into force, and against moves without end.
func TestPlanReachesThePreset(t *testing.T) {
	s := snapshot(map[string]int{"a": 8, "b": 8, "office": 6}, map[string]int{"a": 12, "b": 7})
	p := NewPlanner(DefaultOptions())
	now := time.Unix(0, 0)
	moves := 0
	for ; moves < 20; moves++ {
		move, ok := p.Plan(s, now)
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

// TestBurstsCauseNoMoves guards against moving VMs back and forth with bursts of some seconds.
func TestBurstsCauseNoMoves(t *testing.T) {
	s := snapshot(map[string]int{"a": 8, "office": 8}, nil)
	p := NewPlanner(DefaultOptions())
	for second := range 600 {
		s.Busy = map[string]int{"a": 10}
		if second%60 < 20 {
			s.Busy["a"] = 200
		}
		_, ok := p.Plan(s, time.Unix(int64(second), 0))
		require.False(t, ok, "second %d", second)
	}
}

// TestLastingDemandGetsAVM guards against a pool that stays too small although the spare pool has VMs.
func TestLastingDemandGetsAVM(t *testing.T) {
	s := snapshot(map[string]int{"a": 8, "office": 8}, nil)
	s.Busy = map[string]int{"a": 80}
	p := NewPlanner(DefaultOptions())
	_, ok := p.Plan(s, time.Unix(0, 0))
	require.False(t, ok)
	move, ok := p.Plan(s, time.Unix(31, 0))
	require.True(t, ok)
	assert.Equal(t, "a", move.To)
	assert.Equal(t, "office", s.VMs[move.VM].Pool)
}
