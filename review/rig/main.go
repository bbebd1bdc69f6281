// Command rig runs the cases of the review: a small deployment of lavender-host with
// stand-ins for the platform, the samplers and the requesters, on loopback addresses.
//
//	rig CASE RECORD    (with TROUBLE=0: the same without the disruption)
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var quickClient = &http.Client{Timeout: 2 * time.Second}

var cases = map[string]func(*recorder, bool) (broken []string){
	"extra-answer":  extraAnswer,
	"two-holders":   twoHolders,
	"late-creation": lateCreation,
	"large-commit":  largeCommit,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-signals; cannotRun("interrupted") }()
	record := newRecorder(os.Args[2])
	broken := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	for _, c := range running {
		c.stop()
	}
	if len(broken) == 0 {
		record.add("the rule held")
		fmt.Println("the rule held")
		return
	}
	for _, b := range broken {
		record.add("BROKEN: %s", b)
	}
	fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
	os.Exit(1)
}
