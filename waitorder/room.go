package waitorder

const (
	// reserve is the share of a pool that late jobs leave free, unless they are overdue. Their tasks run for about a second, and a demand peak in the meantime would find no
	// capacity.
	reserve = 0.25
	// lateShare is the share of a pool up to which late jobs start also in the reserve, so that they end while they are of use.
	lateShare = 0.25
)

// Room is the use of a pool.
type Room struct {
	Capacity int64 // of all servers, in any unit
	Used     int64 // by all runs
	UsedLate int64 // by runs of jobs that were late when they started
}

// Admits reports whether a job of a class may start tasks as far as they fit.
func (r Room) Admits(class Class) bool {
	switch class {
	case Late, LateOverShare, TooLate:
		return float64(r.Capacity-r.Used) > reserve*float64(r.Capacity) || float64(r.UsedLate) < lateShare*float64(r.Capacity)
	}
	return true
}
