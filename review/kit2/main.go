// Command kit2 plays the cases of the second review against nodes that run as separate processes. Each case is a folder beside it with a run.sh.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the outcome of a case: an empty text if the rule held.
type verdict string

func main() {
	cases := map[string]func(*fleet, bool) verdict{
		"crashed-thrice": crashedThrice, "suspects": suspects, "quota": quotaAfterHandover, "lost-together": lostTogether, "waiting-for-a-lost-worker": waitingForLostWorker, "pending": pendingCount, "power-cycle": powerCycle,
		"silent-connections": silentConnections,
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: kit2 CASE")
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() { fail("it took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		fail("it was told to stop")
	}()
	f := newFleet()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, trouble %v", os.Args[1], trouble)
	v := cases[os.Args[1]](f, trouble)
	f.keepLogs()
	cleanUp()
	if v != "" {
		f.note("BROKEN: %s", v)
		fmt.Println("broken:", v)
		os.Exit(1)
	}
	f.note("held")
	fmt.Println("held")
}
