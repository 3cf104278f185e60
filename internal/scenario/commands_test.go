package scenario

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"example.org/comfreyrouter/callerapi"
)

// cmdUp starts the stand-ins and three entry VMs, applies the declarations and gives a key to each team: up [flags of the platform stand-in].
func cmdUp(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	ts.Check(f.startStandIns(args))
	for name, dataCentre := range map[string]string{"e1": "falun", "e2": "vasteras", "e3": "orebro"} {
		startEntry(ts, name, dataCentre, false)
	}
	ts.Check(f.declare())
	if _, text, err := f.ctl("e1", "apply", "-f", "declared", "-yes"); err != nil {
		ts.Fatalf("apply: %s", text)
	}
	for _, team := range []string{"varmland", "narke"} {
		out, text, err := f.ctl("e1", "key", "give", team, "-id", "k-"+team, "-o", "json")
		if err != nil {
			ts.Fatalf("key give: %s", text)
		}
		var given struct{ Key string }
		ts.Check(json.Unmarshal([]byte(out), &given))
		f.keys[team] = given.Key
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		_, err := f.processes[name].find(`"event":3001.*"version":3`)
		ts.Check(err)
	}
}

// cmdEntry starts an entry VM: entry NAME DATA_CENTRE [alone].
func cmdEntry(ts *testscript.TestScript, _ bool, args []string) {
	words, opts := options(args, "alone")
	_, alone := opts["alone"]
	startEntry(ts, words[0], words[1], alone)
}

func startEntry(ts *testscript.TestScript, name, dataCentre string, alone bool) {
	f := fleetOf(ts)
	ts.Check(f.startEntry(name, dataCentre, alone))
	ts.Setenv(name, f.callers[name])
	ts.Setenv(name+"_operator", f.operators[name])
}

// cmdSignal sends a signal to a process that the script has started: signal NAME KILL|STOP|CONT|TERM.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(fleetOf(ts).signal(args[0], args[1]))
}

// cmdExited waits until a process ends and checks its exit code: exited NAME CODE. A process that was killed has code -1.
func cmdExited(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	p := f.processes[args[0]]
	<-p.done
	if code := strconv.Itoa(p.cmd.ProcessState.ExitCode()); code != args[1] {
		ts.Fatalf("%s ended with code %s", args[0], code)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.callers, args[0])
	delete(f.peers, args[0])
}

// cmdFaults sets the faults of a stand-in: faults NAME JSON.
func cmdFaults(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Post("http://"+fleetOf(ts).addresses[args[0]]+"/v1/faults", "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("status %s", resp.Status)
	}
}

// cmdRequest sends a request: request ENTRY_VM QUEUE ANSWER [order=NAME] [team=TEAM] [id=ID] [once] [run=MS] [deadline=MS]
// [eventually] [as=NAME [count=N]]. ANSWER is a regular expression for OUTCOME or OUTCOME/KIND. With as, the answer
// is checked by the command answer.
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	words, opts := options(args, "once", "eventually")
	o := order{name: opts["order"], queue: words[1], team: "varmland", id: opts["id"], deadline: 30_000, run: 10}
	if o.name == "" {
		o.name = ulid.Make().String()
	}
	if team, ok := opts["team"]; ok {
		o.team = team
	}
	_, o.once = opts["once"]
	setNumber(ts, &o.run, opts["run"])
	setNumber(ts, &o.deadline, opts["deadline"])
	address, key := f.callers[words[0]], f.keys[o.team]
	if as := opts["as"]; as != "" {
		count := 1
		setNumber(ts, &count, opts["count"])
		answers := make(chan answer, count)
		f.pending[as] = answers
		for range count {
			if o.once && opts["id"] == "" {
				o.id = ulid.Make().String()
			}
			o := o
			go func() { answers <- send(http.DefaultClient, address, key, o) }()
		}
		return
	}
	want := regexp.MustCompile("^(" + words[2] + ")$")
	got := send(http.DefaultClient, address, key, o)
	if _, ok := opts["eventually"]; ok {
		_ = waitFor(words[2], func() bool { // the last answer is compared below
			got = send(http.DefaultClient, address, key, o)
			return want.MatchString(got.text())
		})
	}
	if !want.MatchString(got.text()) {
		ts.Fatalf("answer is %s, not %s: %s", got.text(), words[2], got.detail)
	}
}

func setNumber(ts *testscript.TestScript, into *int, text string) {
	if text == "" {
		return
	}
	n, err := strconv.Atoi(text)
	ts.Check(err)
	*into = n
}

// cmdAnswer waits for the answers to the requests that were sent with as=NAME, and checks each: answer NAME ANSWER.
func cmdAnswer(ts *testscript.TestScript, _ bool, args []string) {
	answers := fleetOf(ts).pending[args[0]]
	for range cap(answers) {
		got := <-answers
		if !regexp.MustCompile("^(" + args[1] + ")$").MatchString(got.text()) {
			ts.Fatalf("answer is %s, not %s: %s", got.text(), args[1], got.detail)
		}
	}
}

// cmdULID sets environment variables to new request ids: ulid NAME...
func cmdULID(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Setenv(name, ulid.Make().String())
	}
}

// cmdIssue sets an environment variable to a request id that an entry VM issues to varmland: issue ENTRY_VM NAME.
func cmdIssue(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	id, err := issueID(http.DefaultClient, f.callers[args[0]], f.keys["varmland"])
	ts.Check(err)
	ts.Setenv(args[1], id)
}

func issueID(client *http.Client, address, key string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/request-ids?count=1", nil)
	if err != nil {
		return "", err
	}
	req.Header.Set(callerapi.HeaderKey, key)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var out struct{ IDs []string }
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return "", err
	}
	if len(out.IDs) == 0 {
		return "", io.ErrUnexpectedEOF
	}
	return out.IDs[0], nil
}

// cmdStarted waits until an order was started N times, and fails if it was started more often: started ORDER N.
func cmdStarted(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	var n int
	ts.Check(waitFor(args[0]+" is started", func() bool {
		counts, err := f.countStarts()
		n = counts[args[0]]
		return err == nil && n >= want
	}))
	if n != want {
		ts.Fatalf("%s was started %d times", args[0], n)
	}
}

// cmdAwait waits until a regular expression matches logs, files, a response or the output of comfreyctl:
// await REGEXP log NAME... | file FILE... | get ADDRESS/PATH | ctl ENTRY_VM ARGS...
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	re := regexp.MustCompile("(?m)" + args[0])
	seen := ""
	err := waitFor(strings.Join(args, " "), func() bool {
		switch args[1] {
		case "log":
			seen = ""
			for _, name := range args[2:] {
				data, _ := os.ReadFile(f.processes[name].log)
				seen += string(data)
			}
		case "file":
			seen = ""
			for _, name := range args[2:] {
				data, _ := os.ReadFile(ts.MkAbs(name))
				seen += string(data)
			}
		case "get":
			seen = get("http://" + args[2])
		case "ctl":
			seen, _, _ = f.ctl(args[2], args[3:]...)
		}
		return re.MatchString(seen)
	})
	if err != nil {
		ts.Fatalf("%v; last seen:\n%s", err, seen)
	}
}

// cmdCode runs a program and checks its exit code: code N PROGRAM ARGS...
func cmdCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	if exit, ok := errors.AsType[*exec.ExitError](err); ok {
		code = exit.ExitCode()
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d", code)
	}
}

// cmdRace runs comfreyctl command lines concurrently, each through another entry VM. Exactly one must succeed; the others must fail with a
// conflict that names the version that won: race VERSION LINE LINE...
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	type result struct {
		code int
		text string
	}
	results := make(chan result)
	for i, line := range args[1:] {
		go func() {
			_, text, err := f.ctl("e"+strconv.Itoa(i+1), strings.Fields(line)...)
			code := 0
			if exit, ok := err.(*exec.ExitError); ok {
				code = exit.ExitCode()
			}
			results <- result{code, text}
		}()
	}
	won := 0
	for range args[1:] {
		r := <-results
		switch {
		case r.code == 0:
			won++
		case r.code != 3 || !strings.Contains(r.text, "version "+args[0]):
			ts.Fatalf("code %d: %s", r.code, r.text)
		}
	}
	if won != 1 {
		ts.Fatalf("%d operators succeeded, not 1", won)
	}
}
