// Package testenv fixes the seeds of randomised tests, so that every run of the test command gives the same result.
package testenv

import (
	"flag"
	"os"
	"testing"
)

// rapidDefaults are the values of flags of the rapid library that apply unless the command line sets others.
var rapidDefaults = map[string]string{
	"rapid.seed":       "20261204",
	"rapid.nofailfile": "true",
}

// Main runs the tests of a package with fixed seeds. A package that uses rapid calls it from TestMain. To use another seed, pass it on the command
// line: go test ./fleet -args -rapid.seed=7 -rapid.checks=10000.
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
