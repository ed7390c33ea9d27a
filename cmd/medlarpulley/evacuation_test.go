package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

const (
	evacuationBound = 5 * time.Second
	// evacuationTime is how long the zone stays evacuated after the bound.
	evacuationTime = 5 * time.Second
	// readsEndWithin is longer than the store holds a read open, so that none of them gets
	// a record that is stored then.
	readsEndWithin = 800 * time.Millisecond
)

// evacuationCell is a cell of three processes with two hosts in each of two zones.
type evacuationCell struct {
	t     *testing.T
	store *users.Store
	hosts []*users.Host
	nodes []*entryProcess
	jobs  atomic.Int64
}

func newEvacuationCell(t *testing.T) *evacuationCell {
	c := &evacuationCell{t: t, store: users.NewStore()}
	t.Cleanup(c.store.Close)
	advice := users.NewAdvice(2 * time.Millisecond)
	t.Cleanup(advice.Close)
	c.store.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","maxAttempts":3,`+
		`"stretch":3,"targetLatencyMs":1000,"advice":{"decisionMs":2,"perWorkerMs":0,"validityMs":2500}}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":1000}]}`))
	c.hosts = startHosts(t, 4, 100*time.Millisecond, c.store)
	for i, h := range c.hosts {
		h.SetZone(fmt.Sprintf("z%d", i%2))
	}
	for i := range 3 {
		c.nodes = append(c.nodes, startEntry(t, fmt.Sprintf("n%02d", i), c.store, advice, fmt.Sprintf("[bounds]\nevacuation_ms = %d\n", evacuationBound.Milliseconds())))
	}
	return c
}

// submitUntil submits jobs at all processes until stop is closed.
func (c *evacuationCell) submitUntil(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, p := range c.nodes {
			if code, _ := p.call(http.MethodPost, fmt.Sprintf("%016x", n), (&soakJob{tasks: []int{2}}).body()); code == http.StatusOK {
				c.jobs.Add(1)
				break
			}
		}
	}
}

// startsIn returns how many runs have started in a zone in a period.
func (c *evacuationCell) startsIn(zone int, from, to time.Time) (n int) {
	for i, h := range c.hosts {
		for _, r := range h.History() {
			if i%2 == zone && r.StartedAt.After(from) && r.StartedAt.Before(to) {
				n++
			}
		}
	}
	return n
}

// killOwner ends the first process that has been owner since it started.
func (c *evacuationCell) killOwner() {
	for i, p := range c.nodes {
		select {
		case <-p.becameOwner:
			_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
			_ = p.cmd.Wait()
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
			return
		default:
		}
	}
	c.t.Error("no process has been owner")
}

// Guards against processes that start tasks in an evacuated zone after the bound, although
// the store was silent when the evacuation began and the owner was lost meanwhile; and
// against a zone that stays evacuated although the record of its return was deleted before
// anyone read it.
func TestZoneIsEvacuatedAcrossFaults(t *testing.T) {
	c := newEvacuationCell(t)
	begin := time.Now()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { c.submitUntil(stop); close(stopped) }()
	started := func(zone int, from time.Time) func() bool {
		return func() bool { return c.startsIn(zone, from, time.Now()) > 0 }
	}
	waitUntil(t, "tasks start in both zones", func() bool { return started(0, begin)() && started(1, begin)() })

	c.store.Put("keyed.op", "evacuate/z0", []byte("{}"))
	acknowledged := time.Now()
	c.store.SetFault(users.Unresponsive)
	time.Sleep(evacuationBound / 2)
	c.store.SetFault(users.NoFault)
	time.Sleep(evacuationBound / 2)
	close(stop) // the list of processes changes
	<-stopped
	c.killOwner()
	stop, stopped = make(chan struct{}), make(chan struct{})
	go func() { c.submitUntil(stop); close(stopped) }()
	defer func() { close(stop); <-stopped }()
	time.Sleep(evacuationTime)
	waitUntil(t, "tasks start in the zone that is left", started(1, time.Now()))

	returned := time.Now()
	if n := c.startsIn(0, acknowledged.Add(evacuationBound), returned); n > 0 {
		t.Errorf("%d runs have started in the evacuated zone", n)
	}
	c.store.SetFault(users.RejectAll)
	time.Sleep(readsEndWithin)
	c.store.Put("keyed.op", "evacuate/z0", nil)
	c.store.TrimHistory("keyed.op")
	c.store.SetFault(users.NoFault)
	waitUntil(t, "tasks start in the zone that is back", started(0, returned))
	t.Logf("%d jobs were accepted", c.jobs.Load())
}
