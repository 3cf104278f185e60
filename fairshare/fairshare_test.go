package fairshare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/testenv"
)

func TestMain(m *testing.M) { testenv.Main(m) }

var start = time.Unix(1000, 0)

func allowAll(string) bool { return true }

var counts = rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.IntRange(0, 30))

// TestQueueKeepsEveryRequest guards against requests that are lost, started twice or started out of order within a team, also when they
// are returned after a refusal.
func TestQueueKeepsEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairshare.NewQueue()
		waiting := map[uint64]fairshare.Item{}
		view := fairshare.View{Shares: map[string]int{"a": 3, "b": 1}, FreeSlots: 1, MayStart: allowAll}
		for id := uint64(1); id < 60; id++ {
			team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			class := rapid.SampledFrom([]fleet.Class{fleet.Urgent, fleet.Overnight}).Draw(t, "class")
			item := fairshare.Item{ID: id, Team: team, Class: class, Enqueued: start.Add(time.Duration(id))}
			q.Push(item)
			waiting[id] = item
			next, ok := q.Next(view)
			require.True(t, ok)
			for _, other := range waiting {
				earlier := other.Team == next.Team && other.Class == next.Class && other.ID < next.ID
				require.False(t, earlier, "an earlier request of the team still waits")
				require.False(t, next.Class == fleet.Overnight && other.Class == fleet.Urgent)
			}
			if rapid.Bool().Draw(t, "refused") {
				q.Return(next)
				continue
			}
			delete(waiting, next.ID)
			require.Equal(t, len(waiting), q.Len())
		}
	})
}

// TestDivide guards against a division that gives out more than the slots or a team's demand, leaves wanted slots unused, or breaks the
// shares.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 100).Draw(t, "slots")
		shares, demand := counts.Draw(t, "shares"), counts.Draw(t, "demand")
		sum, wanted := 0.0, 0
		parts := fairshare.Divide(slots, shares, demand)
		for team, part := range parts {
			require.LessOrEqual(t, part, float64(demand[team])+1e-6)
			sum += part
			wanted += demand[team]
			for other := range parts {
				short := part < float64(demand[team])-1e-6
				better := parts[other]*float64(shares[team]) > part*float64(shares[other])+1e-6
				require.False(t, short && shares[team] > 0 && better, "%s is short and %s has more for its share", team, other)
			}
		}
		require.InDelta(t, min(slots, wanted), sum, 1e-6)
	})
}

// TestAllotmentsCoverThePool guards against allotments that add up to less than the pool, so that slots stay unused while work waits.
func TestAllotmentsCoverThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := make([]fairshare.Demand, rapid.IntRange(1, 6).Draw(t, "vms"))
		wanted := 0
		for i := range demands {
			demands[i] = fairshare.Demand{Running: counts.Draw(t, "running"), Waiting: counts.Draw(t, "waiting")}
		}
		for _, n := range fairshare.TotalDemand(demands...) {
			wanted += n
		}
		slots, sum := rapid.IntRange(1, 80).Draw(t, "slots"), 0
		for i, own := range demands {
			peers := append(append([]fairshare.Demand{}, demands[:i]...), demands[i+1:]...)
			n := fairshare.Allot(slots, map[string]int{"a": 5, "b": 2, "c": 1}, own, peers)
			sum += min(n, 1000)
		}
		require.GreaterOrEqual(t, sum, min(slots, wanted))
	})
}

// TestAllotmentLeavesSlotsToPeer guards against a VM that gives slots to a team above its share while a team below its share waits on a
// peer.
func TestAllotmentLeavesSlotsToPeer(t *testing.T) {
	shares := map[string]int{"a": 1, "b": 1}
	own := fairshare.Demand{Running: map[string]int{"a": 8}, Waiting: map[string]int{"a": 9}}
	peer := fairshare.Demand{Waiting: map[string]int{"b": 9}}
	require.Equal(t, 4, fairshare.Allot(8, shares, own, []fairshare.Demand{peer}))
	require.Equal(t, fairshare.UnlimitedAllotment, fairshare.Allot(8, shares, own, []fairshare.Demand{{}}), "an unused share is lent")
	q := fairshare.NewQueue()
	q.Push(fairshare.Item{ID: 1, Team: "a", Class: fleet.Overnight})
	view := fairshare.View{Shares: shares, FreeSlots: 1, HeldSlots: 4, Allotment: 4, MayStart: allowAll}
	_, ok := q.Next(view)
	require.False(t, ok)
	q.Push(fairshare.Item{ID: 2, Team: "a", Class: fleet.Urgent})
	item, ok := q.Next(view)
	require.True(t, ok && item.ID == 2, "overnight tasks do not hold urgent work back")
}

// TestUsageExcess guards against charges for borrowed slots, and against past usage that is lost with an entry VM or never decays.
func TestUsageExcess(t *testing.T) {
	u := fairshare.NewUsage(10 * time.Second)
	u.SetRunning("vm1", map[string]int{"lent": 4, "over": 4}, start)
	u.SetEntitlements(map[string]float64{"lent": 4, "over": 2, "short": 2}, start)
	now := start.Add(10 * time.Second)
	excess := u.Excess(now)
	require.InDelta(t, 0, excess["lent"], 1e-6)
	require.InDelta(t, 2*0.632, excess["over"], 0.01)
	require.InDelta(t, -2*0.632, excess["short"], 0.01)
	u.RemoveSource("vm1", now)
	u.SetEntitlements(nil, now)
	require.InDelta(t, 2*0.632, u.Excess(now)["over"], 0.01)
	require.Empty(t, u.Excess(now.Add(10*time.Minute)))
}

// TestPreempt guards against checkpoints of more tasks than urgent work needs, of the same task twice, and of tasks of teams below
// their share.
func TestPreempt(t *testing.T) {
	tasks := []fairshare.RunningTask{{ID: "old", Team: "over", Started: start}, {ID: "new", Team: "over", Started: start.Add(time.Second)}, {ID: "under", Team: "under"}}
	usage, shares := map[string]float64{"over": 2, "under": -2}, map[string]int{"over": 1, "under": 1}
	require.Equal(t, []string{"new"}, fairshare.Preempt(fairshare.UrgentLoad{Overdue: 1}, tasks, usage, shares))
	require.Empty(t, fairshare.Preempt(fairshare.UrgentLoad{Overdue: 1, FreeSlots: 1}, tasks, usage, shares))
	tasks[1].Checkpointing = true
	require.Empty(t, fairshare.Preempt(fairshare.UrgentLoad{Overdue: 1}, tasks, usage, shares))
	elsewhere := fairshare.UrgentLoad{PeersOverdue: []int{2, 0}, PeersOvernight: []int{0, 3}}
	require.Equal(t, []string{"old"}, fairshare.Preempt(elsewhere, []fairshare.RunningTask{tasks[0]}, usage, shares))
	own := fairshare.UrgentLoad{PeersOverdue: []int{2}, PeersOvernight: []int{5}}
	require.Empty(t, fairshare.Preempt(own, tasks[:1], usage, shares), "a peer serves its requests from its own tasks first")
	require.Equal(t, 1, fairshare.Reserve(8, 10))
}

// BenchmarkNext measures one Next and Return with 62 teams.
func BenchmarkNext(b *testing.B) {
	q := fairshare.NewQueue()
	view := fairshare.View{Shares: map[string]int{}, Usage: map[string]float64{}, FreeSlots: 1, MayStart: allowAll}
	for i := range 62 {
		team := fmt.Sprint(i)
		view.Shares[team], view.Usage[team] = i+1, float64(i)
		q.Push(fairshare.Item{ID: uint64(i), Team: team, Class: fleet.Urgent, Enqueued: start})
	}
	for b.Loop() {
		item, _ := q.Next(view)
		q.Return(item)
	}
}
