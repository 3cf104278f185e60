// Package testenv fixes the seeds of randomised tests, so that every run of the test command gives the same verdict.
package testenv

import (
	"flag"
	"os"
	"testing"
)

// rapidDefaults are the flags of the rapid library that are set unless the command line sets them.
var rapidDefaults = map[string]string{
	"rapid.seed":       "20261204",
	"rapid.nofailfile": "true",
}

// Main runs the tests of a package with fixed seeds. A package that uses rapid calls it from TestMain. Fresh seeds are given
// on the command line: go test ./fleet -args -rapid.seed=7 -rapid.checks=10000.
func Main(m *testing.M) {
	for name, value := range rapidDefaults {
		if flag.Lookup(name) == nil {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
