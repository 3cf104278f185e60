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

	"example.org/comfreyrouter/autoscale"
	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
	"example.org/comfreyrouter/upkeep"
)

// TestTwoHoldersDoNotTakeTurns guards against two dispatchers that order one machine by turns within the time in which holders must not, and
// against a new one that leaves machines alone for longer than it must: an order counts from when its record was read, or from the time of day in
// it if that tells more, as on a node that has started lately.
func TestTwoHoldersDoNotTakeTurns(t *testing.T) {
	bounds := DefaultSettings().Bounds
	turn := bounds.HandoverInterval + turnMargin
	now, wall := boottime.Now(), time.Now()
	follower := newFollower(nil, zerolog.Nop())
	order := func(machine string, epoch int64, readAgo, storedAgo time.Duration) {
		follower.ledger.Machines[machine] = ledger.MachineOrder{Epoch: epoch, AtMS: wall.Add(-storedAgo).UnixMilli()}
		follower.ordered[machine] = now - readAgo
	}
	order("just ordered", 1, 0, 0)
	order("clock ahead", 1, 0, -time.Hour)
	order("read long ago", 1, turn+time.Second, turn+time.Second)
	order("older than the process", 1, 0, turn+clockDifference+time.Second)
	order("within the difference of clocks", 1, 0, turn+clockDifference/2)
	order("own", 2, 0, 0)
	k := &keeper{dispatcher: &dispatcher{
		node: &Node{settings: Settings{Bounds: bounds}}, place: ledger.Dispatcher{Epoch: 2}, acquired: now, follower: follower,
	}}
	for machine, quiet := range map[string]bool{
		"just ordered": false, "clock ahead": false, "read long ago": true, "older than the process": true,
		"within the difference of clocks": false, "own": true, "never ordered": true,
	} {
		assert.Equal(t, quiet, k.quiet(machine), machine)
	}
	k.acquired = now - turn - time.Second
	assert.True(t, k.quiet("just ordered"), "no former dispatcher can have ordered it since the place was taken")
}

// TestMovesLeaveOrdersForWaves guards against a wave that is late because moves use all orders that the platform takes: on scale-2 of the large site
// 80 of 506 machines were left, and 405 when pools asked for more.
func TestMovesLeaveOrdersForWaves(t *testing.T) {
	assert.Equal(t, 20, movesOf(20, false))
	assert.Equal(t, 13, movesOf(20, true))
	assert.Equal(t, 1, movesOf(1, true), "a move at a time goes on")
	assert.Zero(t, movesOf(0, true))
}

// announcing returns a keeper whose records are in the ledger some milliseconds after they were decided, and which orders machines at an address.
func announcing(t *testing.T, address string) *keeper {
	t.Helper()
	follower := newFollower(nil, zerolog.Nop())
	settings := DefaultSettings()
	d := &dispatcher{
		node: &Node{settings: settings, machines: platform.NewMachineClient(address)}, log: zerolog.Nop(), place: ledger.Dispatcher{Epoch: 2}, follower: follower,
		acquired: boottime.Now() - time.Hour, renewed: boottime.Now() + time.Hour,
		core: dispatch.New(dispatch.Params{Epoch: 2}, ledger.New(), &jobs.Configuration{}, boottime.Now(), 0),
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		for ; ctx.Err() == nil; sleep(ctx, 10*time.Millisecond) {
			d.mu.Lock()
			batch := d.core.TakeBatch()
			d.mu.Unlock()
			follower.mu.Lock()
			for _, r := range batch.Records {
				_, _, err := follower.ledger.Apply(r, 1)
				assert.NoError(t, err)
			}
			follower.mu.Unlock()
		}
	}()
	return &keeper{dispatcher: d, planner: upkeep.New(time.Second), pools: autoscale.New(), repeats: map[string]autoscale.Move{}, ending: map[string]ending{}}
}

func movesTo(n int) []autoscale.Move {
	var moves []autoscale.Move
	for i := range n {
		moves = append(moves, autoscale.Move{Machine: fmt.Sprintf("m%d", i), From: "a", To: "b"})
	}
	return moves
}

// TestARoundOfHundredsOfMovesIsAnnounced guards against a round that is so large that none of its orders goes out: each of 265 orders looked by itself
// whether its record was in the ledger, 250 times a second, and for five seconds of a turn no machine moved (scale-2 of the large site).
func TestARoundOfHundredsOfMovesIsAnnounced(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	k := announcing(t, server.Listener.Addr().String())
	k.send(t.Context(), movesTo(300), nil, map[string]string{})
	assert.EqualValues(t, 300, calls.Load())
}

// TestAnOrderThatWaitedTooLongIsNotSent guards against an order that goes out when its holder may have been replaced, and the successor may have ordered
// the machine: it waits for a connection while the platform answers slowly.
func TestAnOrderThatWaitedTooLongIsNotSent(t *testing.T) {
	t.Parallel()
	var late, calls atomic.Int64
	begin := time.Now()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if time.Since(begin) > turnMargin+300*time.Millisecond {
			late.Add(1)
		}
		time.Sleep(500 * time.Millisecond)
	}))
	defer server.Close()
	k := announcing(t, server.Listener.Addr().String())
	k.send(t.Context(), movesTo(60), nil, map[string]string{})
	assert.Zero(t, late.Load())
	assert.GreaterOrEqual(t, calls.Load(), int64(platform.MaxMachineOrders))
	assert.Less(t, calls.Load(), int64(60))
	assert.Len(t, k.ending, 0, "no server was on these machines")
}
