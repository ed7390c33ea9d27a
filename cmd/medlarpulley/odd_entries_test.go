package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

// putOddEntries writes entries of another writer to every topic that the cell reads.
func putOddEntries(store *users.Store) {
	host := func(address, capacity, more string) string {
		return `{"service":"s","address":"` + address + `","zone":"z","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":` + capacity + `,"seq":1` + more + `}`
	}
	const capacity = `{"cpu":4000,"memMb":8192,"gpu":0}`
	nested := func(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }
	for key, values := range map[string]map[string]string{
		"keyed.servers": {
			"port-70000": host("127.0.0.1:70000", capacity, ""), "port-0": host("127.0.0.1:0", capacity, ""), "no-port": host("127.0.0.1", capacity, ""),
			"no-address": host("", capacity, ""), "negative": host("127.0.0.1:9", `{"cpu":-1,"memMb":-1}`, ""),
			"largest": host("127.0.0.1:9", `{"cpu":9223372036854775807,"memMb":9223372036854775807}`, ""), "overflow": host("127.0.0.1:9", `{"cpu":1e10}`, ""),
			"number": host("127.0.0.1:9", `{"cpu":1e400}`, ""), "nested-9000": host("127.0.0.1:9", capacity, `,"x":`+nested(9000)),
			"nested-100000": host("127.0.0.1:9", capacity, `,"x":`+nested(100_000)), "labels": host("127.0.0.1:9", capacity, `,"labels":7`),
			"truncated": `{"service":`, "null": "null", "\xff": "\xff\xfe", "": host("127.0.0.1:9", capacity, ""),
			strings.Repeat("k", 254): host("127.0.0.1:9", capacity, ""), strings.Repeat("l", 255): host("127.0.0.1:9", capacity, ""),
			"long": host("127.0.0.1:9", capacity, `,"labels":["`+strings.Repeat("<", 200_000)+`"]`),
		},
		"keyed.medlarpulley": {
			"s/odd-after":       `{"id":"odd-after","team":"a","queue":{"name":"r","service":"s"},"steps":[{"count":1,"after":[7]}]}`,
			"s/odd-count":       `{"id":"odd-count","team":"a","queue":{"name":"r","service":"s"},"steps":[{"count":1000000000000000000}]}`,
			"s/odd-occurs":      `{"id":"odd-occurs","team":"a","queue":{"name":"r","service":"s"},"steps":[{"count":1}],"occurrences":1000000000000000000}`,
			"h/odd":             `{"spec":{"id":"i-0","address":"127.0.0.1:9"},"closed":true,"runs":[{"task":{"Submission":"x","Index":-1},"run":-1}]}`,
			"p/odd":             `{"state":200}`,
			"unknown/" + "\xff": nested(9000),
		},
		"keyed.medlarpulley.nodes": {
			"odd": `{"name":"n1","boot":"b","address":"127.0.0.1:9","power":1e300,"follows":true}`, "odd-2": nested(100_000),
		},
		"keyed.op": {"other": nested(100_000)},
	} {
		for name, value := range values {
			store.Put(key, name, []byte(value))
		}
	}
}

// Guards against processes that end, or that stop following a topic, after another writer
// has left odd entries there; and against a takeover that they keep from succeeding.
func TestCellServesBesideOddEntries(t *testing.T) {
	store := users.NewStore()
	defer store.Close()
	advice := users.NewAdvice(2 * time.Millisecond)
	defer advice.Close()
	putOddEntries(store)
	store.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s",`+
		`"maxAttempts":3,"stretch":1e300,"targetLatencyMs":1e300,"advice":{"decisionMs":2,"perWorkerMs":0,"validityMs":2500}}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a",""],"weight":100}]}`))
	hosts := startHosts(t, 2, 100*time.Millisecond, store)
	procs := startEntries(t, store, advice)
	const body = `{"spec":"x","steps":[{"count":2,"cpu":1000,"memMb":10,"estimateMs":100}]}`
	submitted := 0
	serve := func(what string) {
		for range 5 {
			submitted++
			id := fmt.Sprintf("%016x", submitted)
			for name, p := range procs {
				waitUntil(t, name+" accepts, "+what, func() bool { code, _ := p.call("POST", id, body); return code == 200 })
				waitUntil(t, name+" completes, "+what, func() bool { _, s := p.call("GET", id, ""); return strings.Contains(s, "completed") })
			}
		}
	}
	serve("odd entries before the start")
	putOddEntries(store)
	serve("odd entries while the cell runs")
	for _, h := range hosts {
		store.Put("keyed.servers", h.ID, []byte(`{"service":7}`))
	}
	time.Sleep(4 * time.Second) // longer than a host counts as listed without its entry
	for _, h := range hosts {
		h.Register(store)
	}
	serve("odd entries under the IDs of the hosts, for a while")
	owner := ownerOf(t, procs)
	if err := procs[owner].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	delete(procs, owner)
	serve("odd entries at a takeover")
	store.TrimHistory("keyed.medlarpulley")
	store.TrimHistory("keyed.servers")
	serve("odd entries among the newest records")
	checkNoOverlappingRuns(t, hosts)
}

// ownerOf returns the process that was the first owner of the cell.
func ownerOf(t *testing.T, procs map[string]*entryProcess) (owner string) {
	t.Helper()
	waitUntil(t, "a node owns the cell", func() bool {
		for name, p := range procs {
			select {
			case <-p.becameOwner:
				owner = name
			default:
			}
		}
		return owner != ""
	})
	return owner
}
