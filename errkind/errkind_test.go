package errkind

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"

	"example.org/comfreyrouter/internal/doctest"
)

// TestTableAgrees guards against an error kind that is not documented for callers and operators.
func TestTableAgrees(t *testing.T) {
	rows := make([]string, 0, len(All()))
	for _, k := range All() {
		rows = append(rows, k.Row())
	}
	doctest.TableAgrees(t, "../docs/errors.md", rows)
}

// TestOutcomeUnknown guards against a kind with the outcome "not run" although its name says that the task may have started.
func TestOutcomeUnknown(t *testing.T) {
	for _, k := range []Kind{BackendFailed, BackendLost, AnswerCorrupt, RequestTimeout, AttemptsExhausted, ClaimedElsewhere, ClaimUnconfirmed, IDExpired, IssuerUnreachable, Internal} {
		assert.Equal(t, Unknown, Lookup(k).Outcome, k)
	}
}

func TestOf(t *testing.T) {
	cause := errors.New("broken pipe")
	err := Wrap(BackendLost, cause)
	assert.Equal(t, BackendLost, Of(err))
	assert.ErrorIs(t, err, cause)
	assert.Equal(t, Internal, Of(cause))
	assert.NoError(t, Wrap(BackendLost, nil))
}
