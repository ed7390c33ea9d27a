package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// world is a small deployment: entry processes, the platform and runners.
type world struct {
	trouble bool
	dir     string
	store   platformStore
	advice  *users.Advice
	hosts   []*host
	entries []*entry
	began   time.Time

	// statusSeconds is for how long the states of ended submissions are to be shown.
	statusSeconds int
	// storeAddress is where an entry process, by its number, reaches the store.
	storeAddress func(i int) string
	// outcomeOf tells how a run of a task ends by itself.
	outcomeOf func(task string) outcome
	// onStart is called when a runner has started a run.
	onStart func(h *host, task string)
	// holdBack tells for how long the network holds a call back; zero for not at all.
	holdBack func(h *host, path string, c call) time.Duration

	// closing is set once no process may be started any more.
	closing atomic.Bool

	mu     sync.Mutex
	out    *bufio.Writer
	quiet  bool // runs are counted, and not recorded one by one
	runs   []*runRecord
	byKey  map[string]*runRecord
	byTask map[string][]*runRecord
}

// platformStore is a stand-in for the platform's log.
type platformStore interface {
	Address() string
	Put(topic, key string, value []byte)
}

// runRecord is what was seen of one run.
type runRecord struct {
	host, task, spec    string
	run                 int64
	start, end, ackedAt time.Duration
	how                 string
}

func (w *world) now() time.Duration { return time.Since(w.began) }

func (w *world) record(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f %s\n", w.now().Seconds(), fmt.Sprintf(format, a...))
	_ = w.out.Flush()
}

func (w *world) started(host string, c call) {
	if !w.quiet {
		w.record("runner %s starts %s run %d spec %q", host, c.Task, c.Run, c.Spec)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &runRecord{host: host, task: c.Task, spec: c.Spec, run: c.Run, start: w.now()}
	w.runs = append(w.runs, r)
	w.byKey[fmt.Sprint(host, c.Task, c.Run)] = r
	w.byTask[c.Task] = append(w.byTask[c.Task], r)
}

func (w *world) ended(host, task string, run int64, how string) {
	if !w.quiet {
		w.record("on runner %s %s run %d has ended: %s", host, task, run, how)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.byKey[fmt.Sprint(host, task, run)]; r != nil {
		r.end, r.how = w.now(), how
	}
}

func (w *world) acked(host, task string, run int64, how string) {
	if !w.quiet {
		w.record("runner %s: the end of %s run %d (%s) is taken note of", host, task, run, how)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.byKey[fmt.Sprint(host, task, run)]; r != nil {
		r.ackedAt = w.now()
	}
}

// runsOf returns copies of the records of the runs of a task.
func (w *world) runsOf(task string) (out []runRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.byTask[task] {
		out = append(out, *r)
	}
	return out
}

// cannotRun ends the case, since it cannot be carried out.
func (w *world) cannotRun(format string, a ...any) {
	w.record("the case cannot run: "+format, a...)
	w.close()
	os.Exit(exitNoRun)
}

// finish ends the case with its result.
func (w *world) finish(broken bool, format string, a ...any) {
	w.record(format, a...)
	w.close()
	if broken {
		w.record("RESULT: the rule was broken")
		os.Exit(exitBroken)
	}
	w.record("RESULT: the rule held")
	os.Exit(exitHeld)
}

func (w *world) close() {
	w.closing.Store(true)
	for _, e := range w.entries {
		e.kill()
	}
	_ = os.RemoveAll(w.dir)
}

func newWorld(recordFile string, trouble bool) *world {
	f, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	}
	w := &world{trouble: trouble, began: time.Now(), out: bufio.NewWriter(f), byKey: map[string]*runRecord{}, byTask: map[string][]*runRecord{},
		outcomeOf: func(string) outcome { return outcome{time.Second, "done"} },
		onStart:   func(*host, string) {},
		holdBack:  func(*host, string, call) time.Duration { return 0 }}
	if w.dir, err = os.MkdirTemp("", "case"); err != nil {
		w.cannotRun("temporary folder: %v", err)
	}
	w.store = users.NewStore()
	w.statusSeconds = 120
	w.storeAddress = func(int) string { return w.store.Address() }
	w.advice = users.NewAdvice(2 * time.Millisecond)
	w.record("trouble: %t", trouble)
	return w
}

// publish publishes a desired state with one queue for each path prefix and team.
func (w *world) publish(version int) {
	w.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[`+
		`{"name":"batch","host":"h.example","pathPrefix":"/batch/","service":"s","priority":2,"maxAttempts":3,"stretch":4,"targetLatencyMs":3000,"timeoutMs":3000},`+
		`{"name":"urgent","host":"h.example","pathPrefix":"/urgent/","service":"s","priority":0,"maxAttempts":3,"stretch":2,"targetLatencyMs":250,"timeoutMs":3000}],`+
		`"services":[{"name":"s"}],"limits":{"maxBodyBytes":262144},`+
		`"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100,"cap":{"cpu":384000,"memMb":1572864,"gpu":0}},`+
		`{"name":"b","apiKeys":["key-b"],"weight":100,"cap":{"cpu":384000,"memMb":1572864,"gpu":0}}]}`, version))
}

func (w *world) startHosts(n int) {
	for i := range n {
		w.hosts = append(w.hosts, newHost(w, fmt.Sprintf("r%02d", i), fmt.Sprintf("r1-%d", i/6)))
	}
}

// entry is an entry process, started with the command of the deploy file.
type entry struct {
	name, file, callers, status string
	cmd                         *exec.Cmd
	exited                      chan struct{}
	// life is held while the process is started or killed.
	life  sync.Mutex
	mu    sync.Mutex
	terms int
	log   []string
}

// freeAddress returns a free address on a loopback address of its own, so that no connection
// or other listener takes it before the process listens there.
func freeAddress(w *world) string {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		w.cannotRun("listen: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startEntries starts n entry processes with settings as deploy/settings.toml gives them for
// a small deployment.
func (w *world) startEntries(n int) {
	for i := range n {
		e := &entry{name: fmt.Sprintf("frontend-z-%d", i+1), callers: freeAddress(w), status: freeAddress(w)}
		e.file = filepath.Join(w.dir, e.name+".toml")
		content := fmt.Sprintf("[node]\nname = %q\nzone = \"z\"\n\n[listen]\ncallers = %q\nstatus = %q\npeers = %q\n\n[platform]\nstore = %q\nadvice = %q\n\n"+
			"[bounds]\nmax_lease_ms = 10000\ngang_timeout_ms = 3000\nrevoke_ms = 5000\nconfig_apply_ms = 2000\ngrace_seconds = 6\nstatus_seconds = %d\n\n"+
			"[limits]\nmemory_mib = 284\ncores = 0.4\n", e.name, e.callers, e.status, freeAddress(w), w.storeAddress(i), w.advice.Address(), w.statusSeconds)
		if err := os.WriteFile(e.file, []byte(content), 0o600); err != nil {
			w.cannotRun("settings: %v", err)
		}
		w.entries = append(w.entries, e)
		e.start(w)
	}
	for _, e := range w.entries {
		e.waitReady(w)
	}
}

func (e *entry) start(w *world) {
	e.life.Lock()
	defer e.life.Unlock()
	if w.closing.Load() {
		return
	}
	e.cmd = exec.Command("target/medlarpulley", "entry")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MEDLARPULLEY_CONFIG=" + e.file}
	pipe, err := e.cmd.StderrPipe()
	if err != nil {
		w.cannotRun("pipe: %v", err)
	}
	if err := e.cmd.Start(); err != nil {
		w.cannotRun("start of the built program: %v", err)
	}
	w.record("entry process %s is started", e.name)
	e.exited = make(chan struct{})
	cmd, exited := e.cmd, e.exited
	go func() {
		lines := bufio.NewScanner(pipe)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			line := lines.Text()
			e.mu.Lock()
			e.log = append(e.log, line)
			if strings.Contains(line, "A term as owner begins") {
				e.terms++
			}
			e.mu.Unlock()
			if strings.Contains(line, "term as owner begins") || strings.Contains(line, "The term ends") || strings.Contains(line, "No decision has ended") ||
				strings.Contains(line, "cannot be stored and is left out") || strings.Contains(line, "panic") {
				w.record("log of %s: %.300s", e.name, line)
			}
		}
		_, _ = io.Copy(io.Discard, pipe)
		err := cmd.Wait()
		w.record("entry process %s has exited: %v", e.name, err)
		close(exited)
	}()
}

func (e *entry) waitReady(w *world) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.status + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	w.cannotRun("entry process %s is not ready within 20 s", e.name)
}

func (e *entry) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// kill ends the process and waits for it.
func (e *entry) kill() {
	e.life.Lock()
	defer e.life.Unlock()
	select {
	case <-e.exited:
		return
	default:
	}
	e.signal(syscall.SIGKILL)
	<-e.exited
}

// terms returns how many terms as owner a process has begun.
func (e *entry) termCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.terms
}

// owner returns the entry process whose status says that it owns the cell, nil if none.
func (w *world) owner() *entry {
	for _, e := range w.entries {
		resp, err := http.Get("http://" + e.status + "/dump")
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if strings.Contains(string(data), `"authority_holds":true`) {
			return e
		}
	}
	return nil
}

func (w *world) waitOwner() *entry {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if e := w.owner(); e != nil {
			w.record("%s owns the cell", e.name)
			return e
		}
	}
	w.cannotRun("no entry process owns the cell within 20 s")
	return nil
}

var client = &http.Client{Timeout: 4 * time.Second}

// send sends a client's call to an entry process; status 0 means no answer.
func (w *world) send(e *entry, method, path, key, body string) (status int, answer string) {
	r, err := http.NewRequest(method, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		w.cannotRun("request: %v", err)
	}
	r.Host = "h.example"
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Medlarpulley-Deadline-Ms", "3000")
	resp, err := client.Do(r)
	if err != nil {
		w.record("client: %s %s to %s: no answer: %v", method, path, e.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	w.record("client: %s %s to %s %.200s -> %d %s", method, path, e.name, body, resp.StatusCode, data)
	return resp.StatusCode, string(data)
}

// submit hands a submission in, and repeats it at other entry processes until it is accepted.
func (w *world) submit(path, key, body string) {
	for i := range 10 {
		status, _ := w.send(w.entries[i%len(w.entries)], http.MethodPost, path, key, body)
		if status/100 == 2 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.cannotRun("the submission %s is not accepted", path)
}
