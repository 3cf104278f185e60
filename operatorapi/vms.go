package operatorapi

import (
	"slices"

	"github.com/labstack/echo/v4"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// startMove starts a move. The fold remembers no ids of moves; a repeat is recognised by the phase epoch, which the first
// call raised.
func (s *Server) startMove(c echo.Context) error {
	var body StartMove
	if err := bind(c, &body); err != nil {
		return err
	}
	move := fleet.StartMove{VM: body.VM, Epoch: body.Epoch, To: body.To, Layout: body.Layout}
	return s.moveCommand(c, fleet.Command{Move: &move}, body.VM, func(vm fleet.VM) bool {
		started := vm.Epoch == body.Epoch+1 && vm.Phase == fleet.Moving && vm.MoveTo == body.To
		finished := vm.Epoch == body.Epoch+2 && vm.Phase == fleet.Serving && vm.Pool == body.To
		return started || finished
	})
}

// abandonMove ends a move in the old pool. A move that has ended in the new pool in the meantime is a conflict.
func (s *Server) abandonMove(c echo.Context) error {
	n, err := name(c)
	if err != nil {
		return err
	}
	var body AbandonMove
	if err := bind(c, &body); err != nil {
		return err
	}
	if err := s.checkMoving(n, body); err != nil {
		return err
	}
	phase := fleet.AdvancePhase{VM: n, Epoch: body.Epoch, To: fleet.Serving, Abandon: true}
	return s.moveCommand(c, fleet.Command{Phase: &phase}, n, func(vm fleet.VM) bool {
		return vm.Epoch == body.Epoch+1 && vm.Phase == fleet.Serving && vm.Pool == body.Pool
	})
}

// checkMoving refuses to abandon what is not a move: the same command of the fold also ends a drain or a reboot.
func (s *Server) checkMoving(n string, body AbandonMove) error {
	var vm fleet.VM
	s.options.Store.View(func(state *fleet.State) { vm = state.VMs[n] })
	if vm.Epoch == body.Epoch && vm.Phase != fleet.Moving {
		return &Failure{Kind: errkind.VersionConflict, Message: "VM " + n + " is not moving"}
	}
	return nil
}

// moveCommand publishes a command that is guarded by a phase epoch. A conflict is a success if the VM is where an earlier
// call of the same content, whose answer was lost, has brought it.
func (s *Server) moveCommand(c echo.Context, command fleet.Command, vm string, done func(fleet.VM) bool) error {
	result, err := s.submit(c.Request().Context(), command)
	if err != nil {
		return err
	}
	if result.Kind == errkind.VersionConflict {
		s.options.Store.View(func(state *fleet.State) {
			if done(state.VMs[vm]) {
				result = fleet.Result{Version: state.Config.Version}
			}
		})
	}
	return answer(c, result)
}

func (s *Server) planWave(c echo.Context) error {
	var body PlanWave
	if err := bind(c, &body); err != nil {
		return err
	}
	w, ok := s.wave(body.Name)
	if ok && (w.State != fleet.WavePlanned || !slices.Equal(w.Pools, body.Pools)) {
		return &Failure{Kind: errkind.VersionConflict, Message: "wave " + body.Name + " exists already and is " + string(w.State)}
	}
	return s.setWave(c, fleet.SetWave{Name: body.Name, Pools: body.Pools, State: fleet.WavePlanned})
}

func (s *Server) startWave(c echo.Context) error {
	return s.turnWave(c, fleet.WaveRunning, fleet.WavePlanned, fleet.WavePaused, fleet.WaveRunning)
}

func (s *Server) pauseWave(c echo.Context) error {
	return s.turnWave(c, fleet.WavePaused, fleet.WaveRunning, fleet.WavePaused)
}

// turnWave changes the state of a wave. Setting a state twice is harmless, so the call may be repeated without an id.
func (s *Server) turnWave(c echo.Context, to fleet.WaveState, from ...fleet.WaveState) error {
	n, err := name(c)
	if err != nil {
		return err
	}
	w, ok := s.wave(n)
	if ok && !slices.Contains(from, w.State) {
		return &Failure{Kind: errkind.VersionConflict, Message: "wave " + n + " is " + string(w.State)}
	}
	return s.setWave(c, fleet.SetWave{Name: n, Pools: w.Pools, State: to})
}

func (s *Server) wave(n string) (fleet.Wave, bool) {
	var w fleet.Wave
	var ok bool
	s.options.Store.View(func(state *fleet.State) { w, ok = state.Waves[n] })
	return w, ok
}

func (s *Server) setWave(c echo.Context, w fleet.SetWave) error {
	result, err := s.submit(c.Request().Context(), fleet.Command{Wave: &w})
	if err != nil {
		return err
	}
	return answer(c, result)
}
