package jobnode

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/autoscale"
	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
	"example.org/comfreyrouter/upkeep"
)

// TestHandoverIntervalBetweenMachineOrders guards against two dispatchers that order one machine within the handover interval, and against a new
// dispatcher that leaves machines alone for longer than necessary. The interval counts from when the record of the last order was read, or from the
// wall-clock time in the record if that shows that the order is older, as on a recently started node.
func TestHandoverIntervalBetweenMachineOrders(t *testing.T) {
	bounds := DefaultSettings().Bounds
	interval := bounds.HandoverInterval + handoverMargin
	now, wallClock := boottime.Now(), time.Now()
	follower := newFollower(nil, zerolog.Nop())
	order := func(machine string, epoch int64, readAgo, storedAgo time.Duration) {
		follower.ledger.Machines[machine] = ledger.MachineOrder{Epoch: epoch, AtMS: wallClock.Add(-storedAgo).UnixMilli()}
		follower.orderSeenAt[machine] = now - readAgo
	}
	order("just ordered", 1, 0, 0)
	order("clock ahead", 1, 0, -time.Hour)
	order("read long ago", 1, interval+time.Second, interval+time.Second)
	order("older than the process", 1, 0, interval+maxClockSkew+time.Second)
	order("within the clock skew", 1, 0, interval+maxClockSkew/2)
	order("own", 2, 0, 0)
	mc := &machineController{dispatcher: &dispatcher{
		node: &Node{settings: Settings{Bounds: bounds}}, role: ledger.Dispatcher{Epoch: 2}, acquiredAt: now, follower: follower,
	}}
	for machine, elapsed := range map[string]bool{
		"just ordered": false, "clock ahead": false, "read long ago": true, "older than the process": true,
		"within the clock skew": false, "own": true, "never ordered": true,
	} {
		assert.Equal(t, elapsed, mc.handoverElapsed(machine, boottime.Now()), machine)
	}
	mc.acquiredAt = now - interval - time.Second
	assert.True(t, mc.handoverElapsed("just ordered", boottime.Now()), "no predecessor can have ordered it since the role was taken over")
}

// TestMovesLeaveOrdersForWaves guards against a wave that is late because moves use all orders that the platform accepts: in scenario scale-2 of
// the large site 80 of 506 machines were left, and 405 when pools asked for more.
func TestMovesLeaveOrdersForWaves(t *testing.T) {
	assert.Equal(t, 20, moveBudget(20, false))
	assert.Equal(t, 13, moveBudget(20, true))
	assert.Equal(t, 1, moveBudget(1, true), "moves continue one at a time")
	assert.Zero(t, moveBudget(0, true))
}

// newTestController returns a controller that orders machines at an address, and whose records are stored some milliseconds after they are decided.
// Its node never reads the ledger again.
func newTestController(t *testing.T, address string) *machineController {
	t.Helper()
	follower := newFollower(nil, zerolog.Nop())
	settings := DefaultSettings()
	d := &dispatcher{
		node: &Node{settings: settings, machines: platform.NewMachineClient(address)}, log: zerolog.Nop(), role: ledger.Dispatcher{Epoch: 2}, follower: follower,
		acquiredAt: boottime.Now() - time.Hour, renewedAt: boottime.Now() + time.Hour,
		core: dispatch.New(dispatch.Params{Epoch: 2}, ledger.New(), &jobs.Configuration{}, boottime.Now(), 0),
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		for ; ctx.Err() == nil; sleep(ctx, 10*time.Millisecond) {
			batch, puts, _ := d.nextBatch()
			stored := ledger.New()
			for _, r := range batch.Records {
				_, _, err := stored.Apply(r, 1)
				assert.NoError(t, err)
			}
			answerPuts(puts, PutStored)
		}
	}()
	return &machineController{dispatcher: d, upkeepPlanner: upkeep.New(time.Second), autoscaler: autoscale.New(), unansweredMoves: map[string]autoscale.Move{}, firstListed: map[string]listing{}, terminating: map[string]termination{}}
}

// TestSilentServersAreUnreachable guards against planning with machines that are cut off: in scenario trouble-2 of chirigue-sched a data centre was cut
// off at 33.5 s, and its machines counted as capacity until 38.6 s, because the time in which a new server may be missing from the list began only when
// its silence was noticed. It also guards against replacing machines because of a single lost renewal.
func TestSilentServersAreUnreachable(t *testing.T) {
	mc := newTestController(t, "")
	mc.dispatcher.mu.Lock() // its records are being stored meanwhile
	defer mc.dispatcher.mu.Unlock()
	c, now := mc.core, boottime.Now()
	machine := jobs.Machine{ID: "m", Pool: "pool", Server: "s", Up: true}
	c.Advance(now, 0, true)
	c.ServerListed(jobs.Server{ID: "s", Service: "pool", Machine: "m", Ready: true, BornMS: 1})
	assert.False(t, mc.unreachable(c, machine), "not asked yet")
	c.ReportReceived(dispatch.Renewal{Server: jobs.Server{ID: "s"}}, now, jobs.Report{ClockMS: 1, BornMS: 1})
	assert.False(t, mc.unreachable(c, machine))
	c.Advance(now+400*time.Millisecond, 0, true)
	c.RenewalUnanswered("s", now+50*time.Millisecond, 350*time.Millisecond)
	assert.False(t, mc.unreachable(c, machine), "one renewal was lost")
	c.Advance(now+800*time.Millisecond, 0, true)
	c.RenewalUnanswered("s", now+550*time.Millisecond, 200*time.Millisecond)
	assert.True(t, mc.unreachable(c, machine), "no answer for 0.8 s")
}

// TestUnlistedServersAreUnreachable guards against replacing a machine that has just come up, and against counting one whose server never appears.
func TestUnlistedServersAreUnreachable(t *testing.T) {
	mc := newTestController(t, "")
	machine := jobs.Machine{ID: "m", Pool: "pool", Server: "s", Up: true}
	assert.False(t, mc.unreachable(mc.core, machine))
	mc.firstListed["m"] = listing{"s", boottime.Now() - serverListingTimeout - time.Millisecond}
	assert.True(t, mc.unreachable(mc.core, machine))
	machine.Server = "new"
	assert.False(t, mc.unreachable(mc.core, machine), "the machine has a new server")
}

func testMoves(n int) []autoscale.Move {
	var moves []autoscale.Move
	for i := range n {
		moves = append(moves, autoscale.Move{Machine: fmt.Sprintf("m%d", i), From: "a", To: "b"})
	}
	return moves
}

// TestHundredsOfMovesAreAnnouncedTogether guards against a round so large that none of its orders is sent: each of 265 orders polled the ledger for
// its own record 250 times a second, and no machine moved for five seconds of a demand peak (scenario scale-2 of the large site).
func TestHundredsOfMovesAreAnnouncedTogether(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	mc := newTestController(t, server.Listener.Addr().String())
	mc.sendMachineOrders(t.Context(), testMoves(300), nil, map[string]string{})
	assert.EqualValues(t, 300, calls.Load())
}

// TestDelayedMachineOrderIsNotSent guards against an order that is sent when this dispatcher may have been replaced and its successor may have
// ordered the machine. Orders are delayed this long when they wait for a connection while the platform answers slowly.
func TestDelayedMachineOrderIsNotSent(t *testing.T) {
	t.Parallel()
	var late, calls atomic.Int64
	startedAt := time.Now()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if time.Since(startedAt) > handoverMargin+300*time.Millisecond {
			late.Add(1)
		}
		time.Sleep(500 * time.Millisecond)
	}))
	defer server.Close()
	mc := newTestController(t, server.Listener.Addr().String())
	mc.sendMachineOrders(t.Context(), testMoves(60), nil, map[string]string{})
	assert.Zero(t, late.Load())
	assert.GreaterOrEqual(t, calls.Load(), int64(platform.MaxMachineOrders))
	assert.Less(t, calls.Load(), int64(60))
	assert.Len(t, mc.terminating, 0, "these machines have no server")
}

// TestMachineOrdersNeedPermissionWhenTheyAreSent guards against orders that end what has begun on a machine since they were decided, and against an order that
// counts as refused, though it may have been carried out, because it may not be repeated yet.
func TestMachineOrdersNeedPermissionWhenTheyAreSent(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	mc := newTestController(t, server.Listener.Addr().String())
	stored := ledger.New() // a former dispatcher may have started tasks on the server
	_, _, err := stored.Apply(ledger.ServerRecord("busy", ledger.Server{Service: "pool", Address: "127.0.0.1:1", BornMS: 1, Machine: "m0"}), 0)
	require.NoError(t, err)
	mc.dispatcher.mu.Lock()
	mc.core = dispatch.New(dispatch.Params{Epoch: 2}, stored, &jobs.Configuration{}, boottime.Now(), 0)
	mc.dispatcher.mu.Unlock()
	mc.upkeepPlanner.AddWaves([]jobs.Wave{{Number: 1, Machines: []string{"m0"}, DurationS: 20, MaxConcurrent: 1}}, func(int64) upkeep.Stored { return upkeep.Stored{} })
	assert.Empty(t, mc.planUpkeep(mc.core, []jobs.Machine{{ID: "m0", Pool: "a", Server: "busy", Up: true}}, 1), "it is only cordoned")
	first := upkeep.Action{Wave: 1, Machine: "m0", Server: "busy"}
	repeated := first
	repeated.Repeated = true
	move := autoscale.Move{Machine: "m1", From: "a", To: "b"}
	mc.unansweredMoves["m1"] = move
	mc.sendMachineOrders(t.Context(), []autoscale.Move{move}, []upkeep.Action{repeated}, map[string]string{"m1": "busy"})
	assert.Zero(t, calls.Load())
	assert.Contains(t, mc.unansweredMoves, "m1")
	assert.True(t, mc.upkeepPlanner.InProgress("m0"), "it counts as down")
	mc.sendMachineOrders(t.Context(), nil, []upkeep.Action{first}, nil)
	assert.Zero(t, calls.Load())
	mc.sendMachineOrders(t.Context(), []autoscale.Move{move}, []upkeep.Action{{Wave: 1, Machine: "m0", Server: "gone"}}, map[string]string{"m1": "gone"})
	assert.EqualValues(t, 2, calls.Load())
}

// TestUnansweredMovesEndNoTasks guards against the repetition of a move that would end the tasks of a server which its machine has got since, and against a machine that
// is neither moved nor used.
func TestUnansweredMovesEndNoTasks(t *testing.T) {
	mc := newTestController(t, "")
	mc.unansweredMoves = map[string]autoscale.Move{"gone": {Machine: "gone", To: "b"}, "done": {Machine: "done", To: "b"}, "empty": {Machine: "empty", To: "b"}}
	machines := []jobs.Machine{{ID: "done", Pool: "b", Up: true}, {ID: "empty", Pool: "a", Server: "s", Up: true}}
	mc.dispatcher.mu.Lock()
	defer mc.dispatcher.mu.Unlock()
	assert.Equal(t, []autoscale.Move{{Machine: "empty", To: "b"}}, mc.movesToRepeat(mc.core, machines))
	assert.Len(t, mc.unansweredMoves, 1)
}

// TestOrdersOfFormerDispatchersAreFound guards against an upkeep order of a former dispatcher that its successor doesn't count though it may still be carried out,
// and against one that counts for ever.
func TestOrdersOfFormerDispatchersAreFound(t *testing.T) {
	mc := newTestController(t, "")
	now := time.Now().UnixMilli()
	for machine, o := range map[string]ledger.MachineOrder{
		"ordered": {Epoch: 1, AtMS: now - 5000, Wave: 7}, "own": {Epoch: 2, AtMS: now, Wave: 7}, "moved": {Epoch: 1, AtMS: now}, "other": {Epoch: 1, AtMS: now, Wave: 8},
		"long ago": {Epoch: 1, AtMS: now - 60_000, Wave: 7}, "read long ago": {Epoch: 1, AtMS: now, Wave: 7},
	} {
		mc.follower.ledger.Machines[machine] = o
		mc.follower.orderSeenAt[machine] = boottime.Now()
	}
	mc.follower.orderSeenAt["read long ago"] -= time.Minute
	assert.Equal(t, []string{"ordered"}, mc.storedWave(7).Ordered)
}
