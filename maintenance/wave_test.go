package maintenance_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/samplefleet"
	"example.org/comfreyrouter/maintenance"
)

// roundTarget is the time within which every VM is maintained once.
const roundTarget = 7 * 7 * 24 * time.Hour

// model runs a wave against the fold in virtual time.
type model struct {
	t      testing.TB
	state  *fleet.State
	offset uint64
	until  map[string]time.Duration // when the present phase of a VM ends
	now    time.Duration
	rnd    *rand.Rand
	margin int // smallest number of VMs by which a pool was above its minimum after a grant
}

const (
	drainTime  = 5 * time.Minute // mean; drains that end together would never meet in a pool
	rebootTime = 5 * time.Minute
	tick       = time.Minute
)

func newModel(t testing.TB, size samplefleet.Size) *model {
	state, err := samplefleet.State(size)
	require.NoError(t, err)
	m := &model{t: t, state: state, offset: 1, rnd: rand.New(rand.NewPCG(20261204, 1)), until: map[string]time.Duration{}, margin: 1 << 20}
	m.apply(fleet.Command{Join: &fleet.Join{VM: "entry-0"}})
	m.apply(fleet.Command{Wave: &fleet.SetWave{Name: "w", State: fleet.WavePlanned}})
	m.apply(fleet.Command{Wave: &fleet.SetWave{Name: "w", State: fleet.WaveRunning}})
	return m
}

func (m *model) apply(c fleet.Command) fleet.Result {
	m.offset++
	return m.state.Apply(m.offset, fleet.Batch{Writer: "incarnation", Seq: m.offset, Commands: []fleet.Command{c}})[0]
}

// step runs one tick: phases that end, drains that are given up, new drains.
func (m *model) step() {
	m.now += tick
	for _, vm := range slices.Sorted(maps.Keys(m.state.VMs)) {
		v := m.state.VMs[vm]
		if _, giveUp := maintenance.ShouldAbandon(m.state, vm); giveUp {
			m.apply(fleet.Command{Phase: &fleet.AdvancePhase{VM: vm, Epoch: v.Epoch, To: fleet.Serving}})
			continue
		}
		if v.Phase == fleet.Serving || m.now < m.until[vm] {
			continue
		}
		next := fleet.AdvancePhase{VM: vm, Epoch: v.Epoch, To: fleet.Serving, Maintained: true}
		if v.Phase == fleet.Draining {
			next.To = fleet.Rebooting
			m.until[vm] = m.now + rebootTime
		}
		m.apply(fleet.Command{Phase: &next})
	}
	busy := map[string]int{}
	for _, vm := range slices.Sorted(maps.Keys(m.state.VMs)) {
		busy[vm] = m.rnd.IntN(1 << 20) // a random order of candidates
	}
	for _, ask := range maintenance.NextDrains(maintenance.Snapshot{State: m.state, RunningTasks: busy, Confirmed: true}) {
		if m.apply(fleet.Command{Drain: &ask}).OK() {
			m.until[ask.VM] = m.now + time.Duration(m.rnd.Int64N(int64(2*drainTime)))
			m.checkBudget(ask.VM)
		}
	}
}

// checkBudget counts by itself that the pool of a VM that was just taken out is within its budget.
func (m *model) checkBudget(vm string) {
	name := m.state.VMs[vm].Pool
	pool := m.state.Config.Pools[name]
	available, out := 0, 0
	for _, v := range m.state.VMs {
		if v.Pool != name {
			continue
		}
		if v.Available() {
			available++
		} else {
			out++
		}
	}
	assert.GreaterOrEqual(m.t, available, pool.Min, "pool %s", name)
	assert.LessOrEqual(m.t, out, pool.MaxUnavailable, "pool %s", name)
	m.margin = min(m.margin, available-pool.Min)
}

func (m *model) run(limit time.Duration) {
	for maintenance.Remaining(m.state, "w") > 0 && m.now < limit {
		m.step()
	}
}

// TestWaveReachesEveryVMWithinBudgets guards against a wave that breaks a budget, skips a VM, or cannot end in seven weeks, with a rack
// lost while it runs.
func TestWaveReachesEveryVMWithinBudgets(t *testing.T) {
	m := newModel(t, samplefleet.Plan)
	for range 10 {
		m.step()
	}
	for i := range 4 {
		m.apply(fleet.Command{Health: &fleet.ReportHealth{VM: samplefleet.Server(100 + i), Down: true}})
	}
	for range 60 {
		m.step()
	}
	for i := range 4 {
		m.apply(fleet.Command{Health: &fleet.ReportHealth{VM: samplefleet.Server(100 + i)}})
	}
	m.run(roundTarget)
	assert.Zero(t, maintenance.Remaining(m.state, "w"))
	assert.Less(t, m.now, roundTarget)
}

// TestGiveUpOnUnplannedFailures guards against going on with a drain after other VMs of the pool have failed.
func TestGiveUpOnUnplannedFailures(t *testing.T) {
	m := newModel(t, samplefleet.Size{Servers: 8, Pools: 1, Teams: 1, EntryVMs: 1, DataCentres: 1, Regions: 1})
	m.step()
	drained := ""
	for name, v := range m.state.VMs {
		if v.Phase == fleet.Draining {
			drained = name
		}
	}
	require.NotEmpty(t, drained)
	for name := range m.state.VMs {
		if name != drained {
			m.apply(fleet.Command{Health: &fleet.ReportHealth{VM: name, Down: true}})
		}
	}
	reason, giveUp := maintenance.ShouldAbandon(m.state, drained)
	assert.True(t, giveUp)
	assert.Contains(t, reason, "pool")
	assert.Empty(t, maintenance.NextDrains(maintenance.Snapshot{State: m.state, Confirmed: true}), "nothing new is drained either")
}

// TestNothingIsDrainedOnAnUnconfirmedView guards against drains by a VM that is cut off and sees failures late.
func TestNothingIsDrainedOnAnUnconfirmedView(t *testing.T) {
	m := newModel(t, samplefleet.Today)
	assert.NotEmpty(t, maintenance.NextDrains(maintenance.Snapshot{State: m.state, Confirmed: true}))
	assert.Empty(t, maintenance.NextDrains(maintenance.Snapshot{State: m.state}))
}

// BenchmarkWave measures how long a wave takes and how near to a pool's minimum it comes.
func BenchmarkWave(b *testing.B) {
	for _, size := range []samplefleet.Size{samplefleet.Today, samplefleet.Plan.Scale(50), samplefleet.Plan} {
		b.Run(fmt.Sprintf("servers=%d", size.Servers), func(b *testing.B) {
			for b.Loop() {
				m := newModel(b, size)
				m.run(roundTarget)
				b.ReportMetric(m.now.Hours(), "virtual-hours")
				b.ReportMetric(float64(m.margin), "least-margin-VMs")
			}
		})
	}
}
