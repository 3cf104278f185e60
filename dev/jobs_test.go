package dev

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRunJob checks that RunJob ends and prints a line for each backend server. The first command of the README runs it, and must neither hang nor
// end without showing the job.
func TestRunJob(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, RunJob(context.Background(), &out, zerolog.Nop()))
	assert.Equal(t, jobServers, strings.Count(out.String(), "tasks of the job with two steps"))
}
