// Package routing chooses the backend server for a request, ejects servers whose tasks fail, and decides whether a request
// is retried.
package routing

import "math/rand/v2"

// Server is a candidate server in the entry VM's view.
type Server struct {
	Name        string
	DataCentre  string
	Slots       int
	LocalTasks  int  // tasks that this entry VM runs on the server
	RemoteTasks int  // tasks that peers reported in their heartbeats
	Ejected     bool // must get no task now (Health.EjectedServers)
	// Full is set if the server refused a task so recently that the view may not show it yet (FullMarks).
	Full bool
	// Failures is the number of consecutive failures up to the server's last task (Health.Failures). Each counts as a running
	// task, because a server that fails fast looks idle and would otherwise attract work.
	Failures int
}

// Free returns the number of free slots in the VM's view, 0 if the server is marked as full.
func (s Server) Free() int {
	if s.Full {
		return 0
	}
	return s.Slots - s.LocalTasks - s.RemoteTasks
}

func (s Server) load() int { return s.LocalTasks + s.RemoteTasks + s.Failures }

// Choose returns the index of the server to use. It applies the power of two choices to the servers with a free slot, and
// prefers those in dataCentre, the VM's own. It leaves out the servers in exclude, for example the one on which the request failed
// last. It returns false if no other server has a free slot.
func Choose(servers []Server, dataCentre string, exclude map[string]bool, rnd *rand.Rand) (int, bool) {
	if i, ok := chooseOfTwo(servers, rnd, func(s Server) bool {
		return s.DataCentre == dataCentre && usable(s, exclude)
	}); ok {
		return i, true
	}
	return chooseOfTwo(servers, rnd, func(s Server) bool { return usable(s, exclude) })
}

// ChooseProbe returns the index of the server to probe when no server has a free slot in the VM's view. It applies the power of
// two choices to the servers that are not marked as full and whose slots this VM does not fill alone. It returns false if there
// is none.
func ChooseProbe(servers []Server, exclude map[string]bool, rnd *rand.Rand) (int, bool) {
	return chooseOfTwo(servers, rnd, func(s Server) bool {
		return !s.Ejected && !s.Full && !exclude[s.Name] && s.LocalTasks < s.Slots
	})
}

// usable reports whether a server can take a task in the VM's view.
func usable(s Server, exclude map[string]bool) bool {
	return !s.Ejected && !exclude[s.Name] && s.Free() > 0
}

// chooseOfTwo draws two eligible servers at random and returns the index of the less loaded one.
func chooseOfTwo(servers []Server, rnd *rand.Rand, eligible func(Server) bool) (int, bool) {
	var candidates []int
	for i, s := range servers {
		if eligible(s) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	first := candidates[rnd.IntN(len(candidates))]
	second := candidates[rnd.IntN(len(candidates))]
	if lessLoaded(servers[second], servers[first]) {
		return second, true
	}
	return first, true
}

// lessLoaded reports whether a has less load per slot than b.
func lessLoaded(a, b Server) bool { return a.load()*b.Slots < b.load()*a.Slots }
