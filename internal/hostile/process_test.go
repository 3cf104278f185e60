//go:build hostile

package hostile

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/internal/command"
)

const (
	// programEnv makes this test binary run comfreyrouter instead of the tests, so that the processes run the code under test.
	programEnv = "COMFREYROUTER_HOSTILE_PROGRAM"
	// descriptorsEnv is the number of descriptors that the program may open.
	descriptorsEnv = "COMFREYROUTER_HOSTILE_DESCRIPTORS"
	// waitTimeout ends a wait whose condition never holds. A wait that succeeds doesn't depend on it.
	waitTimeout  = 45 * time.Second
	pollInterval = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		os.Exit(program())
	}
	flag.Parse()
	os.Exit(m.Run())
}

// program runs comfreyrouter as its main function does, with fewer descriptors.
func program() int {
	limit, err := strconv.ParseUint(os.Getenv(descriptorsEnv), 10, 64)
	if err == nil {
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// process is a running comfreyrouter.
type process struct {
	name, log string
	cmd       *exec.Cmd
	done      chan struct{}
}

// start starts comfreyrouter with a settings file. The process is killed when the test ends.
func start(t *testing.T, name, subcommand, settings string, descriptors int) *process {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, name+".yaml")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	p := &process{name: name, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.Create(p.log)
	require.NoError(t, err)
	p.cmd = exec.Command(os.Args[0], subcommand, "-settings", file)
	p.cmd.Env = append(os.Environ(), programEnv+"=1", fmt.Sprintf("%s=%d", descriptorsEnv, descriptors))
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // the exit code is in ProcessState
		_ = out.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.done
	})
	return p
}

// lives reports whether the process hasn't ended.
func (p *process) lives() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// peakMB returns the peak resident memory in MB, or an error if the process has ended.
func (p *process) peakMB() (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb / 1024, err
		}
	}
	return 0, errors.New("the process has no memory")
}

// descriptors returns the number of open descriptors, or 0 if the process has ended.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if holds() {
			return
		}
	}
	require.Fail(t, "never: "+what)
}

// The processes listen on ports below the range that the system gives to outgoing connections, so that none is taken before they start.
const (
	firstPort = 11000
	portCount = 2000
)

var portsUsed = os.Getpid()

// freeAddress returns a loopback address at which nothing listens and that it hasn't returned before. No process is forked while it finds out: the child would
// hold the port until it has begun its program.
func freeAddress(t *testing.T) string {
	t.Helper()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for range portCount {
		portsUsed++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+portsUsed%portCount))
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		return l.Addr().String()
	}
	require.Fail(t, "no free port")
	return ""
}
