package jobnode

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

// TestLostDependencyIsLoggedOnce guards against an outage that floods the log, and against one that leaves no line.
func TestLostDependencyIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	l := &dependencyLog{name: "ledger", log: zerolog.New(&out)}
	for _, err := range []error{nil, errors.New("refused"), errors.New("refused"), context.Canceled, nil, nil} {
		l.report(err)
	}
	assert.Equal(t, 1, strings.Count(out.String(), `"event":7014`))
	assert.Equal(t, 1, strings.Count(out.String(), `"event":7015`))
}

// TestMalformedServerEntryIsLoggedOnce guards against a malformed entry that hides the others, or that is logged at each heartbeat of the server.
func TestMalformedServerEntryIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	e := newServerList(zerolog.New(&out))
	c := dispatch.New(dispatch.Params{Epoch: 1}, ledger.New(), &jobs.Configuration{}, 0, 0)
	good := []byte(`{"service":"s","address":"10.0.0.1:80","phase":"ready","room":{"cpu":1}}`)
	for range 2 {
		e.applyRecords(c, []platform.Record{{Key: "bad", Value: []byte("{")}, {Key: "good", Value: good}, {Key: "gone"}})
	}
	assert.Equal(t, 1, strings.Count(out.String(), "\n"))
	assert.Equal(t, []string{"good"}, c.Servers())
}
