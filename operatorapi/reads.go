package operatorapi

import (
	"maps"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// config responds with the configuration in force, without the hashes of keys.
func (s *Server) config(c echo.Context) error {
	public := s.options.Store.Config().Clone()
	for id, k := range public.Keys {
		k.Hash = ""
		public.Keys[id] = k
	}
	return c.JSON(http.StatusOK, public)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (s *Server) presets(c echo.Context) error {
	config := s.options.Store.Config()
	list := make([]PresetInfo, 0, len(config.Presets))
	for _, n := range sortedKeys(config.Presets) {
		list = append(list, PresetInfo{Name: n, InForce: n == config.InForce, Preset: config.Presets[n]})
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) preset(c echo.Context) error {
	n, err := pathName(c)
	if err != nil {
		return err
	}
	config := s.options.Store.Config()
	p, ok := config.Presets[n]
	if !ok {
		return errkind.New(errkind.NotFound, "preset %q does not exist", n)
	}
	return c.JSON(http.StatusOK, PresetInfo{Name: n, InForce: n == config.InForce, Preset: p})
}

func (s *Server) keys(c echo.Context) error {
	config := s.options.Store.Config()
	list := make([]KeyInfo, 0, len(config.Keys))
	for _, id := range sortedKeys(config.Keys) {
		k := config.Keys[id]
		list = append(list, KeyInfo{ID: id, Team: k.Team, Withdrawn: k.Withdrawn})
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) teams(c echo.Context) error {
	list := []TeamInfo{}
	s.options.Store.View(func(state *fleet.State) {
		for _, n := range sortedKeys(state.Config.Teams) {
			list = append(list, TeamInfo{Name: n, Team: state.Config.Teams[n], Granted: state.Granted(n)})
		}
	})
	return c.JSON(http.StatusOK, list)
}

func (s *Server) pools(c echo.Context) error {
	list := []PoolInfo{}
	s.options.Store.View(func(state *fleet.State) {
		sizes := state.Config.Preset().PoolSizes
		for _, n := range sortedKeys(state.Config.Pools) {
			info := PoolInfo{Name: n, Pool: state.Config.Pools[n]}
			if size, ok := sizes[n]; ok {
				info.Wanted = &size
			}
			list = append(list, info)
		}
		countVMs(list, state.VMs)
	})
	return c.JSON(http.StatusOK, list)
}

func countVMs(list []PoolInfo, vms map[string]fleet.VM) {
	index := map[string]int{}
	for i, info := range list {
		index[info.Name] = i
	}
	for _, vm := range vms {
		i, ok := index[vm.Pool]
		if !ok {
			continue
		}
		list[i].VMs++
		if vm.Available() {
			list[i].Available++
		}
	}
}

func (s *Server) vms(c echo.Context) error {
	list := VMList{VMs: []VMInfo{}}
	s.options.Store.View(func(state *fleet.State) {
		list.Layout = state.Layout
		for _, n := range sortedKeys(state.VMs) {
			d := state.Config.Servers[n]
			list.VMs = append(list.VMs, VMInfo{
				Name:       n,
				VM:         state.VMs[n],
				DataCentre: d.DataCentre,
				Rack:       d.Rack,
				Address:    d.Address,
			})
		}
	})
	return c.JSON(http.StatusOK, list)
}

func (s *Server) waves(c echo.Context) error {
	var list []WaveInfo
	s.options.Store.View(func(state *fleet.State) { list = waveList(state) })
	return c.JSON(http.StatusOK, list)
}

func waveList(state *fleet.State) []WaveInfo {
	list := make([]WaveInfo, 0, len(state.Waves))
	for _, n := range sortedKeys(state.Waves) {
		list = append(list, waveInfo(state, n))
	}
	return list
}

func waveInfo(state *fleet.State, n string) WaveInfo {
	w := state.Waves[n]
	info := WaveInfo{Name: n, State: w.State, Pools: slices.Clone(w.Pools), Maintained: len(w.Maintained)}
	for _, vm := range state.VMs {
		if vm.Wave == n {
			info.InProgress++
		}
		if len(w.Pools) == 0 || slices.Contains(w.Pools, vm.Pool) {
			info.Total++
		}
	}
	return info
}

func (s *Server) status(c echo.Context) error {
	status := ClusterStatus{Node: s.options.Status.NodeStatus()}
	s.options.Store.View(func(state *fleet.State) {
		status.Offset = state.Offset
		status.Version = state.Config.Version
		status.InForce = state.Config.InForce
		status.Members = maps.Clone(state.Members)
		status.Waves = waveList(state)
	})
	return c.JSON(http.StatusOK, status)
}
