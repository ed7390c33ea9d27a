// Command cases-3 plays the scripted cases of the third review: cases-3 NAME DIR. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// config is a desired state with one queue.
const config = `{"version":1,"routes":[{"name":"r-a","host":"h.example","pathPrefix":"/q/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"s",` +
	`"maxAttempts":3,"stretch":2,"public":false}],"services":[{"name":"s","admissionCheck":false,"standby":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
	`"tenants":[{"name":"a","apiKeys":["key-a"],"weight":38,"cap":{"cpu":0,"memMb":0,"gpu":0}}]}`

// cases play a case and report whether its rule was broken.
var cases = map[string]func(rec *recorder, trouble bool) (broken bool, err error){
	"memory":  playMemory,
	"cancel":  playCancel,
	"deadly":  playDeadly,
	"lasting": playLasting,
	"history": playHistory,
	"queue":   playQueue,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-3 NAME DIR")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		rec.printf("BROKEN")
		os.Exit(1)
	}
	rec.printf("HELD")
}
