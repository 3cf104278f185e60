package fleettest

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"example.org/comfreyrouter/errkind"
)

// Requests of varmland at one VM with 20 s until their deadline, which are repeatable and run for 2 s.
const (
	oneVM  = 6
	twoSec = 48
)

// regressions are scenarios that have revealed a fault; guards names it.
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
	"new VM without a configuration": {
		"an order that ran is answered as not run by a VM that does not know its queue or key yet", append([]op{
			{"send", 0, 3, 7, time.Minute, time.Second, false},
			{"cut-platform", 1, 0, 0, 20 * time.Second, 0, false},
			{"kill", 1, 0, 0, time.Second, time.Second, false},
		}, slices.Repeat([]op{{"again", 1, 3, 0, time.Minute, 5 * time.Millisecond, false}}, 100)...),
	},
	"key withdrawn while a request waits in a partition": {
		"a waiting request starts on a view that is no longer fresh", []op{
			{"limit", 0, 0, 0, 0, time.Second, false},
			{"send", 0, 3, 12, time.Minute, time.Second, true},
			{"cut", 0, 0, 0, 40 * time.Second, 0, false},
			{"cut", 0, 1, 0, 40 * time.Second, 0, false},
			{"cut-platform", 0, 0, 0, 40 * time.Second, 0, false},
			{"withdraw", 1, 3, 0, 0, 20 * time.Second, false},
		},
	},
	"holder killed with long tasks": {
		"tasks outlive the lease of a holder that died, when others already have its grants", append([]op{
			{"burst", 0, 6, 16, 0, 3 * time.Second, false},
			{"kill", 0, 0, 0, time.Second, 18 * time.Second, false},
		}, slices.Repeat([]op{{"burst", 1, 3, 36, 0, time.Second, false}}, 10)...),
	},
	"start delayed in the network": {
		"a start that was sent before the key was withdrawn arrives as late as its lease allows", []op{
			{"send", 0, 3, 0, time.Minute, time.Second, false},
			{"send", 0, 3, 0, time.Minute, 0, false},
			{"freeze", 0, 0, 0, 14 * time.Second, 0, false},
			{"withdraw", 1, 3, 0, 0, 20 * time.Second, false},
		},
	},
}

// TestAppendThroughPeer checks that a VM that cannot reach the platform, but reaches a peer that can, still claims ids and changes the
// configuration.
func TestAppendThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		violations := run(t, 3, 1, func(w *world) {
			v := w.vm(0)
			w.cutPlatform(v.caller.Name, 1)
			time.Sleep(20 * time.Second)
			for range 5 {
				r := w.newRequest(v, kindCallerID, "quotes", keyName(0), 10)
				resp := v.Handle(t.Context(), r.request(5*time.Second))
				assert.Equal(t, errkind.Done, resp.Outcome, resp.Message)
			}
			w.withdrawAt(op{A: 0, B: 0})
			time.Sleep(5 * time.Second)
			assert.True(t, w.truth.Config().Keys[keyName(0)].Withdrawn)
			w.cutPlatform(v.caller.Name, -1)
		})
		assert.Empty(t, violations)
	})
}

// TestRegressions replays the scenarios that have revealed faults.
func TestRegressions(t *testing.T) {
	for name, c := range regressions {
		t.Run(name, func(t *testing.T) {
			assert.Empty(t, scenario(t, 3, c.ops), c.guards)
		})
	}
}
