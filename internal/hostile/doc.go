// Package hostile runs crowds of clients that keep to no limit against nodes and entry VMs, each a process of its own on loopback addresses, and checks that
// the processes live, that their memory and descriptors stay under a bound, and that ordinary callers are answered. Crowds and bounds are fixed; nothing
// depends on the speed of the machine. The tests need much memory for a moment, so they have a build tag and run alone:
//
//	go test -tags hostile -count=1 -p 1 ./internal/hostile
package hostile
