// Command standin plays one case of the review: it starts three controllers as processes, with
// stand-ins of the state service, the cloud, the workers and the users in its own process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRunOK = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		os.Exit(notRunOK)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRunOK)
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRunOK)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble: %v", os.Args[1], trouble)
	go endEarly(rec)
	go serveStarts()
	code := notRunOK
	if play := cases[os.Args[1]]; play != nil {
		code = play(rec, root, trouble)
	}
	rec.log("exit code %d", code)
	fmt.Println("exit code", code)
	os.Exit(code)
}

var cases = map[string]func(rec *record, root string, trouble bool) int{
	"one-zone-type": oneZoneType,
	"late-answer":   lateAnswer,
	"many-small":    manySmall,
}

// runningFleet is the fleet whose processes have to be ended with this process.
var runningFleet struct {
	sync.Mutex
	fleet *fleet
}

// endEarly ends all processes if this process is told to end, or after 118 s.
func endEarly(rec *record) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-told:
	case <-time.After(118 * time.Second):
	}
	rec.log("ended early")
	runningFleet.Lock()
	if runningFleet.fleet != nil {
		runningFleet.fleet.close()
	}
	os.Exit(notRunOK)
}
