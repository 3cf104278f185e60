package jobnode

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/platform"
)

// TestCrashesAreKnownToTheNextDispatcher guards against a task that crashes each server which starts it and is started without end, because nodes stop
// in series and each new dispatcher begins to count anew. Jobs that run beside it complete.
func TestCrashesAreKnownToTheNextDispatcher(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 4)
	for i, s := range f.servers {
		s.CrashedBy = func(task string) bool { return strings.HasPrefix(task, jobID) }
		s.Downtime = 700 * time.Millisecond
		s.OnRestart = func() { f.store.Put(platform.TopicServers, s.ID, s.Registration("pool", f.addresses[i])) }
	}
	nodes := []*testNode{f.startNode("a"), f.startNode("b")}
	require.Equal(t, http.StatusOK, nodes[0].status(http.MethodPost, "/q/"+jobID, testKey, `{"spec":"x","pipeline":[{"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":200}]}`))
	var harmless []string
	for i := range 3 {
		for range 10 {
			id := fmt.Sprintf("%016x", 0xb00+len(harmless))
			require.Equal(t, http.StatusOK, nodes[1].status(http.MethodPost, "/q/"+id, testKey, twoSteps))
			harmless = append(harmless, id)
			time.Sleep(60 * time.Millisecond)
		}
		nodes[0].stop()
		nodes = []*testNode{nodes[1], f.startNode(fmt.Sprintf("c%d", i))}
	}
	last := nodes[1]
	require.Eventually(t, func() bool { return last.phase(jobID) == `{"phase":"failed"}` }, waitTimeout, pollInterval)
	for _, id := range harmless {
		require.Eventually(t, func() bool { return last.phase(id) == `{"phase":"complete"}` }, waitTimeout, pollInterval, id)
	}
	t.Logf("%d starts", f.starts()[jobID+".0.0.0"])
	assert.LessOrEqual(t, f.starts()[jobID+".0.0.0"], 5, "three servers may crash, and two starts may follow")
}
