package entry

import (
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/fleet"
)

// submit hands in a repeatable request without waiting for it.
func (n *node) submit(t *testing.T, timeLeft time.Duration) {
	req := Request{Queue: "quotes", Key: testKey, ID: ulid.Make().String(), TimeLeft: timeLeft, Repeatable: true}
	go n.Handle(t.Context(), req)
}

// wants returns what a node's fold shows that another one wants.
func (n *node) wants(other *node) (want int) {
	n.store.View(func(s *fleet.State) { want = s.GrantOf("varmland", other.options.Incarnation).Want })
	return want
}

// TestEveryTaskCounts guards against a task that starts without counting against its team's limit. It was found by internal/fleettest (seed
// 62): a call that stopped waiting lowered its VM's fair share before its own task was counted. That shows when a VM without recent use gets
// a request just after another VM has asked for more.
func TestEveryTaskCounts(t *testing.T) {
	withNodes(t, 2, func(t *testing.T, a, b *node) {
		a.submit(t, time.Second)
		time.Sleep(5 * time.Second)
		a.backend.setRun(takes(time.Hour))
		for range 5 {
			b.submit(t, time.Hour)
		}
		for a.wants(b) < 2 {
			time.Sleep(time.Millisecond)
		}
		a.submit(t, time.Hour)
		time.Sleep(time.Millisecond)
		a.mu.Lock()
		defer a.mu.Unlock()
		require.Len(t, a.tasksOfLocked("varmland"), a.holder.Running("varmland"))
		require.Len(t, a.tasks, 1, "the request has started")
	})
}
