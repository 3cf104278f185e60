package operatorapi

import (
	"slices"

	"github.com/labstack/echo/v4"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// startMove starts a move. The fold doesn't remember ids of moves; a repeat is recognised by the phase epoch, which the first
// call incremented.
func (s *Server) startMove(c echo.Context) error {
	var body StartMove
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	move := fleet.StartMove{VM: body.VM, Epoch: body.Epoch, To: body.To, Layout: body.Layout}
	return s.submitMove(c, fleet.Command{Move: &move}, body.VM, func(vm fleet.VM) bool {
		started := vm.Epoch == body.Epoch+1 && vm.Phase == fleet.Moving && vm.MoveTo == body.To
		finished := vm.Epoch == body.Epoch+2 && vm.Phase == fleet.Serving && vm.Pool == body.To
		return started || finished
	})
}

// abandonMove ends a move by returning the VM to its old pool. If the move has meanwhile ended in the new pool, the result is a conflict.
func (s *Server) abandonMove(c echo.Context) error {
	n, err := pathName(c)
	if err != nil {
		return err
	}
	var body AbandonMove
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	if err := s.checkMoving(n, body); err != nil {
		return err
	}
	phase := fleet.AdvancePhase{VM: n, Epoch: body.Epoch, To: fleet.Serving, Abandon: true}
	return s.submitMove(c, fleet.Command{Phase: &phase}, n, func(vm fleet.VM) bool {
		return vm.Epoch == body.Epoch+1 && vm.Phase == fleet.Serving && vm.Pool == body.Pool
	})
}

// checkMoving returns a conflict if the VM is not moving, because the same command of the fold also ends a drain or a reboot.
func (s *Server) checkMoving(n string, body AbandonMove) error {
	var vm fleet.VM
	s.options.Store.View(func(state *fleet.State) { vm = state.VMs[n] })
	if vm.Epoch == body.Epoch && vm.Phase != fleet.Moving {
		return &Failure{Kind: errkind.VersionConflict, Message: "VM " + n + " is not moving"}
	}
	return nil
}

// submitMove publishes a command that is conditional on a phase epoch. A conflict counts as success if done reports that the VM
// is in the state to which an earlier call with the same content, whose answer was lost, would have brought it.
func (s *Server) submitMove(c echo.Context, command fleet.Command, vm string, done func(fleet.VM) bool) error {
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
	return writeResult(c, result)
}

func (s *Server) planWave(c echo.Context) error {
	var body PlanWave
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	w, ok := s.wave(body.Name)
	if ok && (w.State != fleet.WavePlanned || !slices.Equal(w.Pools, body.Pools)) {
		return &Failure{Kind: errkind.VersionConflict, Message: "wave " + body.Name + " exists already and is " + string(w.State)}
	}
	return s.setWave(c, fleet.SetWave{Name: body.Name, Pools: body.Pools, State: fleet.WavePlanned})
}

func (s *Server) startWave(c echo.Context) error {
	return s.changeWaveState(c, fleet.WaveRunning, fleet.WavePlanned, fleet.WavePaused, fleet.WaveRunning)
}

func (s *Server) pauseWave(c echo.Context) error {
	return s.changeWaveState(c, fleet.WavePaused, fleet.WaveRunning, fleet.WavePaused)
}

// changeWaveState changes the state of a wave. Setting a state is idempotent, so the call may be repeated without an id.
func (s *Server) changeWaveState(c echo.Context, to fleet.WaveState, from ...fleet.WaveState) error {
	n, err := pathName(c)
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
	return writeResult(c, result)
}
