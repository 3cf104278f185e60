// Package fleettest runs whole entry VMs through random scenarios of requests, operator commands and faults, and checks the starts on
// backend servers and the answers to callers with an oracle.
//
// The seeds are fixed. A longer run with a fresh seed:
//
//	go test ./internal/fleettest -run TestScenarios -timeout 0 -args -rapid.seed=7 -rapid.checks=500 -rapid.shrinktime=1s
package fleettest

import (
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"example.org/comfreyrouter/internal/testenv"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", checks); err != nil {
		panic(err)
	}
	testenv.Main(m)
}

// weights are the relative frequencies of the operations.
var weights = map[string]int{
	"send": 12, "burst": 4, "again": 8, "ask": 3, "kill": 3, "stop": 2, "freeze": 3, "cut": 3, "cut-platform": 2, "cut-log": 2,
	"outage": 2, "slow": 1, "lose": 3, "hold": 2, "server": 2, "server-fault": 4, "drain": 2, "limit": 3, "preset": 2, "give": 1,
	"withdraw": 2, "withdraw-at": 1,
}

func weightedNames() []string {
	var out []string
	for _, name := range sortedNames(weights) {
		for range weights[name] {
			out = append(out, name)
		}
	}
	return out
}

var drawOp = rapid.Custom(func(t *rapid.T) op {
	return op{
		Do: rapid.SampledFrom(weightedNames()).Draw(t, "do"),
		A:  rapid.IntRange(0, 11).Draw(t, "a"), B: rapid.IntRange(0, 11).Draw(t, "b"), N: rapid.IntRange(0, 59).Draw(t, "n"),
		Length: rapid.SampledFrom([]time.Duration{
			time.Second, 3 * time.Second, 8 * time.Second, 20 * time.Second, 40 * time.Second, 2 * time.Minute,
		}).Draw(t, "length"),
		Gap: rapid.SampledFrom([]time.Duration{
			0, 0, 7 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second,
		}).Draw(t, "gap"),
		Twice: rapid.IntRange(0, 5).Draw(t, "twice") == 0,
	}
})

// scenario runs operations on a fleet in a synctest bubble and returns the violations of its invariants.
func scenario(t *testing.T, vms int, ops []op) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		violations = run(t, vms, 1, func(w *world) { w.play(ops) })
	})
	return violations
}

// TestScenarios checks the invariants of the fleet in random scenarios.
func TestScenarios(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.IntRange(3, 5).Draw(rt, "vms")
		ops := rapid.SliceOfN(drawOp, 10, 50).Draw(rt, "ops")
		if violations := scenario(t, vms, ops); len(violations) > 0 {
			rt.Fatalf("%s\n%v", strings.Join(violations, "\n"), ops)
		}
	})
}
