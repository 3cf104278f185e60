// Command kit3 plays the scripts of the third review: it starts nodes as separate processes and plays the store, the platform, the workers and the clients
// around them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is how long a case may take.
const longest = 110 * time.Second

// cases holds the cases by their names. Each returns how the rule was broken, or "" if it held.
var cases = map[string]func(f *fleet, trouble bool) (string, error){
	"late-acknowledgement": lateAcknowledgement,
	"withdrawn-key":        withdrawnKey,
	"lost-again":           lostAgain,
	"late-start":           lateStart,
	"repeated-order":       repeatedOrder,
	"late-order":           lateOrder,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and writes record.txt into its folder.
func play(name, folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	rec := newRecord(out)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", name, trouble)
	f, err := newFleet(rec)
	if err != nil {
		rec.note("the case couldn't run: %v", err)
		return exitNotRun
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		rec.note("interrupted")
		f.close()
		os.Exit(exitNotRun)
	}()
	time.AfterFunc(longest, func() {
		rec.note("the case couldn't run: it has taken %v", longest)
		f.close()
		os.Exit(exitNotRun)
	})
	broken, err := cases[name](f, trouble)
	switch {
	case err != nil:
		rec.note("the case couldn't run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		rec.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.note("held")
	fmt.Println("held")
	return exitHeld
}
