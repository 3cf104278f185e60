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

type fakeNode struct{}

func (fakeNode) Withdraw(string) {}

func (fakeNode) NodeStatus() operatorapi.NodeStatus { return operatorapi.NodeStatus{VM: "entry-1"} }

// fixture runs command lines against the operators' interface of one entry VM, over a log that applies commands immediately.
type fixture struct {
	t           *testing.T
	log         *foldlog.Log
	server      string
	input       string
	interactive bool
	out, err    bytes.Buffer
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, log: foldlog.New()}
	api := operatorapi.New(operatorapi.Options{Store: f.log.Store, Submitter: f.log, Status: fakeNode{}, KeyWithdrawer: fakeNode{}})
	server := httptest.NewServer(api)
	t.Cleanup(server.Close)
	f.server = server.Listener.Addr().String()
	return f
}

func (f *fixture) run(code int, args ...string) string {
	f.t.Helper()
	f.out.Reset()
	f.err.Reset()
	terminal := Terminal{In: strings.NewReader(f.input), Out: &f.out, Err: &f.err, Interactive: f.interactive, Getenv: func(name string) string {
		return map[string]string{ServerVariable: f.server, "USER": "astrid"}[name]
	}}
	require.Equal(f.t, code, Run(f.t.Context(), args, terminal), f.err.String())
	return f.out.String()
}

var rutnatDir = filepath.Join("..", "examples", "rutnat")

// TestApplyShowsThenAsksThenPublishes guards against an apply that publishes without consent, publishes twice, or publishes something
// other than what it showed.
func TestApplyShowsThenAsksThenPublishes(t *testing.T) {
	f := newFixture(t)
	require.Contains(t, f.run(ExitOK, "apply", "-f", rutnatDir, "-dry-run"), "+ team varmland: firm_per_entry_vm=4 limit=160 share=30\n")
	f.run(ExitUsage, "apply", "-f", rutnatDir)
	f.interactive, f.input = true, "n\n"
	f.run(ExitError, "apply", "-f", rutnatDir)
	require.Zero(t, f.log.Store.Config().Version)
	f.input = "y\n"
	require.Contains(t, f.run(ExitOK, "apply", "-f", rutnatDir), "version 1 is in force")
	require.Equal(t, "no difference, 0 changes, version 1 is in force\n", f.run(ExitOK, "apply", "-yes", "-f", rutnatDir))
	require.Equal(t, "ordinary", f.log.Store.Config().InForce)
}

// TestConflictHasItsExitCode guards against a conflict that scripts cannot tell from other errors, and one whose message does not name
// the version in force.
func TestConflictHasItsExitCode(t *testing.T) {
	f := newFixture(t)
	f.run(ExitOK, "apply", "-yes", "-f", rutnatDir)
	f.run(ExitOK, "preset", "use", "peak", "-expect", "1")
	f.run(ExitConflict, "preset", "use", "maintenance", "-expect", "1")
	require.Contains(t, f.err.String(), "version 2 is in force")
	require.Contains(t, f.run(ExitOK, "preset", "show", "peak", "-o", "json"), `"in_force": true`)
}

// TestServersAreTriedInOrderAndLostAnswersRepeated guards against a command that fails when the first server does, or whose repeat after
// a lost answer takes effect twice.
func TestServersAreTriedInOrderAndLostAnswersRepeated(t *testing.T) {
	f := newFixture(t)
	f.run(ExitOK, "apply", "-yes", "-f", rutnatDir)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	f.server = closed.Addr().String() + "," + f.server
	f.log.LoseAnswers(2)
	out := f.run(ExitOK, "key", "give", "dalarna", "-id", "k1")
	given := f.log.Store.Config().Keys
	require.Len(t, given, 1)
	fields := strings.Fields(out)
	require.Equal(t, keys.Hash(fields[len(fields)-1]), given["k1"].Hash, "the printed key is the one that was given")
	f.log.LoseAnswers(1)
	f.run(ExitOK, "key", "withdraw", "k1")
	require.Contains(t, f.run(ExitOK, "key", "list"), "withdrawn")
	require.EqualValues(t, 3, f.log.Store.Config().Version)
}

// TestTeamsMovesAndWaves guards against a change of one field that resets the others, and against valid moves and waves that the
// interface refuses.
func TestTeamsMovesAndWaves(t *testing.T) {
	f := newFixture(t)
	f.run(ExitOK, "apply", "-yes", "-f", rutnatDir)
	f.run(ExitOK, "team", "set", "narke", "-share", "9")
	team := f.log.Store.Config().Teams["narke"]
	require.Equal(t, []int{9, 60}, []int{team.Share, team.Limit})
	f.run(ExitOK, "move", "start", "office-01", "quotes")
	require.Contains(t, f.run(ExitOK, "vm", "list", "-pool", "office"), "moving")
	f.run(ExitOK, "move", "abandon", "office-01")
	f.run(ExitOK, "maintenance", "plan", "spring", "office")
	f.run(ExitOK, "maintenance", "start", "spring")
	require.Contains(t, f.run(ExitOK, "maintenance", "status"), "running")
	for _, list := range []string{"preset list", "team list", "pool list", "status"} {
		f.run(ExitOK, strings.Fields(list)...)
	}
}

// TestMisuseIsAUsageError guards against invalid command lines that are not rejected as usage errors before a server is called.
func TestMisuseIsAUsageError(t *testing.T) {
	f := newFixture(t)
	for _, line := range []string{"", "preset", "preset use", "team set narke", "apply", "status -o xml", "status -server entry.example.org:7001", "status -nonsense"} {
		f.run(ExitUsage, strings.Fields(line)...)
	}
	require.Contains(t, f.run(ExitOK, "-h"), "maintenance plan")
	require.Contains(t, f.run(ExitOK, "apply", "-h"), "-dry-run")
}
