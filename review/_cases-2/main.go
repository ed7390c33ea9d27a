// Command cases-2 runs the cases of the second review that are scripts: stand-ins for the
// users' platform, runners and clients, beside entry processes of the built program.
package main

import (
	"fmt"
	"os"
	"slices"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE RECORD-FILE")
		os.Exit(exitNoRun)
	}
	run, ok := map[string]func(*world){"late": lateOrder, "wide": wideStep, "progress": lostProgress, "schedules": schedules, "stale": staleState, "deadly": deadlyTask, "backlog": endedBacklog}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNoRun)
	}
	w := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if slices.Contains([]string{"progress", "stale", "backlog"}, os.Args[1]) {
		w.store = newLogStore(w)
	}
	run(w)
}
