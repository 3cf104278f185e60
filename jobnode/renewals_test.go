package jobnode

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/internal/standin/keyedstore"
)

// TestUnstoredEndsCauseNoRenewalLoop guards against a dispatcher that spends its processor time on reports that repeat the same ends, as fast as servers
// answer, until a slow store has stored them.
func TestUnstoredEndsCauseNoRenewalLoop(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	n := f.startNode("a")
	require.Equal(t, http.StatusOK, n.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps))
	require.Eventually(t, func() bool { return len(f.starts()) > 0 }, waitTimeout, time.Millisecond)
	f.servers[0].ResetRepeats()
	appending := f.enableFault("/log-append", keyedstore.Unavailable)
	began := time.Now()
	time.Sleep(5 * maxStoredWait)
	assert.LessOrEqual(t, f.servers[0].Repeats(), 1+int(time.Since(began)/maxStoredWait))
	appending.Store(false)
	require.Eventually(t, func() bool { return n.phase(jobID) == `{"phase":"complete"}` }, waitTimeout, pollInterval)
}
