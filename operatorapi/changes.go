package operatorapi

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/fleet"
)

func (s *Server) usePreset(c echo.Context) error {
	n, err := pathName(c)
	if err != nil {
		return err
	}
	var body UsePreset
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	return s.submitChanges(c, body.Guard, fleet.Change{InForce: &n})
}

func (s *Server) addKey(c echo.Context) error {
	var body AddKey
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	if body.KeyID == "" {
		return errkind.New(errkind.BadRequest, "key_id is missing")
	}
	key := fleet.Key{Team: body.Team, Hash: body.Hash}
	return s.submitChanges(c, body.Guard, fleet.Change{AddKey: &fleet.Object[fleet.Key]{Name: body.KeyID, Value: &key}})
}

// withdrawKey withdraws the key on this VM first and then publishes the withdrawal, so that it takes effect here and, by
// heartbeat, on the peers even while the log is unavailable. A key that this VM doesn't know is withdrawn locally only if the
// log is unavailable: the id may be misspelled, and a permanent withdrawal would make a later key with that id unusable.
func (s *Server) withdrawKey(c echo.Context) error {
	id, err := pathName(c)
	if err != nil {
		return err
	}
	var body WithdrawKey
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	if err := checkID(body.ID); err != nil {
		return err
	}
	_, known := s.options.Store.Config().Keys[id]
	if known {
		s.withdrawLocally(id)
	}
	change := fleet.Configure{ID: body.ID, By: body.By, Changes: []fleet.Change{{WithdrawKey: &id}}}
	result, err := s.submit(c.Request().Context(), fleet.Command{Configure: &change})
	if err != nil && errkind.Of(err) != errkind.LogUnavailable {
		return err
	}
	if err != nil {
		s.withdrawLocally(id)
		return errkind.New(errkind.LogUnavailable, "key %q is barred on this VM and its peers, but %s", id, errkind.Lookup(errkind.LogUnavailable).Text)
	}
	return writeResult(c, result)
}

// withdrawLocally withdraws a key on this VM, without the log. It is idempotent.
func (s *Server) withdrawLocally(id string) {
	s.options.KeyWithdrawer.Withdraw(id)
	events.Log(s.options.Logger, events.KeyWithdrawn, id)
}

func (s *Server) setTeam(c echo.Context) error {
	n, err := pathName(c)
	if err != nil {
		return err
	}
	var body SetTeam
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	if err := s.checkTeamExists(n, body.Guard); err != nil {
		return err
	}
	return s.submitChanges(c, body.Guard, fleet.Change{Team: &fleet.Object[fleet.Team]{Name: n, Value: &body.Team}})
}

// checkTeamExists returns an error for an unknown team, which is probably misspelled and would otherwise be created. It checks
// only at the version that the change was made for; at any other version the fold decides.
func (s *Server) checkTeamExists(n string, g Guard) error {
	config := s.options.Store.Config()
	if g.Expect == nil || *g.Expect != config.Version {
		return nil
	}
	if _, ok := config.Teams[n]; !ok {
		return errkind.New(errkind.NotFound, "team %q does not exist", n)
	}
	return nil
}

func (s *Server) apply(c echo.Context) error {
	var body Apply
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	if len(body.Changes) == 0 {
		return errkind.New(errkind.BadRequest, "there are no changes")
	}
	return s.submitChanges(c, body.Guard, body.Changes...)
}

func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return errkind.New(errkind.BadRequest, "a change needs an id of 1 to %d bytes", maxIDBytes)
	}
	return nil
}

// submitChanges publishes changes of the configuration and responds with the fold's result.
func (s *Server) submitChanges(c echo.Context, g Guard, changes ...fleet.Change) error {
	if err := checkID(g.ID); err != nil {
		return err
	}
	if g.Expect == nil {
		return errkind.New(errkind.BadRequest, "expect is missing: a change names the version it was made for")
	}
	command := fleet.Configure{ID: g.ID, Expect: *g.Expect, By: g.By, Changes: changes}
	result, err := s.submit(c.Request().Context(), fleet.Command{Configure: &command})
	if err != nil {
		return err
	}
	return writeResult(c, firstApplyConflict(*g.Expect, result))
}

// firstApplyConflict turns the fold's refusal of expected version 0 into a conflict: the change was made for a fleet without
// configuration, and another change has been accepted since.
func firstApplyConflict(expect uint64, r fleet.Result) fleet.Result {
	if expect == 0 && r.Version > 0 && r.Kind == errkind.BadRequest {
		r.Kind = errkind.VersionConflict
		r.Message = "the change was made for a fleet without configuration, but one is in force"
	}
	return r
}

// submit appends a command to the log and returns the fold's result. If the log doesn't answer in time, the error is of kind LogUnavailable.
func (s *Server) submit(ctx context.Context, command fleet.Command) (fleet.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.SubmitTimeout)
	defer cancel()
	results, err := s.options.Submitter.Submit(ctx, command)
	if ctx.Err() != nil && err != nil || errkind.Of(err) == errkind.LogUnavailable {
		return fleet.Result{}, errkind.New(errkind.LogUnavailable, "%s", errkind.Lookup(errkind.LogUnavailable).Text)
	}
	if err != nil {
		return fleet.Result{}, err
	}
	if len(results) != 1 {
		return fleet.Result{}, errkind.New(errkind.Internal, "the log returned %d results for one command", len(results))
	}
	return results[0], nil
}

func writeResult(c echo.Context, r fleet.Result) error {
	if !r.OK() {
		return &Failure{Kind: r.Kind, Message: r.Message, Version: r.Version}
	}
	return c.JSON(http.StatusOK, Accepted{Version: r.Version})
}
