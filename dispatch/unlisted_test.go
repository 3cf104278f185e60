package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestANewDispatcherUsesNoServerThatHasLeft guards against a server that had left and is used again after a change of the dispatcher: the ledger still
// names it, and it answers, but the platform no longer lists it.
func TestANewDispatcherUsesNoServerThatHasLeft(t *testing.T) {
	w := newWorld(51, 2)
	w.submit(oldJob, lasting())
	w.run(time.Second)
	left := w.onlyRun(t, oldJob).server.info.ID
	w.takeOver()
	for range 50 {
		for id, s := range w.servers {
			if id != left {
				w.core.ServerListed(s.info)
			}
			w.core.Advance(w.now, w.wall(), true)
			w.renew(id)
		}
		w.core.Schedule()
		w.send()
		w.store()
		w.now += tick
	}
	require.Contains(t, w.ledger.Servers, left)
	w.submit(newJob, stepOf(6, 1000))
	for range 50 {
		w.core.Advance(w.now, w.wall(), true)
		for id := range w.servers {
			w.renew(id)
		}
		w.core.Schedule()
		w.send()
		w.store()
		w.now += tick
	}
	assert.Len(t, w.servers[left].runs, 1, "what runs there goes on, and nothing new comes")
	assert.Empty(t, w.faults)
}
