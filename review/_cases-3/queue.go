package main

import (
	"fmt"
	"strings"
	"time"
)

// playQueue hands work in, has the operator replace the queue by one with the same host and path, and asks
// for the state of the work.
func playQueue(rec *recorder, trouble bool) (broken bool, err error) {
	c, err := newCell(rec, 4, cancelledWork)
	if err != nil {
		return false, err
	}
	defer c.close()
	c.store.Put("keyed.op", "config", []byte(config))
	for _, name := range []string{"n1", "n2", "n3"} {
		if _, err := c.start(name, c.store.Address()); err != nil {
			return false, err
		}
	}
	if _, err := c.ownerOf(); err != nil {
		return false, err
	}
	var ids []string
	for i := range 4 {
		id := fmt.Sprintf("%016x", 0xc0+i)
		ids = append(ids, id)
		if err := eventually("a submission is accepted", settledTimeout, func() bool {
			code, _ := c.call(c.nodes[i%3], "POST", "/q/"+id, "key-a", chain(7), 3*time.Second)
			return code == 200
		}); err != nil {
			return false, err
		}
		rec.printf("client: POST %s -> 200", id)
	}
	time.Sleep(4 * time.Second) // longer than visible_ms
	next := strings.Replace(config, `"version":1`, `"version":2`, 1)
	if trouble {
		next = strings.Replace(next, `"name":"r-a"`, `"name":"r-b"`, 1)
	} else {
		next = strings.Replace(next, `"timeoutMs":3000`, `"timeoutMs":2900`, 1)
	}
	rec.printf("operator: the desired state is now %s", next)
	c.store.Put("keyed.op", "config", []byte(next))
	time.Sleep(4 * time.Second) // longer than configApplyMs
	for i, id := range ids {
		for _, n := range c.nodes {
			code, answer := c.call(n, "GET", "/q/"+id, "key-a", "", 3*time.Second)
			rec.printf("client: GET %s at %s -> %d %s", id, n.name, code, answer)
			broken = broken || code == 410
		}
		if i == 0 {
			code, answer := c.call(c.nodes[0], "POST", "/q/"+id, "key-a", chain(7), 3*time.Second)
			rec.printf("client: POST %s at n1 once more -> %d %s", id, code, answer)
		}
	}
	code, answer := c.call(c.nodes[0], "DELETE", "/q/"+ids[3], "key-a", "", 3*time.Second)
	at := time.Now()
	rec.printf("client: DELETE %s at n1 -> %d %s", ids[3], code, answer)
	time.Sleep(10 * time.Second)
	for _, r := range c.starts(ids[3]) {
		after := r.StartedAt.Sub(at)
		rec.printf("server: %s run %d started %.3f s after the answer to the cancelling, ended %q", r.Task, r.Run, after.Seconds(), r.Outcome)
		broken = broken || after > cancelBound
	}
	return broken, nil
}
