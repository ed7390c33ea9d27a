package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	deadlyRunners = 16
	// crashAway is how long a runner is away that the task has crashed.
	crashAway = 6 * time.Second
	// allowedCrashes and allowedStarts are how many runners may have crashed under a task, and how often it
	// may be started after that.
	allowedCrashes = 3
	allowedStarts  = 2
)

// playDeadly hands in a task that crashes each runner which starts it. The runner is silent then, and back
// after some seconds.
func playDeadly(rec *recorder, trouble bool) (broken bool, err error) {
	c, err := newCell(rec, 0, 0)
	if err != nil {
		return false, err
	}
	defer c.close()
	done := make(chan struct{})
	defer close(done)
	c.store.Put("keyed.op", "config", []byte(config))
	var runners []*runner
	for i := range deadlyRunners {
		labels := fmt.Sprintf(`"a","r1-%d"`, i)
		r := newRunner(fmt.Sprintf("i-%d", i), labels, rec, c.store, done)
		r.away = crashAway
		defer r.close()
		runners = append(runners, r)
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		if _, err := c.start(name, c.store.Address()); err != nil {
			return false, err
		}
	}
	if _, err := c.ownerOf(); err != nil {
		return false, err
	}
	const id = "00000000000000f0"
	spec := "ms=30"
	if trouble {
		spec += " deadly"
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":1000}]}`, spec)
	if err := eventually("the submission is accepted", settledTimeout, func() bool {
		code, _ := c.call(c.nodes[0], "POST", "/q/"+id, "key-a", body, 3*time.Second)
		return code == 200
	}); err != nil {
		return false, err
	}
	rec.printf("client: POST %s %s -> 200", id, body)
	time.Sleep(75 * time.Second)
	_, answer := c.call(c.nodes[0], "GET", "/q/"+id, "key-a", "", 3*time.Second)
	rec.printf("client: GET %s -> %s", id, answer)
	starts, crashes := 0, 0
	for _, r := range runners {
		r.mu.Lock()
		for _, x := range r.starts {
			if strings.HasPrefix(x.task, id+".") {
				starts++
				if x.how == "crashed" {
					crashes++
				}
			}
		}
		r.mu.Unlock()
	}
	rec.printf("the task was started %d times; %d runners crashed under it", starts, crashes)
	return starts > allowedCrashes+allowedStarts, nil
}
