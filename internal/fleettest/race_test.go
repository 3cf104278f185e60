//go:build race

package fleettest

// checks is small under the race detector, which makes a scenario take ten times as long.
const checks = "5"
