package events

import (
	"bytes"
	"errors"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"example.org/comfreyrouter/internal/doctest"
)

// TestCatalogueAgrees guards against an event that is not documented for operators, and against a number that is used twice.
func TestCatalogueAgrees(t *testing.T) {
	rows := make([]string, 0, len(All()))
	last := 0
	for _, e := range All() {
		assert.Greater(t, e.Number, last, "numbers rise and are unique")
		last = e.Number
		rows = append(rows, e.Row())
	}
	doctest.TableAgrees(t, "../docs/events.md", rows)
}

// TestLogWritesNumberAndFields guards against log lines that cannot be found by their number.
func TestLogWritesNumberAndFields(t *testing.T) {
	var out bytes.Buffer
	Log(zerolog.New(&out), LogUnreadable, errors.New("connection refused"))
	assert.JSONEq(t, `{"level":"warn","event":2001,"error":"connection refused","message":"platform log cannot be read"}`, out.String())
}
