package upkeep

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
)

// everything is more orders than any wave here needs.
const everything = 1000

// fakeFleet is a fleet whose servers are busy, or can't be spared.
type fakeFleet struct {
	load  map[string]int
	lasts map[string]int
	keep  map[string]bool
	moved []string
}

func (f *fakeFleet) Load(server string) int        { return f.load[server] }
func (f *fakeFleet) LongRunning(server string) int { return f.lasts[server] }
func (f *fakeFleet) MayEnd(server string) bool     { return !f.keep[server] }
func (f *fakeFleet) Evacuate(server string)        { f.moved = append(f.moved, server) }
func (f *fakeFleet) Ending(string)                 {}
func none(int64) []string                          { return nil }
func names(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("m%d", i))
	}
	return ids
}

func ask(n, most int) []jobs.Wave {
	return []jobs.Wave{{Number: 1, Machines: names(n), WithinS: 20, MaxConcurrent: most}}
}

func up(id, pool, server string) jobs.Machine {
	return jobs.Machine{ID: id, Pool: pool, Server: server, Up: true, Phase: "up"}
}

func machines(n int) []jobs.Machine {
	var all []jobs.Machine
	for i, id := range names(n) {
		all = append(all, up(id, fmt.Sprintf("pool%d", i%3), "s-"+id))
	}
	return all
}

// orders returns the machines whose upkeep is ordered until nothing more is.
func orders(p *Planner, now time.Duration, list []jobs.Machine, f Dispatcher) []string {
	var ordered []string
	for {
		actions := p.Plan(now, list, f, everything)
		if len(actions) == 0 {
			return ordered
		}
		for _, a := range actions {
			if !a.Cordon {
				ordered = append(ordered, a.Machine)
			}
		}
	}
}

// TestNeverMoreAtOnceThanTheWaveAllows guards against an upkeep that begins while as many machines are down as a wave allows, be they
// accepted, without an answer, or listed as down by a former dispatcher's order.
func TestNeverMoreAtOnceThanTheWaveAllows(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(ask(9, 3), none)
	list, f := machines(9), &fakeFleet{}
	list[8].Phase, list[8].Up = jobs.MachineInUpkeep, false
	ordered := orders(p, 0, list, f)
	assert.Len(t, ordered, 2, "one machine is down already")
	assert.Empty(t, orders(p, time.Second, list, f), "none has come back")
	for i := range list {
		if slices.Contains(ordered, list[i].ID) {
			p.MarkAccepted(1, list[i].ID)
			list[i].Server += "-new"
		}
	}
	list[8] = up("m8", "pool2", "s-new")
	assert.NotEmpty(t, orders(p, 3*time.Second, list, f))
}

// TestWaveCompletesWhenAllHaveBegun guards against a wave that is called complete too early, or never.
func TestWaveCompletesWhenAllHaveBegun(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(ask(4, 2), none)
	list, f := machines(4), &fakeFleet{}
	for now := time.Duration(0); now < time.Minute && p.HasOpenWaves(); now += 100 * time.Millisecond {
		for _, id := range orders(p, now, list, f) {
			assert.Empty(t, p.CompletedWaves())
			p.MarkAccepted(1, id)
		}
	}
	assert.Equal(t, []int64{1}, p.CompletedWaves())
	assert.Equal(t, names(4), p.StartedMachines(1))
}

// TestBusyServersAreEmptiedFirst guards against short tasks that are killed although there is time for them to end, and against a wave
// that waits for ever for a server that never is empty.
func TestBusyServersAreEmptiedFirst(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(ask(1, 1), none)
	list, f := machines(1), &fakeFleet{load: map[string]int{"s-m0": 2}}
	assert.Empty(t, orders(p, 0, list, f))
	assert.Empty(t, orders(p, emptyWithin-time.Millisecond, list, f))
	assert.Equal(t, []string{"m0"}, orders(p, emptyWithin, list, f))
}

// TestBudgetGoesBeforeTheWave guards against an upkeep that ends a task which can't be spared.
func TestBudgetGoesBeforeTheWave(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(ask(1, 1), none)
	list, f := machines(1), &fakeFleet{keep: map[string]bool{"s-m0": true}}
	assert.Empty(t, orders(p, 0, list, f))
	assert.Empty(t, orders(p, time.Minute, list, f))
	assert.NotEmpty(t, f.moved)
	f.keep = nil
	assert.Equal(t, []string{"m0"}, orders(p, time.Minute, list, f))
}

// TestMachinesWithLongRunningTasksComeFirst guards against a wave whose last machines wait for one another: a few at a time may lose a
// long-running task, so these must not all be left for the end (27 s to 33 s of scale-1 of pandigital-cr-grown).
func TestMachinesWithLongRunningTasksComeFirst(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(ask(9, 1), none)
	f := &fakeFleet{lasts: map[string]int{"s-m7": 1}}
	assert.Equal(t, []string{"m7"}, orders(p, 0, machines(9), f)[:1])
}

// TestSeveralMachinesOfAPoolAreEmptiedAtOnce guards against a wave that is late because it empties one machine of a pool at a time: 90 of 179
// machines were left on trouble-3 of rutnat-grown.
func TestSeveralMachinesOfAPoolAreEmptiedAtOnce(t *testing.T) {
	list, f := machines(3*2*emptyShare), &fakeFleet{load: map[string]int{}}
	for _, m := range list {
		f.load[m.Server] = 1
	}
	cordoned := func(now time.Duration) int {
		p := New(2 * time.Second)
		p.AddWaves(ask(len(list), len(list)), none)
		p.Plan(1, nil, f, everything)
		n := 0
		for _, a := range p.Plan(now, list, f, everything) {
			if a.Cordon {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 3*2, cordoned(time.Second))
	assert.Equal(t, 3*(2*emptyShare/hurryShare), cordoned(19*time.Second), "the wave's time is nearly over")
}

// TestOrdersWithoutAnAnswerAreRepeated guards against a machine that counts as down for ever.
func TestOrdersWithoutAnAnswerAreRepeated(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(ask(1, 1), none)
	require.Len(t, orders(p, 0, machines(1), &fakeFleet{}), 1)
	assert.Empty(t, p.UnansweredOrders(100*time.Millisecond, time.Second))
	assert.Len(t, p.UnansweredOrders(2*time.Second, time.Second), 1)
	p.MarkAccepted(1, "m0")
	assert.Empty(t, p.UnansweredOrders(2*time.Second, time.Second))
}

// TestStoredMachinesAreNotOrderedAgain guards against a new dispatcher that empties machines which have had their upkeep.
func TestStoredMachinesAreNotOrderedAgain(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(ask(2, 2), func(int64) []string { return []string{"m0"} })
	assert.Equal(t, []string{"m1"}, orders(p, 0, machines(2), &fakeFleet{}))
}
