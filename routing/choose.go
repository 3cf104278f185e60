// Package routing decides which backend server runs a request, which servers are left out for failing, and whether a
// request is tried again.
package routing

import "math/rand/v2"

// Server is a candidate as the entry VM sees it.
type Server struct {
	Name       string
	DataCentre string
	Slots      int
	Local      int // tasks that this entry VM runs on it
	Remote     int // tasks that its peers said they run on it
	Ejected    bool
}

// Free returns the slots that are free by the VM's view.
func (s Server) Free() int { return s.Slots - s.Local - s.Remote }

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
func less(a, b Server) bool {
	return (a.Local+a.Remote)*b.Slots < (b.Local+b.Remote)*a.Slots
}
