package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/internal/standin/backendserver"
	"example.org/comfreyrouter/internal/standin/platform"
	"example.org/comfreyrouter/logclient"
)

// runStandin runs a stand-in until ctx ends.
func runStandin(ctx context.Context, args []string, out, errOut io.Writer) error {
	if len(args) > 0 {
		switch args[0] {
		case "platform":
			return runStandinPlatform(ctx, args[1:], out, errOut)
		case "backend-server":
			return runStandinBackendServer(ctx, args[1:], out, errOut)
		}
	}
	fmt.Fprintln(errOut, "usage: comfreyrouter standin platform|backend-server [flags]")
	return errUsage
}

func runStandinPlatform(ctx context.Context, args []string, out, errOut io.Writer) error {
	flags := flag.NewFlagSet("comfreyrouter standin platform", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:7000", "IP number and port to listen on")
	keep := flags.Int("keep-records", platform.DefaultKeepRecords, "number of records that retention keeps")
	lag := flags.Duration("list-lag", 2*time.Second, "lag of the list of VMs")
	var vms vmList
	flags.Var(&vms, "vm", "`NAME=ADDRESS` of a VM in the list; may be repeated")
	if err := parseFlags(flags, args, errOut); err != nil {
		return err
	}
	core := platform.NewCore(platform.Options{KeepRecords: *keep, ListLag: *lag})
	addresses := map[string]string{}
	for _, vm := range vms {
		core.SetVM(vm)
		addresses[vm.Name] = vm.Address
	}
	core.SetReboot(func(ctx context.Context, name string) error { return postReboot(ctx, addresses[name]) })
	server, err := platform.Listen(*address, core)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "platform stand-in listens on %s\n", server.Addr())
	<-ctx.Done()
	return server.Close()
}

// vmList collects the -vm flags.
type vmList []logclient.VM

// String implements flag.Value.
func (l *vmList) String() string { return "" }

// Set implements flag.Value.
func (l *vmList) Set(value string) error {
	name, address, ok := strings.Cut(value, "=")
	if !ok || name == "" || address == "" {
		return fmt.Errorf("%q is not NAME=ADDRESS", value)
	}
	*l = append(*l, logclient.VM{Name: name, Address: address, State: logclient.VMLive})
	return nil
}

// postReboot asks a backend server stand-in to restart as a new process would.
func postReboot(ctx context.Context, address string) error {
	target := url.URL{Scheme: "http", Host: address, Path: "/v1/reboot"}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func runStandinBackendServer(ctx context.Context, args []string, out, errOut io.Writer) error {
	flags := flag.NewFlagSet("comfreyrouter standin backend-server", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:7100", "IP number and port to listen on")
	name := flags.String("name", "backend-server", "name of the VM")
	slots := flags.Int("slots", 8, "number of tasks that run at one time")
	lag := flags.Duration("usage-lag", 2*time.Second, "lag of the reports of running tasks")
	starts := flags.String("starts", "", "`file` to which a line of JSON is appended for each task that starts")
	if err := parseFlags(flags, args, errOut); err != nil {
		return err
	}
	options := backendserver.Options{Name: *name, Slots: *slots, UsageLag: *lag}
	if *starts != "" {
		file, err := os.OpenFile(*starts, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		options.OnStart = startRecorder(file)
	}
	listener, err := backendserver.Listen(*address, backendserver.New(options))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "backend server stand-in %s listens on %s\n", *name, listener.Addr())
	<-ctx.Done()
	return listener.Close()
}

// StartRecord is one line of the file that the flag -starts names.
type StartRecord struct {
	At    time.Time `json:"at"`
	Queue string    `json:"queue"`
	Team  string    `json:"team"`
	Epoch uint64    `json:"epoch"` // phase epoch for which the task was sent
	Body  []byte    `json:"body"`
}

// startRecorder returns a function that writes a line for each task that starts. A task runs only after its line has been written.
func startRecorder(out io.Writer) func(backend.Task) {
	var mu sync.Mutex
	encoder := json.NewEncoder(out)
	return func(t backend.Task) {
		mu.Lock()
		defer mu.Unlock()
		// A missing line fails the test that reads the file.
		_ = encoder.Encode(StartRecord{At: time.Now(), Queue: t.Queue, Team: t.Team, Epoch: t.PoolEpoch, Body: t.Body})
	}
}
