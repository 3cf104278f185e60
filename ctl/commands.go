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

// command is one subcommand. A name may have two words.
type command struct {
	name, args, help string
	min, max         int // number of words after the name
	offline          bool
	flags            func(*flag.FlagSet, *options)
	run              func(*session, []string) error
}

// anyNumber stands for a list of words without a bound.
const anyNumber = 1 << 20

func commands() []*command {
	return []*command{
		{name: "preset list", help: "list the presets", run: presetList},
		{name: "preset show", args: "NAME", help: "show one preset", min: 1, max: 1, run: presetShow},
		{name: "preset use", args: "NAME", help: "put a preset in force", min: 1, max: 1, flags: changeFlags, run: presetUse},
		{name: "key give", args: "TEAM", help: "give a team a new key and print it once", min: 1, max: 1, flags: keyFlags, run: keyGive},
		{name: "key withdraw", args: "ID", help: "withdraw a key for good", min: 1, max: 1, flags: changeFlags, run: keyWithdraw},
		{name: "key list", help: "list the keys by id", run: keyList},
		{name: "team list", help: "list the teams", run: teamList},
		{name: "team set", args: "NAME", help: "set a team's share or upper limit", min: 1, max: 1, flags: teamFlags, run: teamSet},
		{name: "pool list", help: "list the pools", run: poolList},
		{name: "vm list", help: "list the backend server VMs", flags: vmFlags, run: vmList},
		{name: "move start", args: "VM POOL", help: "move a VM to another pool", min: 2, max: 2, run: moveStart},
		{name: "move abandon", args: "VM", help: "take a moving VM back into its old pool", min: 1, max: 1, run: moveAbandon},
		{name: "maintenance plan", args: "NAME [POOL...]", help: "plan a wave over pools, or over all", min: 1, max: anyNumber, run: wavePlan},
		{name: "maintenance start", args: "NAME", help: "start or resume a wave", min: 1, max: 1, run: waveStart},
		{name: "maintenance pause", args: "NAME", help: "pause a wave", min: 1, max: 1, run: wavePause},
		{name: "maintenance status", help: "list the waves with their progress", run: waveStatus},
		{name: "status", help: "show the cluster as one entry VM sees it", run: status},
		{name: "apply", args: "-f DIR", help: "show and publish the difference between declarations and what is in force", flags: applyFlags, run: apply},
		{name: "check", args: "FILE|DIR", help: "check a settings file or a directory of declarations", min: 1, max: 1, offline: true, run: check},
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

// path returns the URL path of its parts, with names escaped.
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

// call sends a call and repeats it within the timeout.
func (s *session) call(method, p string, body, into any) error {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.timeout)
	defer cancel()
	return s.client.Call(ctx, method, p, body, into)
}

func (s *session) config() (*fleet.Config, error) {
	config := &fleet.Config{}
	return config, s.get("/v1/config", config)
}

// guard returns the id and the expected version of a new change.
func (s *session) guard(inForce uint64) operatorapi.Guard {
	expect := inForce
	if s.set["expect"] {
		expect = s.options.expect
	}
	return operatorapi.Guard{ID: ulid.Make().String(), Expect: &expect, By: s.options.by}
}

// change sends a change and prints the version that it led to.
func (s *session) change(method, p string, body any) error {
	var accepted operatorapi.Accepted
	if err := s.call(method, p, body, &accepted); err != nil {
		return err
	}
	return s.print(accepted, []string{"VERSION"}, [][]string{{fmt.Sprint(accepted.Version)}})
}

func presetUse(s *session, words []string) error {
	config, err := s.config()
	if err != nil {
		return err
	}
	body := operatorapi.UsePreset{Guard: s.guard(config.Version)}
	return s.change(http.MethodPost, path("presets", words[0], "use"), body)
}

// givenKey is the output of key give.
type givenKey struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	Key  string `json:"key"`
}

// keyGive generates the key here and sends its hash, so that repeats of the call give the same key. The key is printed
// only after the change was confirmed.
func keyGive(s *session, words []string) error {
	config, err := s.config()
	if err != nil {
		return err
	}
	key := givenKey{ID: s.options.keyID, Team: words[0], Key: rand.Text()}
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

// keyWithdraw names no version: a withdrawal is valid whatever else has changed.
func keyWithdraw(s *session, words []string) error {
	body := operatorapi.WithdrawKey{Guard: s.guard(0)}
	body.Expect = nil
	return s.change(http.MethodPost, path("keys", words[0], "withdraw"), body)
}

func teamSet(s *session, words []string) error {
	if !s.set["share"] && !s.set["limit"] && !s.set["firm-per-entry-vm"] {
		return usagef("team set needs -share, -limit or -firm-per-entry-vm")
	}
	config, err := s.config()
	if err != nil {
		return err
	}
	team, ok := config.Teams[words[0]]
	if !ok {
		return errkind.New(errkind.NotFound, "team %q does not exist", words[0])
	}
	if s.set["share"] {
		team.Share = s.options.share
	}
	if s.set["limit"] {
		team.Limit = s.options.limit
	}
	if s.set["firm-per-entry-vm"] {
		team.FirmPerEntryVM = s.options.firm
	}
	body := operatorapi.SetTeam{Guard: s.guard(config.Version), Team: team}
	return s.change(http.MethodPut, path("teams", words[0]), body)
}

// findVM returns a VM and the layout epoch.
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

func moveStart(s *session, words []string) error {
	vm, layout, err := s.findVM(words[0])
	if err != nil {
		return err
	}
	body := operatorapi.StartMove{VM: words[0], To: words[1], Epoch: vm.Epoch, Layout: layout}
	return s.change(http.MethodPost, "/v1/moves", body)
}

func moveAbandon(s *session, words []string) error {
	vm, _, err := s.findVM(words[0])
	if err != nil {
		return err
	}
	body := operatorapi.AbandonMove{Epoch: vm.Epoch, Pool: vm.Pool}
	return s.change(http.MethodPost, path("moves", words[0], "abandon"), body)
}

func wavePlan(s *session, words []string) error {
	return s.change(http.MethodPost, "/v1/waves", operatorapi.PlanWave{Name: words[0], Pools: words[1:]})
}

func waveStart(s *session, words []string) error {
	return s.change(http.MethodPost, path("waves", words[0], "start"), struct{}{})
}

func wavePause(s *session, words []string) error {
	return s.change(http.MethodPost, path("waves", words[0], "pause"), struct{}{})
}
