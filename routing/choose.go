// Package routing decides which backend server runs a request, which servers are left out for failing, and whether a
// request is tried again.
package routing

import "math/rand/v2"

// Server is a candidate as the entry VM sees it.
type Server struct {
	Name        string
	DataCentre  string
	Slots       int
	LocalTasks  int // tasks that this entry VM runs on it
	RemoteTasks int // tasks that its peers said they run on it
	Ejected     bool
	// Full is set if the server refused a task more recently than the view of it can tell (FullMarks).
	Full bool
	// Failures is the number of the server's last tasks that failed in a row (Health.Failures). Each counts as a running
	// task, so that a server that fails fast, and so looks idle, does not attract work.
	Failures int
}

// Free returns the slots that are free by the VM's view.
func (s Server) Free() int {
	if s.Full {
		return 0
	}
	return s.Slots - s.LocalTasks - s.RemoteTasks
}

func (s Server) load() int { return s.LocalTasks + s.RemoteTasks + s.Failures }

// Choose returns the index of the server to use, by power of two choices over the servers with a free slot, from the
// VM's own data centre as long as one there has room. It returns false if no server has a free slot.
func Choose(servers []Server, centre string, exclude map[string]bool, rnd *rand.Rand) (int, bool) {
	if i, ok := chooseFrom(servers, rnd, func(s Server) bool {
		return s.DataCentre == centre && usable(s, exclude)
	}); ok {
		return i, true
	}
	return chooseFrom(servers, rnd, func(s Server) bool { return usable(s, exclude) })
}

// ChooseProbe returns the index of the server to try when no server has a free slot by the VM's view: one that did not refuse a
// task since the last heartbeat, by power of two choices. It returns false if there is none.
func ChooseProbe(servers []Server, exclude map[string]bool, rnd *rand.Rand) (int, bool) {
	return chooseFrom(servers, rnd, func(s Server) bool {
		return !s.Ejected && !s.Full && !exclude[s.Name] && s.LocalTasks < s.Slots
	})
}

func usable(s Server, exclude map[string]bool) bool {
	return !s.Ejected && !exclude[s.Name] && s.Free() > 0
}

func chooseFrom(servers []Server, rnd *rand.Rand, ok func(Server) bool) (int, bool) {
	var candidates []int
	for i, s := range servers {
		if ok(s) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	first := candidates[rnd.IntN(len(candidates))]
	second := candidates[rnd.IntN(len(candidates))]
	if less(servers[second], servers[first]) {
		return second, true
	}
	return first, true
}

// less reports whether a is relatively less loaded than b.
func less(a, b Server) bool { return a.load()*b.Slots < b.load()*a.Slots }
