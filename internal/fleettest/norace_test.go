//go:build !race

package fleettest

// checks is the number of random scenarios, each of which takes about 0.3 s.
const checks = "40"
