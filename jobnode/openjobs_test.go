package jobnode

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
)

// TestFloodIsRefusedAndSpread guards against a flood that takes all memory, and against refused callers who all come back at once.
func TestFloodIsRefusedAndSpread(t *testing.T) {
	require.NoError(t, admit(jobID, maxOpenJobs-1))
	after := map[time.Duration]bool{}
	for _, id := range []string{"00000000000000a0", "00000000000000a1", "00000000000000a2", "00000000000000a3"} {
		err := admit(id, maxOpenJobs)
		assert.Equal(t, errkind.QueueFull, errkind.Of(err))
		var later *retryLater
		require.True(t, errors.As(err, &later))
		assert.GreaterOrEqual(t, later.after, returnLeast)
		after[later.after] = true
	}
	assert.Len(t, after, 4)
}
