package autoscale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"example.org/comfreyrouter/jobs"
)

// TestMachinesComeByDegreesBeforeAPeak replays the opening of a peak whose need rises from 5 to 40 machines within two seconds. Each machine has to be
// there when it is needed; those for the end of the opening are idle for two seconds if they come with the first. In quiet-1 of jumbaq-kz-grown a pool
// got 91 machines at once, which stood idle until the peak had risen four seconds later.
func TestMachinesComeByDegreesBeforeAPeak(t *testing.T) {
	const step, peakAt = 250 * time.Millisecond, 5 * time.Second
	var needs []jobs.Resources
	for n := int64(5); n <= 40; n += 5 {
		needs = append(needs, jobs.Resources{CPU: n * 64000 * 100 / 112}) // without the headroom
	}
	machines := append(emptyMachines("a", 2, 0), emptyMachines("spare", 60, 0)...)
	p, upFrom, idle := New(), map[string]time.Duration{}, time.Duration(0)
	for now := time.Duration(0); now < peakAt+2*time.Second; now += step {
		up := 0
		for i := range machines {
			machines[i].Up = now >= upFrom[machines[i].ID]
			if machines[i].Pool == "a" && machines[i].Up {
				up++
			}
		}
		need := 0
		if now >= peakAt {
			need = 5 + 5*int((now-peakAt)/step)
		}
		assert.GreaterOrEqual(t, up, need, "at %v", now)
		idle += time.Duration(up-need) * step
		pool := Pool{Name: "a", PeakNeeds: needs, PeakIn: peakAt - now, PeakStep: step, MinMachines: 2}
		for _, move := range p.Plan(now, []Pool{pool, {Name: "spare", Spare: true}}, machines) {
			for i := range machines {
				if machines[i].ID == move.Machine {
					machines[i].Pool, upFrom[move.Machine] = move.To, now+MoveLatency
				}
			}
		}
	}
	t.Logf("%v of machines idle", idle)
	assert.Less(t, idle, 20*time.Second, "two machines for 5 s, and each other one for a quarter of a second")
}

// TestLaterNeedsOfAPeakMayBeDueFirst guards against machines for a sudden rise that are ordered only when the need before it is due: each machine that moves
// adds to the time that all take.
func TestLaterNeedsOfAPeakMayBeDueFirst(t *testing.T) {
	capacity := jobs.Resources{CPU: 64000, MemoryMB: 64000}
	small, large := jobs.Resources{CPU: 4 * 64000}, jobs.Resources{CPU: 80 * 64000}
	pool := Pool{PeakNeeds: []jobs.Resources{small, small, large}, PeakStep: 250 * time.Millisecond}
	want := machinesFor(large, capacity)
	pool.PeakIn = leadTime(want-5) - pool.PeakStep // the large need arises two steps after the peak begins
	assert.Equal(t, want, machinesForPeak(pool, capacity, 5))
	pool.PeakIn += 10 * time.Millisecond
	assert.Less(t, machinesForPeak(pool, capacity, 5), want, "it isn't due yet")
}
