package jobnode

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/ledger"
)

// TestTwoHoldersDoNotTakeTurns guards against two dispatchers that order one machine by turns within the time in which holders must not, and
// against a new one that leaves machines alone for longer than it must: an order counts from when its record was read, or from the time of day in
// it if that tells more, as on a node that has started lately.
func TestTwoHoldersDoNotTakeTurns(t *testing.T) {
	bounds := DefaultSettings().Bounds
	turn := bounds.OrderTurn + turnMargin
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
