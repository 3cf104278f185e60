package ctl

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/oklog/ulid/v2"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/keys"
	"example.org/comfreyrouter/operatorapi"
)

// command is one subcommand. Its name may consist of two words.
type command struct {
	name, argNames, help string
	min, max             int // number of arguments after the name
	offline              bool
	flags                func(*flag.FlagSet, *options)
	run                  func(*session, []string) error
}

// unlimitedArgs is the maximum of a command that takes any number of arguments.
const unlimitedArgs = 1 << 20

func commands() []*command {
	return []*command{
		{name: "preset list", help: "list the presets", run: presetList},
		{name: "preset show", argNames: "NAME", help: "show one preset", min: 1, max: 1, run: presetShow},
		{name: "preset use", argNames: "NAME", help: "put a preset in force", min: 1, max: 1, flags: changeFlags, run: presetUse},
		{name: "key give", argNames: "TEAM", help: "give a team a new key and print it once", min: 1, max: 1, flags: keyFlags, run: keyGive},
		{name: "key withdraw", argNames: "ID", help: "withdraw a key for good", min: 1, max: 1, flags: changeFlags, run: keyWithdraw},
		{name: "key list", help: "list the keys by id", run: keyList},
		{name: "team list", help: "list the teams", run: teamList},
		{name: "team set", argNames: "NAME", help: "set a team's share or upper limit", min: 1, max: 1, flags: teamFlags, run: teamSet},
		{name: "pool list", help: "list the pools", run: poolList},
		{name: "vm list", help: "list the backend server VMs", flags: vmFlags, run: vmList},
		{name: "move start", argNames: "VM POOL", help: "move a VM to another pool", min: 2, max: 2, run: moveStart},
		{name: "move abandon", argNames: "VM", help: "take a moving VM back into its old pool", min: 1, max: 1, run: moveAbandon},
		{name: "maintenance plan", argNames: "NAME [POOL...]", help: "plan a wave over pools, or over all", min: 1, max: unlimitedArgs, run: wavePlan},
		{name: "maintenance start", argNames: "NAME", help: "start or resume a wave", min: 1, max: 1, run: waveStart},
		{name: "maintenance pause", argNames: "NAME", help: "pause a wave", min: 1, max: 1, run: wavePause},
		{name: "maintenance status", help: "list the waves with their progress", run: waveStatus},
		{name: "status", help: "show the cluster as one entry VM sees it", run: status},
		{name: "dispatcher", help: "show the dispatcher of the jobs, the load of each service and its jobs by state", run: dispatcherStatus},
		{name: "interference", help: "list the pairs of images whose tasks slow each other down", run: interferenceList},
		{name: "evacuations", argNames: "[DATA CENTRE...]", help: "list the evacuated data centres and what they leave to each service", max: unlimitedArgs, flags: evacuationFlags, run: evacuations},
		{name: "explain", argNames: "-f JOB.json [-key KEY] HOST PATH", help: "say where a job would go now, and why, without sending it", min: 2, max: 2, flags: explainFlags, run: explain},
		{name: "apply", argNames: "-f DIR", help: "show and publish the difference between declarations and what is in force", flags: applyFlags, run: apply},
		{name: "check", argNames: "FILE|DIR", help: "check a settings file or a directory of declarations", min: 1, max: 1, offline: true, run: check},
	}
}

func changeFlags(f *flag.FlagSet, o *options) {
	f.StringVar(&o.by, "by", o.by, "`name` of the operator, for the history")
	f.Uint64Var(&o.expect, "expect", 0, "`version` the change is made for; default is the one in force now")
}

func keyFlags(f *flag.FlagSet, o *options) {
	changeFlags(f, o)
	f.StringVar(&o.keyID, "id", "", "`id` of the new key; default is the team and a unique part")
}

func teamFlags(f *flag.FlagSet, o *options) {
	changeFlags(f, o)
	f.IntVar(&o.share, "share", 0, "weight of the team when the fleet is full")
	f.IntVar(&o.limit, "limit", 0, "most tasks that the team may run in the whole fleet")
	f.IntVar(&o.firm, "firm-per-entry-vm", 0, "part of the limit that each entry VM keeps without a lease")
}

func vmFlags(f *flag.FlagSet, o *options) {
	f.StringVar(&o.pool, "pool", "", "list the VMs of this `pool` only")
}

// path joins parts to a URL path below /v1, each part escaped.
func path(parts ...string) string {
	escaped := make([]string, len(parts))
	for i, p := range parts {
		escaped[i] = url.PathEscape(p)
	}
	return "/v1/" + strings.Join(escaped, "/")
}

func (s *session) get(p string, into any) error {
	return s.call(http.MethodGet, p, nil, into)
}

// call sends a call and repeats it, as Client.Call does, within the timeout of the options.
func (s *session) call(method, p string, body, into any) error {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.timeout)
	defer cancel()
	return s.client.Call(ctx, method, p, body, into)
}

func (s *session) config() (*fleet.Config, error) {
	config := &fleet.Config{}
	return config, s.get("/v1/config", config)
}

// guard returns the guard of a new change: a fresh id, the operator's name and the expected version, which is inForce unless -expect is given.
func (s *session) guard(inForce uint64) operatorapi.Guard {
	expect := inForce
	if s.setFlags["expect"] {
		expect = s.options.expect
	}
	return operatorapi.Guard{ID: ulid.Make().String(), Expect: &expect, By: s.options.by}
}

// sendChange sends a change and prints the configuration version that is in force after it.
func (s *session) sendChange(method, p string, body any) error {
	var accepted operatorapi.Accepted
	if err := s.call(method, p, body, &accepted); err != nil {
		return err
	}
	return s.print(accepted, []string{"VERSION"}, [][]string{{fmt.Sprint(accepted.Version)}})
}

func presetUse(s *session, args []string) error {
	config, err := s.config()
	if err != nil {
		return err
	}
	body := operatorapi.UsePreset{Guard: s.guard(config.Version)}
	return s.sendChange(http.MethodPost, path("presets", args[0], "use"), body)
}

// addedKey is the key that key give prints.
type addedKey struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	Key  string `json:"key"`
}

// keyGive generates the key locally and sends its hash, so that repeats of the call add the same key. The key is printed
// only after the change is confirmed.
func keyGive(s *session, args []string) error {
	config, err := s.config()
	if err != nil {
		return err
	}
	key := addedKey{ID: s.options.keyID, Team: args[0], Key: rand.Text()}
	if key.ID == "" {
		key.ID = key.Team + "-" + strings.ToLower(ulid.Make().String())
	}
	body := operatorapi.AddKey{Guard: s.guard(config.Version), KeyID: key.ID, Team: key.Team, Hash: keys.Hash(key.Key)}
	var accepted operatorapi.Accepted
	err = s.call(http.MethodPost, "/v1/keys", body, &accepted)
	if errkind.Of(err) == errkind.LogUnavailable {
		return fmt.Errorf("%w; if key list shows %s, withdraw it and give another", err, key.ID)
	}
	if err != nil {
		return err
	}
	return s.print(key, []string{"ID", "TEAM", "KEY"}, [][]string{{key.ID, key.Team, key.Key}})
}

// keyWithdraw sends no expected version: a withdrawal is valid whatever else has changed.
func keyWithdraw(s *session, args []string) error {
	body := operatorapi.WithdrawKey{Guard: s.guard(0)}
	body.Expect = nil
	return s.sendChange(http.MethodPost, path("keys", args[0], "withdraw"), body)
}

func teamSet(s *session, args []string) error {
	if !s.setFlags["share"] && !s.setFlags["limit"] && !s.setFlags["firm-per-entry-vm"] {
		return usageErrorf("team set needs -share, -limit or -firm-per-entry-vm")
	}
	config, err := s.config()
	if err != nil {
		return err
	}
	team, ok := config.Teams[args[0]]
	if !ok {
		return errkind.New(errkind.NotFound, "team %q does not exist", args[0])
	}
	if s.setFlags["share"] {
		team.Share = s.options.share
	}
	if s.setFlags["limit"] {
		team.Limit = s.options.limit
	}
	if s.setFlags["firm-per-entry-vm"] {
		team.FirmPerEntryVM = s.options.firm
	}
	body := operatorapi.SetTeam{Guard: s.guard(config.Version), Team: team}
	return s.sendChange(http.MethodPut, path("teams", args[0]), body)
}

// findVM returns a VM by name, and the layout epoch.
func (s *session) findVM(name string) (fleet.VM, uint64, error) {
	var list operatorapi.VMList
	if err := s.get("/v1/vms", &list); err != nil {
		return fleet.VM{}, 0, err
	}
	for _, info := range list.VMs {
		if info.Name == name {
			return info.VM, list.Layout, nil
		}
	}
	return fleet.VM{}, 0, errkind.New(errkind.NotFound, "VM %q is not declared", name)
}

func moveStart(s *session, args []string) error {
	vm, layout, err := s.findVM(args[0])
	if err != nil {
		return err
	}
	body := operatorapi.StartMove{VM: args[0], To: args[1], Epoch: vm.Epoch, Layout: layout}
	return s.sendChange(http.MethodPost, "/v1/moves", body)
}

func moveAbandon(s *session, args []string) error {
	vm, _, err := s.findVM(args[0])
	if err != nil {
		return err
	}
	body := operatorapi.AbandonMove{Epoch: vm.Epoch, Pool: vm.Pool}
	return s.sendChange(http.MethodPost, path("moves", args[0], "abandon"), body)
}

func wavePlan(s *session, args []string) error {
	return s.sendChange(http.MethodPost, "/v1/waves", operatorapi.PlanWave{Name: args[0], Pools: args[1:]})
}

func waveStart(s *session, args []string) error {
	return s.sendChange(http.MethodPost, path("waves", args[0], "start"), struct{}{})
}

func wavePause(s *session, args []string) error {
	return s.sendChange(http.MethodPost, path("waves", args[0], "pause"), struct{}{})
}
