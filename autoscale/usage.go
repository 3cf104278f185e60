package autoscale

import "time"

// State is what a machine of a pool does.
type State string

const (
	// Working is a machine that runs tasks that end by themselves.
	Working State = "working"
	// LongRunning is a machine that runs long-running tasks only.
	LongRunning State = "long_running"
	// Idle is a machine that is up and runs nothing.
	Idle State = "idle"
	// Away is a machine that can't be given tasks: it is being moved, in upkeep or down, or its server doesn't answer.
	Away State = "away"
)

// States returns all states of a machine.
func States() []State { return []State{Working, LongRunning, Idle, Away} }

// state returns what a machine does.
func (m Machine) state() State {
	switch {
	case !m.Up || m.Unreachable:
		return Away
	case m.Tasks > 0:
		return Working
	case m.LongRunning:
		return LongRunning
	default:
		return Idle
	}
}

// maxObservationGap bounds the time that one observation stands for. While the list of machines can't be read, nothing is known of their use.
const maxObservationGap = 2 * time.Second

// Use is how long the machines of a pool were in each state, added up over the machines.
type Use map[State]time.Duration

// Usage adds up how the machines of the pools that aren't spare spend their time. Those of a spare pool are off.
type Usage struct {
	at      time.Duration // of the last observation, 0 before the first
	last    map[string]map[State]int
	pending map[string]Use
}

// Observe adds the time since the last observation, in which the machines were as they were found then, and keeps what they do now.
func (u *Usage) Observe(now time.Duration, pools []Pool, machines []Machine) {
	if u.pending == nil {
		u.pending = map[string]Use{}
	}
	elapsed := min(now-u.at, maxObservationGap)
	for pool, counts := range u.last {
		if u.pending[pool] == nil {
			u.pending[pool] = Use{}
		}
		for state, n := range counts {
			u.pending[pool][state] += time.Duration(n) * elapsed
		}
	}
	u.at, u.last = now, map[string]map[State]int{}
	for _, p := range pools {
		if !p.Spare {
			u.last[p.Name] = map[State]int{}
		}
	}
	for _, m := range machines {
		if counts := u.last[m.Pool]; counts != nil {
			counts[m.state()]++
		}
	}
}

// Take returns the use of each pool since it was last taken.
func (u *Usage) Take() map[string]Use {
	taken := u.pending
	u.pending = map[string]Use{}
	return taken
}
