package entry

import (
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/fleet"
)

// sendRequest starts a repeatable request without waiting for its response.
func (n *node) sendRequest(t *testing.T, timeLeft time.Duration) {
	req := Request{Queue: "quotes", Key: testKey, ID: ulid.Make().String(), TimeLeft: timeLeft, Repeatable: true}
	go n.Handle(t.Context(), req)
}

// grantWantedBy returns how large a grant another node wants, according to this node's fold.
func (n *node) grantWantedBy(other *node) (want int) {
	n.store.View(func(s *fleet.State) { want = s.GrantOf("varmland", other.options.Incarnation).Want })
	return want
}

// TestEveryTaskCountsAgainstLimit guards against a task that starts without counting against its team's limit (found by
// internal/fleettest, seed 62). A call that left the queue lowered its VM's fair share before its own task was counted. This happens when a
// VM without recent tasks gets a request just after another VM has requested more grants.
func TestEveryTaskCountsAgainstLimit(t *testing.T) {
	withNodes(t, 2, func(t *testing.T, a, b *node) {
		a.sendRequest(t, time.Second)
		time.Sleep(5 * time.Second)
		a.backend.setRun(runsFor(time.Hour))
		for range 5 {
			b.sendRequest(t, time.Hour)
		}
		for a.grantWantedBy(b) < 2 {
			time.Sleep(time.Millisecond)
		}
		a.sendRequest(t, time.Hour)
		time.Sleep(time.Millisecond)
		a.mu.Lock()
		defer a.mu.Unlock()
		require.Len(t, a.teamTasksLocked("varmland"), a.holder.Running("varmland"))
		require.Len(t, a.tasks, 1, "the request has started")
	})
}
