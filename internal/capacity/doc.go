// Package capacity measures how the cost of the control work grows with the size of the fleet. docs/CAPACITY.md is worked out from its
// benchmarks:
//
//	go test -run xxx -bench . ./internal/capacity
package capacity
