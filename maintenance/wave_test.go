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

// maxWaveTime is the time within which a wave must maintain every VM.
const maxWaveTime = 7 * 7 * 24 * time.Hour

// model runs a wave in the fold in virtual time.
type model struct {
	t        testing.TB
	state    *fleet.State
	offset   uint64
	phaseEnd map[string]time.Duration // when the current phase of each VM ends
	now      time.Duration
	rnd      *rand.Rand
	margin   int // smallest number of VMs by which a pool exceeded its minimum after a drain was granted
}

const (
	drainTime  = 5 * time.Minute // mean; the times are random, because drains that end together would never overlap in a pool
	rebootTime = 5 * time.Minute
	tick       = time.Minute
)

func newModel(t testing.TB, size samplefleet.Size) *model {
	state, err := samplefleet.State(size)
	require.NoError(t, err)
	m := &model{t: t, state: state, offset: 1, rnd: rand.New(rand.NewPCG(20261204, 1)), phaseEnd: map[string]time.Duration{}, margin: 1 << 20}
	m.apply(fleet.Command{Join: &fleet.Join{VM: "entry-0"}})
	m.apply(fleet.Command{Wave: &fleet.SetWave{Name: "w", State: fleet.WavePlanned}})
	m.apply(fleet.Command{Wave: &fleet.SetWave{Name: "w", State: fleet.WaveRunning}})
	return m
}

func (m *model) apply(c fleet.Command) fleet.Result {
	m.offset++
	return m.state.Apply(m.offset, fleet.Batch{Writer: "incarnation", Seq: m.offset, Commands: []fleet.Command{c}})[0]
}

// step advances the model by one tick: it ends phases, abandons drains and starts new ones.
func (m *model) step() {
	m.now += tick
	for _, vm := range slices.Sorted(maps.Keys(m.state.VMs)) {
		v := m.state.VMs[vm]
		if _, abandon := maintenance.ShouldAbandon(m.state, vm); abandon {
			m.apply(fleet.Command{Phase: &fleet.AdvancePhase{VM: vm, Epoch: v.Epoch, To: fleet.Serving}})
			continue
		}
		if v.Phase == fleet.Serving || m.now < m.phaseEnd[vm] {
			continue
		}
		next := fleet.AdvancePhase{VM: vm, Epoch: v.Epoch, To: fleet.Serving, Maintained: true}
		if v.Phase == fleet.Draining {
			next.To = fleet.Rebooting
			m.phaseEnd[vm] = m.now + rebootTime
		}
		m.apply(fleet.Command{Phase: &next})
	}
	runningTasks := map[string]int{}
	for _, vm := range slices.Sorted(maps.Keys(m.state.VMs)) {
		runningTasks[vm] = m.rnd.IntN(1 << 20) // puts the candidates in random order
	}
	for _, drain := range maintenance.NextDrains(maintenance.Snapshot{State: m.state, RunningTasks: runningTasks, Confirmed: true}) {
		if m.apply(fleet.Command{Drain: &drain}).OK() {
			m.phaseEnd[drain.VM] = m.now + time.Duration(m.rnd.Int64N(int64(2*drainTime)))
			m.checkBudget(drain.VM)
		}
	}
}

// checkBudget checks by a count of its own that the pool of a VM whose drain has just started is within its budget.
func (m *model) checkBudget(vm string) {
	name := m.state.VMs[vm].Pool
	pool := m.state.Config.Pools[name]
	available, unavailable := 0, 0
	for _, v := range m.state.VMs {
		if v.Pool != name {
			continue
		}
		if v.Available() {
			available++
		} else {
			unavailable++
		}
	}
	assert.GreaterOrEqual(m.t, available, pool.Min, "pool %s", name)
	assert.LessOrEqual(m.t, unavailable, pool.MaxUnavailable, "pool %s", name)
	m.margin = min(m.margin, available-pool.Min)
}

func (m *model) run(limit time.Duration) {
	for maintenance.Remaining(m.state, "w") > 0 && m.now < limit {
		m.step()
	}
}

// TestWaveReachesEveryVMWithinBudgets guards against a wave that exceeds a budget, skips a VM, or takes longer than seven weeks, with a
// rack of four servers down for a part of it.
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
	m.run(maxWaveTime)
	assert.Zero(t, maintenance.Remaining(m.state, "w"))
	assert.Less(t, m.now, maxWaveTime)
}

// TestDrainAbandonedAfterUnplannedFailures guards against continuing a drain after other VMs of the pool have failed.
func TestDrainAbandonedAfterUnplannedFailures(t *testing.T) {
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
	reason, abandon := maintenance.ShouldAbandon(m.state, drained)
	assert.True(t, abandon)
	assert.Contains(t, reason, "pool")
	assert.Empty(t, maintenance.NextDrains(maintenance.Snapshot{State: m.state, Confirmed: true}), "no new drain starts either")
}

// TestNoDrainsOnUnconfirmedView guards against drains by an entry VM that is partitioned and learns of failures late.
func TestNoDrainsOnUnconfirmedView(t *testing.T) {
	m := newModel(t, samplefleet.Today)
	assert.NotEmpty(t, maintenance.NextDrains(maintenance.Snapshot{State: m.state, Confirmed: true}))
	assert.Empty(t, maintenance.NextDrains(maintenance.Snapshot{State: m.state}))
}

// BenchmarkWave measures how long a wave takes and how close it brings a pool to its minimum.
func BenchmarkWave(b *testing.B) {
	for _, size := range []samplefleet.Size{samplefleet.Today, samplefleet.Plan.Scale(50), samplefleet.Plan} {
		b.Run(fmt.Sprintf("servers=%d", size.Servers), func(b *testing.B) {
			for b.Loop() {
				m := newModel(b, size)
				m.run(maxWaveTime)
				b.ReportMetric(m.now.Hours(), "virtual-hours")
				b.ReportMetric(float64(m.margin), "least-margin-VMs")
			}
		})
	}
}
