package fleettest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Requests of varmland at one VM with 20 s until their deadline, which are repeatable and run for 2 s.
const (
	oneVM  = 6
	twoSec = 48
)

// regressions are scenarios in which a fault was found.
var regressions = map[string]struct {
	guards string
	ops    []op
}{
	"lowered limit of a busy team": {
		"holders that are always busy keep grants above a lowered limit", []op{
			{"burst", 0, oneVM, twoSec, 0, 0, true},
			{"burst", 0, oneVM, twoSec, 0, 0, true},
			{"burst", 0, oneVM, twoSec, 0, time.Second, true},
			{"limit", 0, 0, 1, 0, 10 * time.Second, false},
		},
	},
}

// TestRegressions guards against each fault that a scenario has found.
func TestRegressions(t *testing.T) {
	for name, c := range regressions {
		t.Run(name, func(t *testing.T) {
			assert.Empty(t, scenario(t, 3, c.ops), c.guards)
		})
	}
}
