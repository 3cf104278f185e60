package routing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/testenv"
	"example.org/comfreyrouter/routing"
)

// minTasksToLearn is the number of tasks after which run times count as learned.
const minTasksToLearn = 5

// lastTaskAt is the time at which the observed tasks ended.
var lastTaskAt = time.Unix(1000, 0)

func TestMain(m *testing.M) { testenv.Main(m) }

var (
	start = time.Unix(1000, 0)
	pool  = []string{"a", "b", "c", "d", "e", "f"}
)

func reportRepeatedly(h *routing.Health, server string, ok bool, n int, now time.Time) {
	for range n {
		h.Report(server, ok, pool, now)
	}
}

// TestAtMostAThirdIsEjected guards against ejections that empty a pool, in any order of task results, probes, retracted failures and
// moves of servers between pools.
func TestAtMostAThirdIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := routing.NewHealth(routing.DefaultHealthOptions())
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			server := rapid.SampledFrom(pool).Draw(t, "server")
			members := pool[:rapid.IntRange(1, len(pool)).Draw(t, "size")]
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				h.Report(server, true, members, now)
			case 1:
				h.Started(server, now)
			case 2:
				h.RetractFailure(server)
			default:
				reportRepeatedly(h, server, false, 5, now)
			}
			require.LessOrEqual(t, 3*len(h.EjectedServers(members, now)), len(members))
		}
	})
}

// TestFailureOfAllServersEjectsNone guards against ejections when the whole pool fails, because then no single server is at fault.
func TestFailureOfAllServersEjectsNone(t *testing.T) {
	h := routing.NewHealth(routing.DefaultHealthOptions())
	for range 20 {
		for _, server := range pool {
			h.Report(server, false, pool, start)
		}
	}
	require.Empty(t, h.EjectedServers(pool, start))
}

// TestProbeAfterEjection guards against a failing server that gets full load again at the end of its ejection, and against a repaired
// one that stays ejected.
func TestProbeAfterEjection(t *testing.T) {
	h := routing.NewHealth(routing.DefaultHealthOptions())
	reportRepeatedly(h, "a", false, 5, start)
	h.Report("a", true, pool, start.Add(time.Second))
	require.True(t, h.Ejected("a", start.Add(9*time.Second)), "the result of a task from before the ejection does not end it")
	probe := start.Add(10 * time.Second)
	require.False(t, h.Ejected("a", probe))
	h.Started("a", probe)
	require.True(t, h.Ejected("a", probe), "one probe at a time")
	h.Report("a", false, pool, probe)
	require.True(t, h.Ejected("a", probe.Add(19*time.Second)), "the second ejection is twice as long")
	second := probe.Add(20 * time.Second)
	h.Started("a", second)
	h.Report("a", true, pool, second)
	require.False(t, h.Ejected("a", second))
}

// TestPoisonJobEjectsNoServer guards against the ejection of healthy servers by a job that fails on every server.
func TestPoisonJobEjectsNoServer(t *testing.T) {
	h := routing.NewHealth(routing.DefaultHealthOptions())
	for i := range 60 {
		first := pool[i%len(pool)]
		h.Report(first, false, pool, start)
		h.RetractFailure(first)
		require.Empty(t, h.EjectedServers(pool, start))
	}
}

// TestRetryRules guards against a second run of a non-repeatable request that may have started, more than 3 attempts, and retries above
// the budget.
func TestRetryRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := routing.NewRetryBudget(10, 5)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				budget.OnRequest()
				requests++
				continue
			}
			kind := rapid.SampledFrom(errkind.All()).Draw(t, "kind")
			repeatable := rapid.Bool().Draw(t, "repeatable")
			attempts := rapid.IntRange(1, 5).Draw(t, "attempts")
			again := routing.MayRetry(kind, repeatable, attempts, budget)
			if kind == errkind.BackendRefused {
				require.True(t, again)
				continue
			}
			require.False(t, again && !repeatable)
			require.False(t, again && attempts >= routing.MaxAttempts)
			if again {
				retries++
			}
			require.LessOrEqual(t, 10*retries, requests+10*5)
		}
	})
}

// TestChooseUsable guards against the choice of a server that is ejected, excluded, full or marked as full, and against a server that
// attracts work because it fails fast and so looks idle.
func TestChooseUsable(t *testing.T) {
	rnd := newModel(scenario{}, 1).rnd
	servers := []routing.Server{
		{Name: "out", Slots: 8, Ejected: true},
		{Name: "excluded", Slots: 8},
		{Name: "full", Slots: 8, LocalTasks: 3, RemoteTasks: 5},
		{Name: "marked", Slots: 8, Full: true},
		{Name: "good", Slots: 8, LocalTasks: 3},
		{Name: "failing", Slots: 8, Failures: 4},
	}
	chosen := map[string]int{}
	for range 400 {
		i, ok := routing.Choose(servers, "dc", map[string]bool{"excluded": true}, rnd)
		require.True(t, ok)
		chosen[servers[i].Name]++
	}
	require.Len(t, chosen, 2)
	require.Greater(t, chosen["good"], 2*chosen["failing"])
}

// TestRunTimesLearn guards against estimates that follow a declared run time which is wrong by a factor of 10, and against memory that
// grows with every queue ever seen.
func TestRunTimesLearn(t *testing.T) {
	for _, declared := range []time.Duration{100 * time.Millisecond, 10 * time.Second} {
		r := routing.NewRunTimes()
		require.Equal(t, declared, r.Estimate("q", "t", declared))
		for i := range 4 {
			r.Observe("q", "t", time.Duration(900+50*i)*time.Millisecond, lastTaskAt)
		}
		require.InDelta(t, time.Second, r.Estimate("q", "t", declared), float64(200*time.Millisecond))
		require.Equal(t, 900*time.Millisecond, r.Shortest("q", "t", declared))
	}
	r := routing.NewRunTimes()
	for i := range 3000 {
		r.Observe("q", string(rune('a'+i)), time.Second, lastTaskAt)
	}
	require.Equal(t, time.Minute, r.Estimate("q", "a", time.Minute), "the oldest run times are dropped")
	require.Equal(t, time.Second, r.Mean("q", string(rune('a'+2999)), time.Minute))
}

// TestRefusalsResetRunTimes guards against a queue that is refused for ever after its tasks were slow for a while, because refused
// requests add no run times.
func TestRefusalsResetRunTimes(t *testing.T) {
	r := routing.NewRunTimes()
	for range minTasksToLearn {
		require.False(t, r.Learned("q", "t", lastTaskAt), "too few tasks to refuse requests")
		r.Observe("q", "t", time.Minute, lastTaskAt)
	}
	require.True(t, r.Learned("q", "t", lastTaskAt))
	require.False(t, r.Learned("q", "t", lastTaskAt.Add(time.Minute)), "run times too old to refuse requests")
	for range 32 {
		r.NoteRefusal("q", "t")
	}
	require.False(t, r.Learned("q", "t", lastTaskAt))
	require.Equal(t, time.Second, r.Estimate("q", "t", time.Second))
}

// TestEjectionInModel guards against ejections of healthy servers by poison jobs, and of more than a third of a pool that fails as a
// whole, with several entry VMs.
func TestEjectionInModel(t *testing.T) {
	s := withDefaults(scenario{end: 20 * time.Second, poisonFraction: 0.05})
	s.teams = []team{{name: "t", share: 1, class: fleet.Urgent, run: 200 * time.Millisecond, peakRate: 200, rate: constantRate}}
	require.Zero(t, newModel(s, 1).run().ejections)
	s.poisonFraction, s.badServers = 0, 10
	require.LessOrEqual(t, 3*newModel(s, 1).run().ejections, s.servers)
	s.badServers = 1
	m := newModel(s, 1).run()
	require.Equal(t, 1, m.ejections)
	require.Zero(t, m.failed)
}

// TestUrgentStartsWithinTarget guards against urgent work that waits behind overnight tasks for longer than the target of 3.1 s.
func TestUrgentStartsWithinTarget(t *testing.T) {
	s := urgentScenario(scenario{preempt: true, reserve: 10})
	m := newModel(s, 1).run()
	require.LessOrEqual(t, percentileMillis(1, m.delays[fleet.Urgent]), 3100.0)
}

// TestModelIsDeterministic guards against results that vary from run to run, for example with the iteration order of a map.
func TestModelIsDeterministic(t *testing.T) {
	s := withDefaults(scenario{teams: fairTeams(62, false, false, constantRates, 1), replace: []time.Duration{time.Second, 2 * time.Second}, end: 8 * time.Second})
	first := newModel(s, 1).run()
	for range 2 {
		again := newModel(s, 1).run()
		require.Equal(t, first.used, again.used)
		require.Equal(t, first.refusals, again.refusals)
	}
}
