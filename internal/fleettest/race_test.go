//go:build race

package fleettest

// checks is the number of random scenarios. It is small under the race detector, which makes a scenario take ten times as long.
const checks = "5"
