package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const lastingRunners = 4

// playLasting hands in a service with tasks that last, one on each server, and tasks that fill beside it.
func playLasting(rec *recorder, trouble bool) (broken bool, err error) {
	c, err := newCell(rec, 0, 0)
	if err != nil {
		return false, err
	}
	defer c.close()
	done := make(chan struct{})
	defer close(done)
	c.store.Put("keyed.op", "config", []byte(config))
	var runners []*runner
	for i := range lastingRunners {
		r := newRunner(fmt.Sprintf("i-%d", i), fmt.Sprintf(`"a","r1-%d"`, i), rec, c.store, done)
		r.disturbs = trouble
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
	serves := fmt.Sprintf(`{"spec":"serves","steps":[{"count":%d,"cpu":1000,"memMb":512,"perpetual":true,"antiAffinity":1,"image":"web","targetMs":50}]}`, lastingRunners)
	fills := `{"spec":"fills","steps":[{"count":4,"cpu":500,"memMb":256,"perpetual":true,"fills":true,"antiAffinity":1,"image":"batch"}]}`
	if err := eventually("the service is accepted", settledTimeout, func() bool {
		code, _ := c.call(c.nodes[0], "POST", "/q/00000000000000e0", "key-a", serves, 3*time.Second)
		return code == 200
	}); err != nil {
		return false, err
	}
	rec.printf("client: POST 00000000000000e0 %s -> 200", serves)
	time.Sleep(5 * time.Second)
	code, answer := c.call(c.nodes[0], "POST", "/q/00000000000000e1", "key-a", fills, 3*time.Second)
	rec.printf("client: POST 00000000000000e1 %s -> %d %s", fills, code, answer)
	time.Sleep(45 * time.Second)
	end := time.Now()
	var rows []startRow
	for _, r := range runners {
		r.mu.Lock()
		rows = append(rows, r.starts...)
		r.mu.Unlock()
	}
	slices.SortFunc(rows, func(a, b startRow) int { return a.started.Compare(b.started) })
	last := map[string]time.Time{}
	for _, x := range rows {
		if !strings.HasPrefix(x.task, "00000000000000e1.") {
			continue
		}
		if t, ok := last[x.task]; ok {
			broken = judgeAway(rec, x.task, t, x.started) || broken
		}
		last[x.task] = x.ended
	}
	for task, t := range last {
		if !t.IsZero() {
			broken = judgeAway(rec, task, t, end) || broken
		}
	}
	return broken, nil
}

// judgeAway reports whether a task that lasts was away for too long: 6 s after its last run, and 3 s more.
func judgeAway(rec *recorder, task string, from, to time.Time) bool {
	rec.printf("%s was away for %.3f s", task, to.Sub(from).Seconds())
	return to.Sub(from) > 9*time.Second
}
