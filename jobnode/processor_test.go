package jobnode

import (
	"runtime/debug"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestDispatcherCollectsLessOften guards against a dispatcher that spends its processor time on garbage collection, against one that outgrows its VM, and
// against a node that keeps the larger heap after it has handed over the role.
func TestDispatcherCollectsLessOften(t *testing.T) {
	percent := debug.SetGCPercent(70)
	defer debug.SetGCPercent(percent)
	limit := debug.SetMemoryLimit(-1)
	restore := collectLessOften(200)
	assert.Equal(t, int64(100<<20), debug.SetMemoryLimit(-1))
	assert.Equal(t, dispatchingGCPercent, debug.SetGCPercent(dispatchingGCPercent))
	restore()
	assert.Equal(t, limit, debug.SetMemoryLimit(-1))
	assert.Equal(t, 70, debug.SetGCPercent(70))
	collectLessOften(0)()
	assert.Equal(t, 70, debug.SetGCPercent(70))
}

// TestLongPassesLeaveTimeForOrders guards against a dispatcher whose scheduling passes follow each other so closely that orders and reports wait.
func TestLongPassesLeaveTimeForOrders(t *testing.T) {
	assert.Equal(t, minScheduleDelay, passDelay(time.Millisecond))
	assert.Equal(t, 30*time.Millisecond, passDelay(10*time.Millisecond))
	assert.Equal(t, maxScheduleDelay, passDelay(time.Second))
}
