package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

// testFormerLease is how long after its sending a call may keep a lease on a later incarnation: it arrives up to 12 s later, by the users' announced faults, and
// extends leases by testMaxLease on a clock that is 2% slow.
const testFormerLease = 12*time.Second + testMaxLease*100/98 + 200*time.Millisecond

// lastingStep returns a step with one task that runs for a while.
func lastingStep(runTime time.Duration) jobs.Step {
	s := stepOf(1, 1000)
	s.EstimateMS = runTime.Milliseconds()
	return s
}

// loseStart submits a job and loses the answer to its only start, which its server carries out later. It returns the server.
func (sim *simulation) loseStart(t *testing.T, job string, step jobs.Step) *fakeServer {
	t.Helper()
	sim.submit(job, step)
	known := len(sim.lateCalls)
	sim.lossRate = 1
	for range 20 {
		if len(sim.lateCalls) > known {
			break
		}
		sim.step()
	}
	sim.lossRate = 0
	require.Len(t, sim.lateCalls, known+1)
	o := sim.lateCalls[known].order
	require.NotNil(t, o.Start)
	return sim.servers[o.Server.ID]
}

// restartUnanswered restarts a server after a renewal of its lease that gets no answer.
func (sim *simulation) restartUnanswered(s *fakeServer) {
	s.cutOff = true
	sim.step()
	sim.restart(s)
}

// TestStartForAFormerIncarnationDoesNotRunATaskTwice guards against a start that got no answer before its server restarted under its id and that the new
// incarnation carries out, after the task has started elsewhere.
func TestStartForAFormerIncarnationDoesNotRunATaskTwice(t *testing.T) {
	sim := newSimulation(51, 2)
	sim.run(time.Second)
	s := sim.loseStart(t, oldJob, lastingStep(6*time.Second))
	sim.restart(s)
	sim.run(4 * time.Second) // the start is carried out
	assert.Empty(t, sim.lateCalls)
	assert.Empty(t, sim.violations)
	assert.Equal(t, 1, sim.starts, "the task runs, and the server that restarted has refused the late start")
	sim.run(6 * time.Second)
	assert.Equal(t, jobs.Complete, sim.phase(oldJob))
	assert.Empty(t, sim.violations)
}

// TestStartThatANewIncarnationHasBegunIsKept guards against a second run of a task whose unanswered start the new incarnation of a server has carried
// out before the dispatcher knew of the restart.
func TestStartThatANewIncarnationHasBegunIsKept(t *testing.T) {
	sim := newSimulation(52, 2)
	sim.run(time.Second)
	s := sim.loseStart(t, oldJob, lastingStep(6*time.Second))
	late := sim.lateCalls[0]
	sim.lateCalls = nil
	sim.restart(s)
	require.Equal(t, jobs.Started, sim.execute(late.order))
	sim.run(2 * time.Second)
	assert.Empty(t, sim.violations)
	sim.run(6 * time.Second)
	assert.Equal(t, jobs.Complete, sim.phase(oldJob))
	assert.Equal(t, 1, sim.starts)
	assert.Empty(t, sim.violations)
}

// TestStartForAFormerIncarnationProlongsLeases guards against tasks that run twice in a cut because a start for the former incarnation of their server,
// whose lease was computed for the former clock, has extended the leases of all runs there.
func TestStartForAFormerIncarnationProlongsLeases(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		sim := newSimulation(53, 1)
		sim.run(20 * time.Second)
		s := sim.loseStart(t, oldJob, lastingStep(300*time.Millisecond))
		late := sim.lateCalls[0]
		sim.lateCalls = nil
		sim.restart(s)
		require.Equal(t, jobs.Started, sim.execute(late.order), "it hasn't seen a higher token yet")
		sim.submit(newJob, lastingStep(9*time.Second))
		sim.run(4500 * time.Millisecond)
		require.NotNil(t, s.runs[newJob+".0.0.0"])
		require.Greater(t, s.lease, s.clock(sim.now)+testLease.Milliseconds(), "the lease is prolonged")
		sim.addServer("s9", s.info.Capacity)
		if takeover {
			sim.cutOffDispatcher(s)
		}
		s.cutOff = true
		starts, lasts := sim.starts, jobs.Milliseconds(s.lease-s.clock(sim.now))
		sim.run(lasts)
		assert.Empty(t, sim.violations)
		assert.Equal(t, starts, sim.starts, "its lease may last")
		if takeover {
			sim.run(maxElapsed(testMaxLease) + maxCallDelay - lasts)
		} else {
			sim.run(maxElapsed(testMaxLease) - lasts)
		}
		assert.Equal(t, starts+1, sim.starts, "its lease has expired")
		assert.Empty(t, sim.violations)
	}
}

// TestReturningServerIsStoppedFromCarryingOutFormerStarts guards against a task that runs twice because its server, which was given up and removed, comes
// back as another incarnation that carries out the start.
func TestReturningServerIsStoppedFromCarryingOutFormerStarts(t *testing.T) {
	sim := newSimulation(54, 2)
	sim.run(time.Second)
	s := sim.loseStart(t, oldJob, lastingStep(12*time.Second))
	late := sim.lateCalls[0]
	sim.lateCalls = nil
	s.up = false
	sim.run(6 * time.Second)
	require.Nil(t, sim.core.servers[s.info.ID], "it was removed")
	require.Equal(t, 1, sim.starts)
	sim.restart(s)
	sim.run(200 * time.Millisecond)
	assert.Equal(t, jobs.StartFenced, sim.execute(late.order))
	assert.GreaterOrEqual(t, sim.core.servers[s.info.ID].leasesEnd(), sim.now+maxElapsed(testMaxLease))
	sim.run(12 * time.Second)
	assert.Equal(t, jobs.Complete, sim.phase(oldJob))
	assert.Equal(t, 1, sim.starts)
	assert.Empty(t, sim.violations)
}

// TestSuccessorLearnsOfARestartBeforeTheServerIsListed guards against a successor that can't reach a server, and doesn't know that calls for the server's
// former incarnation may have extended its leases.
func TestSuccessorLearnsOfARestartBeforeTheServerIsListed(t *testing.T) {
	sim := newSimulation(55, 1)
	sim.run(time.Second)
	former := sim.ledger.Servers["s0"]
	s := sim.servers["s0"]
	sim.restartUnanswered(s)
	s.listedFrom = sim.now + time.Minute
	sim.run(200 * time.Millisecond)
	record := sim.ledger.Servers["s0"]
	assert.Equal(t, ledger.Server{Service: former.Service, Address: former.Address, Machine: former.Machine, BornMS: former.BornMS, FormerLeasesUntilMS: record.FormerLeasesUntilMS}, record)
	assert.InDelta(t, (s.bornAt + testFormerLease).Milliseconds(), record.FormerLeasesUntilMS, 100)
	s.cutOff = true
	sim.takeOver()
	leasesEnd := sim.core.servers["s0"].leasesEnd().Milliseconds()
	assert.GreaterOrEqual(t, leasesEnd, record.FormerLeasesUntilMS)
	assert.InDelta(t, record.FormerLeasesUntilMS, leasesEnd, 100)
	s.cutOff = false
	s.listedFrom = 0
	sim.run(testFormerLease + time.Second)
	assert.Zero(t, sim.ledger.Servers["s0"].FormerLeasesUntilMS, "it would be waited for by a node that has just started")
}

// TestRestartsDoNotProlongTheWaitForFormerLeases guards against tasks that wait for ever because a server which nobody reaches restarts again and again.
func TestRestartsDoNotProlongTheWaitForFormerLeases(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		sim := newSimulation(56, 2)
		sim.run(time.Second)
		var s *fakeServer
		if takeover {
			sim.submit(oldJob, longRunningStep())
			sim.run(time.Second)
			s = sim.serverWithRuns(t)
			sim.takeOver()
		} else {
			s = sim.loseStart(t, oldJob, longRunningStep())
			sim.lateCalls = nil
		}
		s.cutOff = true
		starts := sim.starts
		for range 4 {
			info := s.info
			info.BornMS = sim.wall()
			sim.core.ServerListed(info)
			sim.run(8 * time.Second)
		}
		assert.Equal(t, starts+1, sim.starts, "the task has started elsewhere")
		assert.Empty(t, sim.violations)
	}
}

// TestLostServerIsAwaitedBriefly guards against a long-running task that waits for 20 s because its server is lost for good some seconds after a restart, though no call was
// late.
func TestLostServerIsAwaitedBriefly(t *testing.T) {
	sim := newSimulation(92, 2)
	sim.run(time.Second)
	s, other := sim.servers["s0"], sim.servers["s1"]
	other.info.Ready = false
	sim.run(200 * time.Millisecond)
	sim.restart(s)
	sim.run(time.Second)
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	require.Len(t, s.runs, 1)
	other.info.Ready = true
	sim.run(100 * time.Millisecond)
	s.up = false
	at := sim.now
	for sim.starts < 2 && sim.now-at < time.Minute {
		sim.step()
	}
	assert.Less(t, sim.now-at, 6*time.Second)
}

// TestFencedCallsAreNotAwaited guards against a long-running task that waits for the late calls of former dispatchers after the server of the task, which
// has restarted, has seen the fencing token of the present one. Calls that were carried out before may have extended leases.
func TestFencedCallsAreNotAwaited(t *testing.T) {
	sim := newSimulation(93, 2)
	sim.servers["s1"].info.Ready = false
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	s := sim.servers["s0"]
	require.Len(t, s.runs, 1)
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	sim.restart(s)
	at := sim.now
	sim.run(time.Second)
	require.Len(t, s.runs, 1)
	sim.servers["s1"].info.Ready = true
	sim.run(100 * time.Millisecond)
	s.cutOff = true
	for sim.starts < 3 && sim.now-at < time.Minute {
		sim.step()
	}
	assert.InDelta(t, testMaxLease.Seconds(), (sim.now - at).Seconds(), 1)
	assert.Empty(t, sim.violations)
}

// TestFormerStartsAreAwaitedWhenAnotherServerAnswers guards against a second run of a task whose unanswered start is carried out by the next incarnation of a server, at
// another address, after another server has answered at the former one.
func TestFormerStartsAreAwaitedWhenAnotherServerAnswers(t *testing.T) {
	sim := newSimulation(91, 2)
	sim.run(time.Second)
	s := sim.loseStart(t, oldJob, lastingStep(6*time.Second))
	late := sim.lateCalls[0]
	sim.lateCalls = nil
	sim.core.ServerReplaced(sim.core.servers[s.info.ID].target())
	sim.restart(s)
	s.info.Address = "elsewhere"
	s.listedFrom = sim.now + 500*time.Millisecond
	delete(sim.entries, s.info.ID)
	sim.run(300 * time.Millisecond)
	sim.execute(late.order)
	sim.run(5 * time.Second)
	assert.Empty(t, sim.violations)
}

// TestReplacedServerIsAwaitedBriefly guards against a task that waits longer than for the lease of its unanswered start after another server has answered
// at the address of its server, and against one that waits though its start was answered.
func TestReplacedServerIsAwaitedBriefly(t *testing.T) {
	for _, answered := range []bool{false, true} {
		sim := newSimulation(94, 2)
		sim.run(time.Second)
		var s *fakeServer
		if answered {
			sim.submit(oldJob, longRunningStep())
			sim.run(200 * time.Millisecond)
			s = sim.serverWithRuns(t)
		} else {
			s = sim.loseStart(t, oldJob, longRunningStep())
			sim.lateCalls = nil
		}
		s.up = false
		starts, at := sim.starts, sim.now
		for sim.starts == starts && sim.now-at < time.Minute {
			if replaced := sim.core.servers[s.info.ID]; replaced != nil {
				sim.core.ServerReplaced(replaced.target())
			}
			sim.step()
		}
		assert.LessOrEqual(t, sim.core.eventCounts["server_gone"], 2)
		if answered {
			assert.Less(t, sim.now-at, 200*time.Millisecond)
		} else {
			assert.InDelta(t, testLease.Seconds(), (sim.now - at).Seconds(), 0.5)
		}
		assert.Empty(t, sim.violations)
	}
}

// TestRestartEndsABackoff guards against a server that gets no work for seconds after a restart because its former incarnation had failed what it started.
func TestRestartEndsABackoff(t *testing.T) {
	sim := newSimulation(96, 1)
	s := sim.servers["s0"]
	s.failing = true
	sim.submit(oldJob, stepOf(4, 500))
	sim.run(500 * time.Millisecond)
	require.Greater(t, sim.core.servers["s0"].backoffUntil, sim.now+time.Second)
	s.failing = false
	sim.restart(s)
	sim.submit(newJob, longRunningStep())
	sim.run(500 * time.Millisecond)
	assert.NotNil(t, s.runs[newJob+".0.0.0"])
	assert.Empty(t, sim.violations)
}

// TestFormerLeasesAreAwaitedBySuccessorsWhoseClockIsAhead guards against a successor whose time of day is ahead of its predecessor's and that therefore takes leases from calls for
// a former incarnation for over.
func TestFormerLeasesAreAwaitedBySuccessorsWhoseClockIsAhead(t *testing.T) {
	sim := newSimulation(85, 2)
	sim.run(20 * time.Second)
	s := sim.loseStart(t, oldJob, lastingStep(300*time.Millisecond))
	sim.restart(s)
	other := sim.servers["s1"]
	if other == s {
		other = sim.servers["s0"]
	}
	other.info.Ready = false
	sim.submit(newJob, lastingStep(20*time.Second))
	sim.run(5 * time.Second)
	require.Empty(t, sim.lateCalls)
	require.Greater(t, s.lease, s.clock(sim.now)+testLease.Milliseconds())
	require.NotNil(t, s.runs[newJob+".0.0.0"])
	other.info.Ready = true
	sim.run(100 * time.Millisecond)
	s.cutOff = true
	sim.epoch = sim.ledger.Dispatcher.Epoch + 1
	sim.core = New(Params{Epoch: sim.epoch, Lease: testLease, MaxLease: testMaxLease, PredecessorsUntil: sim.now + testSilence}, sim.ledger, sim.config, sim.now, sim.wall()+30_000)
	sim.run(12 * time.Second)
	assert.Empty(t, sim.violations)
}

// TestFormerLeasesAreAwaitedAfterARemovalAndATakeover guards against a successor that doesn't know that a server which has come back had a former incarnation: its
// predecessor had removed it.
func TestFormerLeasesAreAwaitedAfterARemovalAndATakeover(t *testing.T) {
	sim := newSimulation(86, 2)
	sim.run(20 * time.Second)
	s := sim.loseStart(t, oldJob, lastingStep(300*time.Millisecond))
	late := sim.lateCalls[0]
	sim.lateCalls = nil
	s.up = false
	sim.run(6 * time.Second)
	require.Nil(t, sim.core.servers[s.info.ID])
	sim.takeOver()
	sim.run(500 * time.Millisecond)
	sim.restart(s)
	sim.execute(late.order) // 6.5 s late, before the new dispatcher has called the server
	other := sim.servers["s1"]
	if other == s {
		other = sim.servers["s0"]
	}
	sim.run(500 * time.Millisecond)
	other.info.Ready = false
	sim.violations = nil
	sim.submit(newJob, lastingStep(20*time.Second))
	sim.run(time.Second)
	require.NotNil(t, s.runs[newJob+".0.0.0"])
	other.info.Ready = true
	sim.run(100 * time.Millisecond)
	s.cutOff = true
	sim.run(12 * time.Second)
	assert.Empty(t, sim.violations)
}

// TestRecordsOfRemovedServersAreBounded guards against records of removed servers that stay in the ledger for ever, also after a takeover.
func TestRecordsOfRemovedServersAreBounded(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		sim := newSimulation(97, 2)
		sim.run(time.Second)
		sim.servers["s0"].up = false
		sim.run(6 * time.Second)
		require.Nil(t, sim.core.servers["s0"])
		assert.True(t, sim.ledger.Servers["s0"].Removed)
		if takeover {
			sim.takeOver()
			sim.run(time.Second)
			assert.Nil(t, sim.core.servers["s0"], "nothing runs there")
		}
		sim.run(testFormerLease)
		assert.NotContains(t, sim.ledger.Servers, "s0")
	}
}

// TestRecoveredServerGetsWork guards against a job that has nothing running for longer than the rules allow after its only server has stopped failing
// everything: the server was left alone for up to 8 s.
func TestRecoveredServerGetsWork(t *testing.T) {
	sim := newSimulation(98, 1)
	s := sim.servers["s0"]
	s.failing = true
	for i := 0; sim.core.servers["s0"] == nil || sim.core.servers["s0"].backoff < maxBackoff; i++ {
		require.Less(t, i, 1000)
		sim.submit(fmt.Sprintf("%016x", i), stepOf(1, 500))
		sim.run(100 * time.Millisecond)
	}
	s.failing = false
	at, starts := sim.now, sim.starts
	sim.submit(newJob, stepOf(1, 500))
	for sim.starts == starts && sim.now-at < time.Minute {
		sim.step()
	}
	assert.Less(t, sim.now-at, contactTime+maxIdleTime)
}

// startUnderway submits a job and returns the order of its start, which is underway.
func (sim *simulation) startUnderway(t *testing.T) *Order {
	t.Helper()
	sim.submit(oldJob, longRunningStep())
	var start *Order
	for i := 0; start == nil && i < 20; i++ {
		sim.now += tick
		sim.core.Advance(sim.now, sim.wall(), true)
		sim.core.Schedule()
		for _, o := range sim.core.TakeOrders() {
			if o.Start != nil {
				start = &o
			}
		}
		sim.store()
	}
	require.NotNil(t, start)
	return start
}

// TestStartsUnderwayToARemovedServerAreCounted guards against leases that nobody awaits because a server is removed while a start to it has no answer yet,
// and comes back as another incarnation, which carries the start out.
func TestStartsUnderwayToARemovedServerAreCounted(t *testing.T) {
	for _, answeredAfterReturn := range []bool{false, true} {
		sim := newSimulation(101, 1)
		sim.run(time.Second)
		c, s := sim.core, sim.servers["s0"]
		former := c.servers["s0"]
		start := sim.startUnderway(t)
		sentAt := sim.now
		c.serverTerminated(former)
		unanswered := func() {
			c.StartAnswered(start.Server, start.Start.Task.String(), start.Start.Attempt, jobs.StartUnknown)
		}
		sim.now += 400 * time.Millisecond
		c.Advance(sim.now, sim.wall(), true)
		if !answeredAfterReturn {
			unanswered()
		}
		sim.restart(s)
		c.ServerListed(s.info)
		if answeredAfterReturn {
			unanswered()
		}
		assert.GreaterOrEqual(t, c.servers["s0"].leasesEnd(), sentAt+testFormerLease)
	}
}

// TestRenewalUnderwayCountsBesideAnAnsweredOne guards against leases that nobody awaits because a look at a long-running task that is warming up was
// answered while a renewal was underway, before its server restarted.
func TestRenewalUnderwayCountsBesideAnAnsweredOne(t *testing.T) {
	sim := newSimulation(102, 1)
	sim.run(time.Second)
	c, s := sim.core, sim.servers["s0"]
	renewal, _ := c.NextRenewal("s0")
	require.Positive(t, renewal.LeaseUntil)
	sentAt := sim.now
	sim.now += 250 * time.Millisecond
	c.Advance(sim.now, sim.wall(), true)
	_, ok := c.NextLook("s0")
	require.True(t, ok)
	c.ReportReceived(Renewal{Server: jobs.Server{ID: "s0"}}, sim.now, jobs.Report{ClockMS: s.clock(sim.now), BornMS: s.info.BornMS})
	sim.restart(s)
	c.ServerListed(s.info)
	assert.GreaterOrEqual(t, c.servers["s0"].leasesEnd(), sentAt+testFormerLease)
}

// TestStartUnderwayAtARestartIsStored guards against a successor that doesn't know of a start which had no answer yet when its server restarted.
func TestStartUnderwayAtARestartIsStored(t *testing.T) {
	sim := newSimulation(103, 1)
	sim.run(time.Second)
	s := sim.servers["s0"]
	sim.startUnderway(t)
	sim.restart(s)
	sim.run(300 * time.Millisecond)
	assert.Positive(t, sim.ledger.Servers["s0"].FormerLeasesUntilMS)
	assert.Equal(t, s.info.BornMS, sim.ledger.Servers["s0"].BornMS)
}

// TestRepeatedCallsCountWhenTheyWereSent guards against leases that are awaited too briefly because a call without an answer was sent seconds after it had
// been decided: directly, after its relay hadn't answered.
func TestRepeatedCallsCountWhenTheyWereSent(t *testing.T) {
	for _, underway := range []bool{false, true} {
		sim := newSimulation(104, 1)
		sim.run(time.Second)
		c, s := sim.core, sim.servers["s0"]
		renewal, _ := c.NextRenewal("s0")
		decidedAt := sim.now
		sim.now += renewal.Wait + platform.RenewalTimeout + 700*time.Millisecond // relay.OrderTimeout
		sentAgainAt := sim.now
		sim.now += platform.RenewalTimeout
		c.Advance(sim.now, sim.wall(), true)
		if !underway {
			c.RenewalUnanswered("s0", decidedAt, sim.now-decidedAt)
		}
		sim.restart(s)
		c.ServerListed(s.info)
		assert.GreaterOrEqual(t, c.servers["s0"].leasesEnd(), sentAgainAt+testFormerLease)
	}
}
