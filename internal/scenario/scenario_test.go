package scenario

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"example.org/comfreyrouter/ctl"
	"example.org/comfreyrouter/internal/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"comfreyrouter": router, "comfreyctl": operator})
}

// router and operator run comfreyrouter and comfreyctl as their main functions do.
func router() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func operator() {
	os.Exit(ctl.Run(context.Background(), os.Args[1:], ctl.Terminal{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv}))
}

// TestScenarios runs the scripts of testdata. The head of each says which failure it guards against.
func TestScenarios(t *testing.T) {
	examples, err := filepath.Abs(filepath.Join("..", "..", "examples"))
	if err != nil {
		t.Fatal(err)
	}
	declared, err := filepath.Abs(filepath.Join("testdata", "fleet"))
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			e.Setenv("USER", "scenario")
			f := newFleet(e.WorkDir, declared)
			e.Values[fleetKey{}] = f
			e.Defer(f.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"up": cmdUp, "entry": cmdEntry, "signal": cmdSignal, "exited": cmdExited, "faults": cmdFaults,
			"request": cmdRequest, "answer": cmdAnswer, "ulid": cmdULID, "issue": cmdIssue, "started": cmdStarted,
			"await": cmdAwait, "race": cmdRace, "load": cmdLoad, "one-pool": cmdOnePool, "code": cmdCode,
		},
	})
}
