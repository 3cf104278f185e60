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

// unlimited is more orders than any wave here needs.
const unlimited = 1000

// fakeDispatcher is a dispatcher with servers that are busy or must not end.
type fakeDispatcher struct {
	shortTasks  map[string]int
	longRunning map[string]int
	mustKeep    map[string]bool
	relocated   []string
	terminating []string
}

func (f *fakeDispatcher) ShortTaskCount(server string) int       { return f.shortTasks[server] }
func (f *fakeDispatcher) LongRunningTaskCount(server string) int { return f.longRunning[server] }
func (f *fakeDispatcher) MayTerminate(server string) bool        { return !f.mustKeep[server] }
func (f *fakeDispatcher) RelocateExcessTasks(server string) {
	f.relocated = append(f.relocated, server)
}

func (f *fakeDispatcher) MarkTerminating(server string) {
	f.terminating = append(f.terminating, server)
}
func noneStored(int64) Stored { return Stored{} }

// machineIDs returns the ids of n machines.
func machineIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("m%d", i))
	}
	return ids
}

// requestWave returns a wave for n machines of which at most maxConcurrent may be down at once.
func requestWave(n, maxConcurrent int) []jobs.Wave {
	return []jobs.Wave{{Number: 1, Machines: machineIDs(n), DurationS: 20, MaxConcurrent: maxConcurrent}}
}

// upMachine returns a machine that is up.
func upMachine(id, pool, server string) jobs.Machine {
	return jobs.Machine{ID: id, Pool: pool, Server: server, Up: true, Phase: "up"}
}

// machines returns n machines that are up, in three pools.
func machines(n int) []jobs.Machine {
	var all []jobs.Machine
	for i, id := range machineIDs(n) {
		all = append(all, upMachine(id, fmt.Sprintf("pool%d", i%3), "s-"+id))
	}
	return all
}

// orders plans until there are no further actions, and returns the machines whose upkeep was ordered.
func orders(p *Planner, now time.Duration, list []jobs.Machine, f Dispatcher) []string {
	var ordered []string
	for {
		actions := p.Plan(now, list, f, unlimited)
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

// TestWaveLimitsMachinesDownAtOnce guards against ordering upkeep while as many machines are down as the wave allows, whether their orders were
// accepted, are unanswered, or came from a predecessor of the dispatcher and show only in the list of machines.
func TestWaveLimitsMachinesDownAtOnce(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(requestWave(9, 3), noneStored)
	list, f := machines(9), &fakeDispatcher{}
	list[8].Phase, list[8].Up = jobs.MachineInUpkeep, false
	ordered := orders(p, 0, list, f)
	assert.Len(t, ordered, 2, "one machine is down already")
	assert.Empty(t, orders(p, time.Second, list, f), "no machine is up again")
	for i := range list {
		if slices.Contains(ordered, list[i].ID) {
			p.MarkAccepted(1, list[i].ID)
			list[i].Server += "-new"
		}
	}
	list[8] = upMachine("m8", "pool2", "s-new")
	assert.NotEmpty(t, orders(p, 3*time.Second, list, f))
}

// TestWaveCompletesWhenAllMachinesHaveStarted guards against a wave that is reported complete too early, or never.
func TestWaveCompletesWhenAllMachinesHaveStarted(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(requestWave(4, 2), noneStored)
	list, f := machines(4), &fakeDispatcher{}
	for now := time.Duration(0); now < time.Minute && p.HasOpenWaves(); now += 100 * time.Millisecond {
		for _, id := range orders(p, now, list, f) {
			assert.Empty(t, p.CompletedWaves())
			p.MarkAccepted(1, id)
		}
	}
	assert.Equal(t, []int64{1}, p.CompletedWaves())
	assert.Equal(t, machineIDs(4), p.StartedMachines(1))
}

// TestBusyServersAreDrained guards against killing short tasks although there is time for them to end, and against a wave that waits forever for a
// server that is never empty.
func TestBusyServersAreDrained(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(requestWave(1, 1), noneStored)
	list, f := machines(1), &fakeDispatcher{shortTasks: map[string]int{"s-m0": 2}}
	assert.Empty(t, orders(p, 0, list, f))
	assert.Empty(t, orders(p, drainPeriod-time.Millisecond, list, f))
	assert.Equal(t, []string{"m0"}, orders(p, drainPeriod, list, f))
}

// TestBudgetTakesPrecedenceOverWave guards against upkeep that ends a task whose step has no budget left for another unavailable task.
func TestBudgetTakesPrecedenceOverWave(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(requestWave(1, 1), noneStored)
	list, f := machines(1), &fakeDispatcher{mustKeep: map[string]bool{"s-m0": true}}
	assert.Empty(t, orders(p, 0, list, f))
	assert.Empty(t, orders(p, time.Minute, list, f))
	assert.NotEmpty(t, f.relocated)
	f.mustKeep = nil
	assert.Equal(t, []string{"m0"}, orders(p, time.Minute, list, f))
}

// TestMachinesWithLongRunningTasksComeFirst guards against a wave whose last machines wait for one another: only a few machines with long-running
// tasks may go down at a time, so they must not all be left to the end. This was seen from 27 s to 33 s of scenario scale-1 of pandigital-cr-grown.
func TestMachinesWithLongRunningTasksComeFirst(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(requestWave(9, 1), noneStored)
	f := &fakeDispatcher{longRunning: map[string]int{"s-m7": 1}}
	assert.Equal(t, []string{"m7"}, orders(p, 0, machines(9), f)[:1])
}

// TestSeveralMachinesOfAPoolAreDrainedAtOnce guards against a wave that is late because it drains one machine of a pool at a time. In scenario
// trouble-3 of rutnat-grown, 90 of 179 machines were left without upkeep.
func TestSeveralMachinesOfAPoolAreDrainedAtOnce(t *testing.T) {
	list, f := machines(3*2*drainDivisor), &fakeDispatcher{shortTasks: map[string]int{}}
	for _, m := range list {
		f.shortTasks[m.Server] = 1
	}
	cordoned := func(now time.Duration) int {
		p := New(2 * time.Second)
		p.AddWaves(requestWave(len(list), len(list)), noneStored)
		p.Plan(1, nil, f, unlimited)
		n := 0
		for _, a := range p.Plan(now, list, f, unlimited) {
			if a.Cordon {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 3*2, cordoned(time.Second))
	assert.Equal(t, 3*(2*drainDivisor/urgentDrainDivisor), cordoned(19*time.Second), "the wave's time is nearly over")
}

// TestUnansweredOrdersAreRepeated guards against a machine that counts as down forever.
func TestUnansweredOrdersAreRepeated(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(requestWave(1, 1), noneStored)
	require.Len(t, orders(p, 0, machines(1), &fakeDispatcher{}), 1)
	assert.Empty(t, p.UnansweredOrders(100*time.Millisecond, time.Second, machines(1), &fakeDispatcher{}))
	assert.Equal(t, []Action{{Wave: 1, Machine: "m0", Server: "s-m0", Repeated: true}}, p.UnansweredOrders(2*time.Second, time.Second, machines(1), &fakeDispatcher{}))
	assert.Len(t, p.UnansweredOrders(4*time.Second, time.Second, machines(1), &fakeDispatcher{}), 1)
	p.MarkAccepted(1, "m0")
	assert.Empty(t, p.UnansweredOrders(6*time.Second, time.Second, machines(1), &fakeDispatcher{}))
}

// TestRepeatedOrderAsksAgain guards against an upkeep that ends a task while others of its step are away, because its order had no answer and is repeated
// when the budget has been used up (review/15), and against one that ends the tasks of a server that its machine has got since.
func TestRepeatedOrderAsksAgain(t *testing.T) {
	p, d := New(2*time.Second), &fakeDispatcher{shortTasks: map[string]int{}, mustKeep: map[string]bool{}}
	p.AddWaves(requestWave(1, 1), noneStored)
	require.Len(t, orders(p, 0, machines(1), d), 1)
	d.mustKeep["s-m0"] = true
	assert.Empty(t, p.UnansweredOrders(2*time.Second, time.Second, machines(1), d))
	assert.Empty(t, orders(p, 2*time.Second, machines(1), d), "it may have been carried out")
	d.mustKeep["s-m0"] = false
	assert.Len(t, p.UnansweredOrders(3*time.Second, time.Second, machines(1), d), 1)
	d.shortTasks["new"] = 1
	later := []jobs.Machine{upMachine("m0", "pool0", "new")}
	assert.Empty(t, p.UnansweredOrders(5*time.Second, time.Second, later, d), "its tasks get the time to end")
	d.shortTasks["new"] = 0
	repeated := p.UnansweredOrders(6*time.Second, time.Second, later, d)
	require.Len(t, repeated, 1)
	assert.Equal(t, "new", repeated[0].Server)
	assert.Contains(t, d.terminating, "new")
}

// TestUnsentOrderIsDecidedAgain guards against an order that counts as sent, or a server that is drained anew, because the order wasn't allowed any more when
// it was to be sent.
func TestUnsentOrderIsDecidedAgain(t *testing.T) {
	p, d := New(2*time.Second), &fakeDispatcher{}
	p.AddWaves(requestWave(1, 1), noneStored)
	require.Len(t, orders(p, 0, machines(1), d), 1)
	p.MarkUnsent(1, "m0")
	assert.Empty(t, p.UnansweredOrders(2*time.Second, time.Second, machines(1), d))
	assert.Equal(t, []string{"m0"}, orders(p, 2*time.Second, machines(1), d))
}

// TestOrdersOfFormerDispatchersCount guards against more machines down than a wave allows, because an order of a former dispatcher is carried out late beside those
// of the present one, and against a wave that waits for such an order for ever.
func TestOrdersOfFormerDispatchersCount(t *testing.T) {
	p, d := New(2*time.Second), &fakeDispatcher{mustKeep: map[string]bool{}}
	p.AddWaves(requestWave(3, 1), func(int64) Stored {
		return Stored{Started: []string{"m0"}, Ordered: []string{"m0", "m1", "elsewhere"}}
	})
	d.mustKeep["s-m1"] = true
	assert.Empty(t, orders(p, 5*time.Second, machines(3), d), "m1 may be down")
	assert.Empty(t, p.UnansweredOrders(5*time.Second, time.Second, machines(3), d), "the budgets count for it too")
	d.mustKeep["s-m1"] = false
	repeated := p.UnansweredOrders(6*time.Second, time.Second, machines(3), d)
	require.Len(t, repeated, 1)
	assert.Equal(t, "m1", repeated[0].Machine)
	p.MarkAccepted(1, "m1")
	list := machines(3)
	list[1].Up, list[1].Phase = false, jobs.MachineInUpkeep
	assert.Empty(t, orders(p, 7*time.Second, list, d), "it is down")
	list[1] = upMachine("m1", "pool1", "new")
	assert.Equal(t, []string{"m2"}, orders(p, 10*time.Second, list, d))
}

// TestStoredMachinesAreNotOrderedAgain guards against a new dispatcher that drains machines which have already had their upkeep.
func TestStoredMachinesAreNotOrderedAgain(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(requestWave(2, 2), func(int64) Stored { return Stored{Started: []string{"m0"}} })
	assert.Equal(t, []string{"m1"}, orders(p, 0, machines(2), &fakeDispatcher{}))
}

// TestEvacuatedMachinesGoFirst guards against a wave that takes capacity from a pool while machines of an evacuated data centre, which have none, wait.
func TestEvacuatedMachinesGoFirst(t *testing.T) {
	p := New(2 * time.Second)
	p.AddWaves(requestWave(24, 24), noneStored)
	p.SetEvacuated(func(dataCentre string) bool { return dataCentre == "z" })
	all := machines(24)
	busy := map[string]int{}
	for i := range all {
		busy[all[i].Server] = 1
		if i >= 12 {
			all[i].DataCentre = "z"
		}
	}
	var cordoned []string
	for _, a := range p.Plan(time.Second, all, &fakeDispatcher{shortTasks: busy}, 12) {
		if a.Cordon {
			cordoned = append(cordoned, all[slices.IndexFunc(all, func(m jobs.Machine) bool { return m.ID == a.Machine })].DataCentre)
		}
	}
	assert.Equal(t, append(slices.Repeat([]string{"z"}, 12), "", "", ""), cordoned, "and one of each pool")
}

// TestMachineIsOrderedInOneWaveAtATime guards against two orders for a machine that is in two waves, of which the platform refuses one, and against a server that ends
// undrained because its machine has come back from the upkeep of another wave.
func TestMachineIsOrderedInOneWaveAtATime(t *testing.T) {
	p, d := New(2*time.Second), &fakeDispatcher{shortTasks: map[string]int{}}
	second := requestWave(1, 1)[0]
	second.Number = 2
	p.AddWaves([]jobs.Wave{requestWave(1, 1)[0], second}, noneStored)
	require.Len(t, orders(p, 0, machines(1), d), 1)
	p.MarkAccepted(1, "m0")
	assert.Empty(t, orders(p, time.Second, machines(1), d), "it is ordered in the first wave")
	d.shortTasks["new"] = 1
	list := []jobs.Machine{upMachine("m0", "pool0", "new")}
	assert.Empty(t, orders(p, 5*time.Second, list, d), "its new server is drained")
	assert.Empty(t, orders(p, 6*time.Second, list, d))
	assert.Len(t, orders(p, 5*time.Second+drainPeriod, list, d), 1)
}

// TestRefusedRepetitionDoesNotSettleTheOrder guards against more machines down than a wave allows, because an order without an answer is carried out after its repetition was
// refused, and against a wave that waits for a machine which is lost for good.
func TestRefusedRepetitionDoesNotSettleTheOrder(t *testing.T) {
	p, d := New(2*time.Second), &fakeDispatcher{}
	p.AddWaves(requestWave(2, 1), noneStored)
	require.Equal(t, []string{"m0"}, orders(p, time.Second, machines(2), d))
	p.MarkUnanswered(1, "m0", time.Second)
	require.Len(t, p.UnansweredOrders(3*time.Second, time.Second, machines(2), d), 1)
	p.MarkRefused(1, "m0", 3*time.Second)
	assert.Empty(t, orders(p, 4*time.Second, machines(2), d))
	require.Len(t, p.UnansweredOrders(5*time.Second, time.Second, machines(2), d), 1, "it is repeated until it is settled")
	p.MarkRefused(1, "m0", time.Second+MaxOrderDelay+1)
	assert.Len(t, orders(p, time.Second+MaxOrderDelay+1, machines(2), d), 1)
}
