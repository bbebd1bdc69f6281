// Command rig plays the scripted cases of the second review: it starts the hosts of the
// deploy file as processes, with stand-ins of the store, samplers and requesters, and judges
// what these have seen. It exits with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// outcome is the outcome of a case: what broke the rule, empty if it held.
type outcome struct {
	broken []string
	seen   string
}

var cases = map[string]func(c *cluster, trouble bool) (outcome, error){
	"adoption": playAdoption, "timeout": playTimeout, "stop": playStop, "crashes": playCrashes, "ended": playEnded,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*cluster, bool) (outcome, error), folder string) int {
	if _, err := os.Stat(hostBinary); err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	c, err := newCluster(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	defer c.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		c.close()
		os.Exit(2)
	}()
	o, err := run(c, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	rec.add("seen: %s", o.seen)
	fmt.Println("seen:", o.seen)
	for _, b := range o.broken {
		rec.add("BROKEN: %s", b)
	}
	if len(o.broken) > 0 {
		fmt.Printf("BROKEN: %s (%d in all)\n", o.broken[0], len(o.broken))
		return 1
	}
	return 0
}
