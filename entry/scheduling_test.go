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

func (b *fakeBackend) update(change func()) {
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
	return b.fullRefusals[address]
}

func (b *fakeBackend) startsOn(address string) int {
	count := 0
	for _, used := range b.addressesOfStarts() {
		if used == address {
			count++
		}
	}
	return count
}

// repeatableRequest returns a repeatable request with a new id.
func repeatableRequest(body string) Request {
	req := nonRepeatableRequest(body)
	req.Repeatable = true
	return req
}

// TestFullServerIsAvoidedAfterRefusal guards against sending requests to a full server that has just refused one, and against a backoff for
// the refused request while another server has free slots.
func TestFullServerIsAvoidedAfterRefusal(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, _ *node) {
		s1 := serverAddress("s1")
		expect(t, a.Handle(t.Context(), repeatableRequest("takes a grant")), "", errkind.Done)
		a.backend.update(func() { a.backend.fullRefusals = map[string]int{s1: 0} })
		a.backend.setRun(runsFor(5 * time.Millisecond))
		began := time.Now()
		for range 100 {
			sent := time.Now()
			expect(t, a.Handle(t.Context(), repeatableRequest("task")), "", errkind.Done)
			require.Equal(t, 5*time.Millisecond, time.Since(sent), "a refused request goes to the other server at once")
		}
		held := int(time.Since(began)/(50*time.Millisecond)) + 1
		require.LessOrEqual(t, a.backend.refusalsOf(s1), held, "one refusal for each full mark of 50 ms")
		a.backend.update(func() { a.backend.fullRefusals = nil })
		time.Sleep(60 * time.Millisecond)
		for range 30 {
			expect(t, a.Handle(t.Context(), repeatableRequest("task")), "", errkind.Done)
		}
		require.Positive(t, a.backend.startsOn(s1))
	})
}

// TestFailingServerIsProbed guards against sending work to a server that fails every task during its ejection, or many tasks at once after
// it, and against excluding the server permanently once it works again.
func TestFailingServerIsProbed(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, _ *node) {
		s1 := serverAddress("s1")
		a.addServer(t, "s3", 1)
		a.backend.update(func() { a.backend.failingServers = map[string]bool{s1: true} })
		burst := func() {
			var callers sync.WaitGroup
			for range 12 {
				callers.Go(func() { a.Handle(t.Context(), repeatableRequest("task")) })
			}
			callers.Wait()
		}
		for a.backend.startsOn(s1) < 5 {
			burst()
		}
		failed := a.backend.startsOn(s1)
		for range 20 {
			burst()
		}
		require.Equal(t, failed, a.backend.startsOn(s1), "no work during the ejection")
		time.Sleep(11 * time.Second)
		for range 10 {
			burst()
		}
		require.Equal(t, failed+1, a.backend.startsOn(s1), "one probe after it")
		a.backend.update(func() { a.backend.failingServers = nil })
		time.Sleep(30 * time.Second)
		for range 10 {
			burst()
		}
		require.Greater(t, a.backend.startsOn(s1), failed+10)
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

// TestUnmeetableDeadlineIsRefusedEarly guards against running requests that cannot end before their deadline, against refusing permanently
// because of run times measured on slow tasks, and against refusing because this VM holds only a few of the slots.
func TestUnmeetableDeadlineIsRefusedEarly(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, b *node) {
		a.backend.setRun(runsFor(time.Second))
		for range 5 { // with fewer tasks nothing is refused
			expect(t, a.Handle(t.Context(), repeatableRequest("teaches")), "", errkind.Done)
			expect(t, b.Handle(t.Context(), repeatableRequest("teaches")), "", errkind.Done)
		}
		short := repeatableRequest("short")
		short.TimeLeft = 500 * time.Millisecond
		expect(t, a.Handle(t.Context(), short), errkind.DeadlineTooClose, errkind.NotRun)
		a.backend.setRun(runsFor(10 * time.Millisecond))
		for i := 0; a.backend.startsOf("short") == 0; i++ {
			require.Less(t, i, 100, "one in 32 refusals is a trial")
			short.ID = nonRepeatableRequest("").ID
			a.Handle(t.Context(), short)
		}
		short.ID = nonRepeatableRequest("").ID
		expect(t, a.Handle(t.Context(), short), "", errkind.Done)

		a.backend.setRun(runsFor(time.Second))
		a.sendRequests(t.Context(), "quotes", 100)
		b.sendRequests(t.Context(), "quotes", 10)
		late := repeatableRequest("late")
		late.TimeLeft = 3 * time.Second
		sent := time.Now()
		expect(t, b.Handle(t.Context(), late), errkind.DeadlineTooClose, errkind.NotRun)
		require.Zero(t, time.Since(sent))
		late.ID, late.TimeLeft = nonRepeatableRequest("").ID, 9*time.Second
		expect(t, b.Handle(t.Context(), late), "", errkind.Done)
	})
}

// TestSharesHoldWithSkewedLoad checks that a team whose requests all arrive at one VM gets its share, although another VM could refill the
// slots that it holds with another team's requests.
func TestSharesHoldWithSkewedLoad(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, b *node) {
		a.addUrgentOnlyPool()
		time.Sleep(10 * time.Second)
		a.backend.setRun(runsFor(300 * time.Millisecond))
		a.sendRequests(t.Context(), "u1", 2000)
		b.sendRequests(t.Context(), "u2", 2000)
		time.Sleep(5 * time.Second) // the first grants and heartbeats
		held := a.backend.slotTime(200)
		require.InDelta(t, 1, float64(held["riks"])/float64(held["varmland"]), 0.2, "slot-time %v", held)
		require.Greater(t, held["riks"]+held["varmland"], 200*testSlots*8/10, "the slots are in use")
	})
}

// TestIdleAllotmentIsLent guards against slots that stay free for a peer that cannot start its waiting requests, here because it gets no
// grants while the log is unavailable.
func TestIdleAllotmentIsLent(t *testing.T) {
	withNodes(t, 100, func(t *testing.T, a, b *node) {
		a.addUrgentOnlyPool()
		time.Sleep(10 * time.Second)
		a.backend.setRun(runsFor(300 * time.Millisecond))
		a.sendRequests(t.Context(), "u1", 1000)
		a.log.setUnreachable(true, a, b)
		b.sendRequests(t.Context(), "u2", 200)
		time.Sleep(2 * idleAllotmentTimeout)
		held := a.backend.slotTime(40)
		require.Zero(t, held["riks"])
		require.Greater(t, held["varmland"], 40*testSlots*8/10)
		a.log.setUnreachable(false, a, b)
		time.Sleep(lendPeriod + time.Second)
		held = a.backend.slotTime(40)
		require.InDelta(t, 1, float64(held["riks"])/float64(held["varmland"]), 0.4, "the peer gets its share once it can start tasks: %v", held)
	})
}

// addUrgentOnlyPool declares a pool without overnight work and an open queue in it for each of two teams.
func (n *node) addUrgentOnlyPool() {
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
		b.update(func() {
			for team, n := range b.running {
				held[team] += n
			}
		})
	}
	return held
}

// TestPreemptionSparesTeamBelowItsShare guards against preempting the newest overnight task regardless of its team. A team below its share
// lost its slot to urgent work while a team above its share kept all of its slots.
func TestPreemptionSparesTeamBelowItsShare(t *testing.T) {
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
		a.sendRequests(t.Context(), "sheets", 14)
		time.Sleep(time.Minute)
		a.sendRequests(t.Context(), "small", 10)
		require.Equal(t, 2, a.backend.runningOf("riks"))
		a.sendRequests(t.Context(), "quotes", 1)
		time.Sleep(2 * time.Second)
		require.Equal(t, 2, a.backend.runningOf("riks"))
		require.Equal(t, 14, a.backend.ofTestTeam(a.backend.running), "13 overnight tasks and the urgent one")
		require.Equal(t, 17, len(a.backend.addressesOfStarts()), "one checkpoint")
	})
}
