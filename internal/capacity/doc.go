// Package capacity measures how the cost of the control plane grows with the size of the fleet. The figures of docs/CAPACITY.md are
// derived from its benchmarks:
//
//	go test -run xxx -bench . ./internal/capacity
package capacity
