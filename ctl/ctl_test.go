package ctl

import (
	"bytes"
	"net"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/internal/standin/foldlog"
	"example.org/comfreyrouter/keys"
	"example.org/comfreyrouter/operatorapi"
)

type node struct{}

func (node) Withdraw(string) {}

func (node) NodeStatus() operatorapi.NodeStatus { return operatorapi.NodeStatus{VM: "entry-1"} }

// rig is a command line before one entry VM over a log that folds at once.
type rig struct {
	t           *testing.T
	log         *foldlog.Log
	server      string
	input       string
	interactive bool
	out, err    bytes.Buffer
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, log: foldlog.New()}
	api := operatorapi.New(operatorapi.Options{Store: r.log.Store, Submitter: r.log, Status: node{}, KeyWithdrawer: node{}})
	server := httptest.NewServer(api)
	t.Cleanup(server.Close)
	r.server = server.Listener.Addr().String()
	return r
}

func (r *rig) run(code int, args ...string) string {
	r.t.Helper()
	r.out.Reset()
	r.err.Reset()
	terminal := Terminal{In: strings.NewReader(r.input), Out: &r.out, Err: &r.err, Interactive: r.interactive, Getenv: func(name string) string {
		return map[string]string{ServerVariable: r.server, "USER": "astrid"}[name]
	}}
	require.Equal(r.t, code, Run(r.t.Context(), args, terminal), r.err.String())
	return r.out.String()
}

var rutnat = filepath.Join("..", "examples", "rutnat")

// Guards against an apply that publishes without consent, or twice, or something else than it showed.
func TestApplyShowsThenAsksThenPublishes(t *testing.T) {
	r := newRig(t)
	require.Contains(t, r.run(ExitOK, "apply", "-f", rutnat, "-dry-run"), "+ team varmland: firm_per_entry_vm=4 limit=160 share=30\n")
	r.run(ExitUsage, "apply", "-f", rutnat)
	r.interactive, r.input = true, "n\n"
	r.run(ExitError, "apply", "-f", rutnat)
	require.Zero(t, r.log.Store.Config().Version)
	r.input = "y\n"
	require.Contains(t, r.run(ExitOK, "apply", "-f", rutnat), "version 1 is in force")
	require.Equal(t, "no difference, 0 changes, version 1 is in force\n", r.run(ExitOK, "apply", "-yes", "-f", rutnat))
	require.Equal(t, "ordinary", r.log.Store.Config().InForce)
}

// Guards against a conflict that scripts cannot tell from other errors, and one that does not name the winner.
func TestConflictHasItsExitCode(t *testing.T) {
	r := newRig(t)
	r.run(ExitOK, "apply", "-yes", "-f", rutnat)
	r.run(ExitOK, "preset", "use", "peak", "-expect", "1")
	r.run(ExitConflict, "preset", "use", "maintenance", "-expect", "1")
	require.Contains(t, r.err.String(), "version 2 is in force")
	require.Contains(t, r.run(ExitOK, "preset", "show", "peak", "-o", "json"), `"in_force": true`)
}

// Guards against a command that gives up at the first server, or whose repeat after a lost answer takes effect twice.
func TestServersAreTriedInOrderAndLostAnswersRepeated(t *testing.T) {
	r := newRig(t)
	r.run(ExitOK, "apply", "-yes", "-f", rutnat)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	r.server = closed.Addr().String() + "," + r.server
	r.log.LoseAnswers(2)
	out := r.run(ExitOK, "key", "give", "dalarna", "-id", "k1")
	given := r.log.Store.Config().Keys
	require.Len(t, given, 1)
	fields := strings.Fields(out)
	require.Equal(t, keys.Hash(fields[len(fields)-1]), given["k1"].Hash, "the printed key is the one that was given")
	r.log.LoseAnswers(1)
	r.run(ExitOK, "key", "withdraw", "k1")
	require.Contains(t, r.run(ExitOK, "key", "list"), "withdrawn")
	require.EqualValues(t, 3, r.log.Store.Config().Version)
}

// Guards against a change of one field that resets the others, and against moves and waves that the interface refuses.
func TestTeamsMovesAndWaves(t *testing.T) {
	r := newRig(t)
	r.run(ExitOK, "apply", "-yes", "-f", rutnat)
	r.run(ExitOK, "team", "set", "narke", "-share", "9")
	team := r.log.Store.Config().Teams["narke"]
	require.Equal(t, []int{9, 60}, []int{team.Share, team.Limit})
	r.run(ExitOK, "move", "start", "office-01", "quotes")
	require.Contains(t, r.run(ExitOK, "vm", "list", "-pool", "office"), "moving")
	r.run(ExitOK, "move", "abandon", "office-01")
	r.run(ExitOK, "maintenance", "plan", "spring", "office")
	r.run(ExitOK, "maintenance", "start", "spring")
	require.Contains(t, r.run(ExitOK, "maintenance", "status"), "running")
	for _, list := range []string{"preset list", "team list", "pool list", "status"} {
		r.run(ExitOK, strings.Fields(list)...)
	}
}

// Guards against misuse that reaches a server.
func TestMisuseIsAUsageError(t *testing.T) {
	r := newRig(t)
	for _, line := range []string{"", "preset", "preset use", "team set narke", "apply", "status -o xml", "status -server entry.example.org:7001", "status -nonsense"} {
		r.run(ExitUsage, strings.Fields(line)...)
	}
	require.Contains(t, r.run(ExitOK, "-h"), "maintenance plan")
	require.Contains(t, r.run(ExitOK, "apply", "-h"), "-dry-run")
}
