package ingress

import (
	"cmp"
	"syscall"
)

const (
	// connBytes is what a connection holds besides its request: its goroutine, its buffers, and what net/http knows of it.
	connBytes = 24 << 10
	mb        = 1 << 20
)

// DefaultMemoryMB is the memory from which the budget is taken if that of the VM isn't known.
const DefaultMemoryMB = 256

// Size returns the limit of connections and the budget, in bytes, of a process that may use so much memory and so many descriptors; 0 means that either isn't
// known. A third of the descriptors is left to connections to other nodes, the store and backend servers and to files, and most of the memory to the
// process itself.
func Size(memoryMB, descriptors int) (maxConns int, budget int64) {
	maxConns = 2 * descriptors / 3
	if memoryMB > 0 {
		byMemory := memoryMB * mb / 3 / connBytes
		if maxConns == 0 || byMemory < maxConns {
			maxConns = byMemory
		}
	}
	return maxConns, int64(cmp.Or(memoryMB, DefaultMemoryMB)) * mb / 8
}

// Descriptors returns the number of descriptors that this process may open, at most limit unless that is 0.
func Descriptors(limit int) int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > 1<<30 {
		return limit
	}
	if limit > 0 {
		return min(limit, int(r.Cur))
	}
	return int(r.Cur)
}
