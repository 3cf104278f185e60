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
	n, err := name(c)
	if err != nil {
		return err
	}
	var body UsePreset
	if err := bind(c, &body); err != nil {
		return err
	}
	return s.change(c, body.Guard, fleet.Change{InForce: &n})
}

func (s *Server) giveKey(c echo.Context) error {
	var body AddKey
	if err := bind(c, &body); err != nil {
		return err
	}
	if body.KeyID == "" {
		return errkind.New(errkind.BadRequest, "key_id is missing")
	}
	key := fleet.Key{Team: body.Team, Hash: body.Hash}
	return s.change(c, body.Guard, fleet.Change{AddKey: &fleet.Object[fleet.Key]{Name: body.KeyID, Value: &key}})
}

// withdrawKey bars the key on this VM first and then publishes the withdrawal, so that it takes effect here and, by
// heartbeat, on the peers while the log is down. A key that this VM has never heard of is barred only if the log does not
// answer: the id may be misspelled, and barring it for good would spoil a later key of that name.
func (s *Server) withdrawKey(c echo.Context) error {
	id, err := name(c)
	if err != nil {
		return err
	}
	var body WithdrawKey
	if err := bind(c, &body); err != nil {
		return err
	}
	if err := checkID(body.ID); err != nil {
		return err
	}
	_, known := s.options.Store.Config().Keys[id]
	if known {
		s.bar(id)
	}
	change := fleet.Configure{ID: body.ID, By: body.By, Changes: []fleet.Change{{WithdrawKey: &id}}}
	result, err := s.submit(c.Request().Context(), fleet.Command{Configure: &change})
	if err != nil && errkind.Of(err) != errkind.LogUnavailable {
		return err
	}
	if err != nil {
		s.bar(id)
		return errkind.New(errkind.LogUnavailable, "key %q is barred on this VM and its peers, but %s", id, errkind.Lookup(errkind.LogUnavailable).Text)
	}
	return answer(c, result)
}

// bar makes a withdrawal take effect on this VM. It is idempotent.
func (s *Server) bar(id string) {
	s.options.KeyWithdrawer.Withdraw(id)
	events.Log(s.options.Logger, events.KeyWithdrawn, id)
}

func (s *Server) setTeam(c echo.Context) error {
	n, err := name(c)
	if err != nil {
		return err
	}
	var body SetTeam
	if err := bind(c, &body); err != nil {
		return err
	}
	if err := s.checkTeamExists(n, body.Guard); err != nil {
		return err
	}
	return s.change(c, body.Guard, fleet.Change{Team: &fleet.Object[fleet.Team]{Name: n, Value: &body.Team}})
}

// checkTeamExists refuses a misspelled team, which would otherwise come into being. It speaks only for the version that the
// change was made for; at any other version the fold decides.
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
	if err := bind(c, &body); err != nil {
		return err
	}
	if len(body.Changes) == 0 {
		return errkind.New(errkind.BadRequest, "there are no changes")
	}
	return s.change(c, body.Guard, body.Changes...)
}

func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return errkind.New(errkind.BadRequest, "a change needs an id of 1 to %d bytes", maxIDBytes)
	}
	return nil
}

// change publishes changes of the configuration and answers with the fold's result.
func (s *Server) change(c echo.Context, g Guard, changes ...fleet.Change) error {
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
	return answer(c, firstApplyConflict(*g.Expect, result))
}

// firstApplyConflict turns the fold's refusal of version 0 into a conflict: the change was made for an empty fleet, and
// another one has been accepted since.
func firstApplyConflict(expect uint64, r fleet.Result) fleet.Result {
	if expect == 0 && r.Version > 0 && r.Kind == errkind.BadRequest {
		r.Kind = errkind.VersionConflict
		r.Message = "the change was made for a fleet without configuration, but one is in force"
	}
	return r
}

// submit puts a command into the log and returns its result.
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

func answer(c echo.Context, r fleet.Result) error {
	if !r.OK() {
		return &Failure{Kind: r.Kind, Message: r.Message, Version: r.Version}
	}
	return c.JSON(http.StatusOK, Accepted{Version: r.Version})
}
