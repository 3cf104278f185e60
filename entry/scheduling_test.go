package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"example.org/comfreyrouter/fleet"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/errkind"
)

func (b *fakeBackend) set(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

func (b *fakeBackend) runningOf(team string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running[team]
}

func (b *fakeBackend) refusalsOf(address string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.full[address]
}

func (b *fakeBackend) usedOf(address string) int {
	count := 0
	for _, used := range b.addresses() {
		if used == address {
			count++
		}
	}
	return count
}

// again is a repeatable request.
func again(body string) Request {
	req := order(body)
	req.Repeatable = true
	return req
}

// TestFullServerIsNotAskedAgainAtOnce guards against requests that bounce off a full server although it has just refused one, and against
// a pause for them while another server has free slots.
func TestFullServerIsNotAskedAgainAtOnce(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, _ *node) {
		s1 := serverAddress("s1")
		expect(t, a.Handle(t.Context(), again("takes a grant")), "", errkind.Done)
		a.backend.set(func() { a.backend.full = map[string]int{s1: 0} })
		a.backend.setRun(takes(5 * time.Millisecond))
		began := time.Now()
		for range 100 {
			sent := time.Now()
			expect(t, a.Handle(t.Context(), again("task")), "", errkind.Done)
			require.Equal(t, 5*time.Millisecond, time.Since(sent), "a refused request goes to the other server at once")
		}
		held := int(time.Since(began)/(50*time.Millisecond)) + 1
		require.LessOrEqual(t, a.backend.refusalsOf(s1), held, "one refusal for each mark of 50 ms")
		a.backend.set(func() { a.backend.full = nil })
		time.Sleep(60 * time.Millisecond)
		for range 30 {
			expect(t, a.Handle(t.Context(), again("task")), "", errkind.Done)
		}
		require.Positive(t, a.backend.usedOf(s1))
	})
}

// TestFailingServerIsProbed guards against a server that fails every task getting work during its ejection, or many tasks at once after
// it, and against it being left out for good once it works again.
func TestFailingServerIsProbed(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, _ *node) {
		s1 := serverAddress("s1")
		a.addServer(t, "s3", 1)
		a.backend.set(func() { a.backend.bad = map[string]bool{s1: true} })
		burst := func() {
			var callers sync.WaitGroup
			for range 12 {
				callers.Go(func() { a.Handle(t.Context(), again("task")) })
			}
			callers.Wait()
		}
		for a.backend.usedOf(s1) < 5 {
			burst()
		}
		failed := a.backend.usedOf(s1)
		for range 20 {
			burst()
		}
		require.Equal(t, failed, a.backend.usedOf(s1), "no work during the ejection")
		time.Sleep(11 * time.Second)
		for range 10 {
			burst()
		}
		require.Equal(t, failed+1, a.backend.usedOf(s1), "one probe after it")
		a.backend.set(func() { a.backend.bad = nil })
		time.Sleep(30 * time.Second)
		for range 10 {
			burst()
		}
		require.Greater(t, a.backend.usedOf(s1), failed+10)
	})
}

// addServer declares another server with 8 slots.
func (n *node) addServer(t *testing.T, name string, version uint64) {
	t.Helper()
	n.log.configure(version, fleet.Change{Server: &fleet.Object[fleet.BackendServer]{Name: name, Value: &fleet.BackendServer{
		Address: serverAddress(name), DataCentre: "a", Rack: "r", Pool: "pricing", Slots: 8, Connections: 64,
	}}})
	require.EqualValues(t, version+1, n.store.Config().Version)
	time.Sleep(10 * time.Second)
}

// TestHopelessRequestIsRefusedEarly guards against running requests that cannot end before their deadline, against refusing for good on
// what was learned from slow tasks, and against refusing because this VM alone has few of the slots.
func TestHopelessRequestIsRefusedEarly(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, b *node) {
		a.backend.setRun(takes(time.Second))
		for range 5 { // fewer tasks refuse nothing
			expect(t, a.Handle(t.Context(), again("teaches")), "", errkind.Done)
			expect(t, b.Handle(t.Context(), again("teaches")), "", errkind.Done)
		}
		short := again("short")
		short.TimeLeft = 500 * time.Millisecond
		expect(t, a.Handle(t.Context(), short), errkind.DeadlineTooClose, errkind.NotRun)
		a.backend.setRun(takes(10 * time.Millisecond))
		for i := 0; a.backend.count("short") == 0; i++ {
			require.Less(t, i, 100, "one in 32 refusals is a trial")
			short.ID = order("").ID
			a.Handle(t.Context(), short)
		}
		short.ID = order("").ID
		expect(t, a.Handle(t.Context(), short), "", errkind.Done)

		a.backend.setRun(takes(time.Second))
		a.submitAll(t.Context(), "quotes", 100)
		b.submitAll(t.Context(), "quotes", 10)
		late := again("late")
		late.TimeLeft = 3 * time.Second
		sent := time.Now()
		expect(t, b.Handle(t.Context(), late), errkind.DeadlineTooClose, errkind.NotRun)
		require.Zero(t, time.Since(sent))
		late.ID, late.TimeLeft = order("").ID, 9*time.Second
		expect(t, b.Handle(t.Context(), late), "", errkind.Done)
	})
}

// TestSharesHoldWithSkewedLoad guards a team whose requests all come to one VM against a VM that refills the slots which it holds with
// another team's requests.
func TestSharesHoldWithSkewedLoad(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, b *node) {
		a.addUrgentPool()
		time.Sleep(10 * time.Second)
		a.backend.setRun(takes(300 * time.Millisecond))
		a.submitAll(t.Context(), "u1", 2000)
		b.submitAll(t.Context(), "u2", 2000)
		time.Sleep(5 * time.Second) // the first grants and heartbeats
		held := a.backend.slotTime(200)
		require.InDelta(t, 1, float64(held["riks"])/float64(held["varmland"]), 0.2, "slot-time %v", held)
		require.Greater(t, held["riks"]+held["varmland"], 200*testSlots*8/10, "the slots are in use")
	})
}

// TestIdleAllotmentIsLent guards against slots that stay free for a peer that cannot start its waiting requests, here for want of grants
// while the log is down.
func TestIdleAllotmentIsLent(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, b *node) {
		a.addUrgentPool()
		time.Sleep(10 * time.Second)
		a.backend.setRun(takes(300 * time.Millisecond))
		a.submitAll(t.Context(), "u1", 1000)
		a.log.setCut(true, a, b)
		b.submitAll(t.Context(), "u2", 200)
		time.Sleep(2 * leaveFor)
		held := a.backend.slotTime(40)
		require.Zero(t, held["riks"])
		require.Greater(t, held["varmland"], 40*testSlots*8/10)
		a.log.setCut(false, a, b)
		time.Sleep(lendFor + time.Second)
		held = a.backend.slotTime(40)
		require.InDelta(t, 1, float64(held["riks"])/float64(held["varmland"]), 0.4, "the peer gets its part once it can start: %v", held)
	})
}

// addUrgentPool declares a pool without overnight work and an open queue in it for each of two teams.
func (n *node) addUrgentPool() {
	n.log.configure(1,
		fleet.Change{Team: &fleet.Object[fleet.Team]{Name: "riks", Value: &fleet.Team{Share: 1, Limit: 100}}},
		fleet.Change{Pool: &fleet.Object[fleet.Pool]{Name: "urgent", Value: &fleet.Pool{}}},
		fleet.Change{Server: &fleet.Object[fleet.BackendServer]{Name: "s3", Value: &fleet.BackendServer{
			Address: serverAddress("s3"), DataCentre: "a", Rack: "r", Pool: "urgent", Slots: testSlots, Connections: 64,
		}}},
		fleet.Change{Queue: &fleet.Object[fleet.Queue]{Name: "u1", Value: &fleet.Queue{
			Pool: "urgent", Class: fleet.Urgent, Open: true, Team: "varmland",
		}}},
		fleet.Change{Queue: &fleet.Object[fleet.Queue]{Name: "u2", Value: &fleet.Queue{
			Pool: "urgent", Class: fleet.Urgent, Open: true, Team: "riks",
		}}})
}

// slotTime sums the running tasks of each team over samples 50 ms apart.
func (b *fakeBackend) slotTime(samples int) map[string]int {
	held := map[string]int{}
	for range samples {
		time.Sleep(50 * time.Millisecond)
		b.set(func() {
			for team, n := range b.running {
				held[team] += n
			}
		})
	}
	return held
}

// TestPreemptionSparesTheTeamBelowItsShare guards against the choice of the newest overnight task whatever its team: the task of a team
// below its share lost its slot to urgent work while a team above its share kept all of its own.
func TestPreemptionSparesTheTeamBelowItsShare(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, _ *node) {
		a.log.configure(1,
			fleet.Change{Team: &fleet.Object[fleet.Team]{Name: "riks", Value: &fleet.Team{Share: 1, Limit: 100}}},
			fleet.Change{Queue: &fleet.Object[fleet.Queue]{Name: "small", Value: &fleet.Queue{
				Pool: "pricing", Class: fleet.Overnight, Open: true, Team: "riks",
			}}})
		a.backend.setRun(func(ctx context.Context, task backend.Task) ([]byte, error) {
			<-ctx.Done()
			return nil, &backend.Checkpoint{State: task.Body}
		})
		a.submitAll(t.Context(), "sheets", 14)
		time.Sleep(time.Minute)
		a.submitAll(t.Context(), "small", 10)
		require.Equal(t, 2, a.backend.runningOf("riks"))
		a.submitAll(t.Context(), "quotes", 1)
		time.Sleep(2 * time.Second)
		require.Equal(t, 2, a.backend.runningOf("riks"))
		require.Equal(t, 14, a.backend.read(a.backend.running), "13 overnight tasks and the urgent one")
		require.Equal(t, 17, len(a.backend.addresses()), "one checkpoint")
	})
}
