package jobnode

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
)

// TestTooManyOpenJobsAreRefused guards against a flood of jobs that uses up the memory, and against refused callers that all retry at once.
func TestTooManyOpenJobsAreRefused(t *testing.T) {
	require.NoError(t, checkOpenJobs(jobID, maxOpenJobs-1))
	after := map[time.Duration]bool{}
	for _, id := range []string{"00000000000000a0", "00000000000000a1", "00000000000000a2", "00000000000000a3"} {
		err := checkOpenJobs(id, maxOpenJobs)
		assert.Equal(t, errkind.QueueFull, errkind.Of(err))
		var later *retryAfterError
		require.True(t, errors.As(err, &later))
		assert.GreaterOrEqual(t, later.after, minRetryAfter)
		after[later.after] = true
	}
	assert.Len(t, after, 4)
}
