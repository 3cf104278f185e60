package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/admission"
	"example.org/comfreyrouter/errkind"
)

// TestDeadline guards against queueing a request that cannot end before its deadline, and against refusing one while slots are free.
func TestDeadline(t *testing.T) {
	full := admission.Backlog{Ahead: 79, Slots: 80, RunTime: time.Second}
	require.Equal(t, time.Second, admission.StartDelay(full))
	require.Zero(t, admission.StartDelay(admission.Backlog{Ahead: 3, Free: 4, Slots: 80, RunTime: time.Hour}))
	require.Equal(t, 2*time.Second, admission.StartDelay(admission.Backlog{Ahead: 1, RunTime: time.Second}), "no slots")
	load := admission.Load{StartDelay: admission.StartDelay(full), RunTime: time.Second}
	require.NoError(t, admission.Check(admission.DefaultOptions(), load, 0, 2*time.Second))
	err := admission.Check(admission.DefaultOptions(), load, 0, 1999*time.Millisecond)
	require.Equal(t, errkind.DeadlineTooClose, errkind.Of(err))
	load.DeclaredOnly = true
	require.NoError(t, admission.Check(admission.DefaultOptions(), load, 0, time.Millisecond), "declared times alone never cause a refusal")
}
