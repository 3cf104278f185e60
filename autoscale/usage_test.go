package autoscale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestUsageTellsIdleMachines guards against operators who can't see machines that serve nobody. Only the pool in demand may use its machines; a
// machine counts until it is seen in another pool, machines of the spare pool don't count, and nothing is made up while the list can't be read.
func TestUsageTellsIdleMachines(t *testing.T) {
	var u Usage
	machines := append(emptyMachines("a", 4, time.Second), append(emptyMachines("b", 3, time.Second), emptyMachines("spare", 5, time.Hour)...)...)
	machines[0].Tasks, machines[0].LongRunning = 2, true
	machines[1].LongRunning = true
	machines[2].Up = false
	machines[4].Unreachable = true
	u.Observe(10*time.Second, pools(0, 0), machines)
	assert.Empty(t, u.Take(), "nothing is known of the time before")
	u.Observe(11*time.Second, pools(0, 0), machines)
	machines[6].Pool = "spare"
	u.Observe(11500*time.Millisecond, pools(0, 0), machines)
	assert.Equal(t, map[string]Use{
		"a": {Working: 1500 * time.Millisecond, LongRunning: 1500 * time.Millisecond, Away: 1500 * time.Millisecond, Idle: 1500 * time.Millisecond},
		"b": {Away: 1500 * time.Millisecond, Idle: 3 * time.Second},
	}, u.Take())
	u.Observe(time.Minute, pools(0, 0), machines)
	assert.Equal(t, Use{Away: maxObservationGap, Idle: maxObservationGap}, u.Take()["b"])
}
