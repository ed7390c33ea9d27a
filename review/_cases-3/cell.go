package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

const (
	program        = "target/medlarpulley"
	startTimeout   = 20 * time.Second
	settledTimeout = 30 * time.Second
	// memoryMiB is the memory of a machine of the site.
	memoryMiB = 284
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &recorder{file: f, start: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cell is the entry processes with the stand-ins of the users.
type cell struct {
	rec    *recorder
	dir    string
	store  *users.Store
	advice *users.Advice
	hosts  []*users.Host
	nodes  []*entry
}

// entry is one entry process.
type entry struct {
	name, settings, address, status string
	cmd                             *exec.Cmd
	exited                          chan struct{}
	owner                           chan struct{}
	log                             *os.File
}

func newCell(rec *recorder, hosts int, runDuration time.Duration) (*cell, error) {
	dir, err := os.MkdirTemp("", "cases-3-")
	if err != nil {
		return nil, err
	}
	c := &cell{rec: rec, dir: dir, store: users.NewStore(), advice: users.NewAdvice(2 * time.Millisecond)}
	for i := range hosts {
		c.hosts = append(c.hosts, users.NewHost(fmt.Sprintf("i-%d", i), runDuration, c.store))
	}
	return c, nil
}

func (c *cell) close() {
	for _, n := range c.nodes {
		_ = n.cmd.Process.Kill() // it may have ended
		<-n.exited
	}
	for _, h := range c.hosts {
		h.Close()
	}
	c.advice.Close()
	c.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println(c.dir)
	}
}

var servingLine = regexp.MustCompile(`The process serves.*callers=(\S+) status=(\S+)`)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start starts an entry process as the deploy file does. store is the address of the store, or of a
// proxy before it.
func (c *cell) start(name, store string) (*entry, error) {
	settings := filepath.Join(c.dir, name+".toml")
	content := fmt.Sprintf("[node]\nname = %q\nzone = \"z\"\n\n[listen]\ncallers = %q\nstatus = %q\npeers = %q\n\n"+
		"[platform]\nstore = %q\nadvice = %q\n\n[bounds]\nmax_lease_ms = 10000\ngang_timeout_ms = 3000\nrevoke_ms = 5000\n"+
		"config_apply_ms = 2000\ncancel_ms = 3000\ngrace_seconds = 6\nstatus_seconds = 120\n\n[limits]\nmemory_mib = %d\ncores = 0.4\nmax_fds = 4200\n",
		name, freeAddress(), freeAddress(), freeAddress(), store, c.advice.Address(), memoryMiB)
	if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
		return nil, err
	}
	return c.run(name, settings)
}

// restart starts a process again that has ended.
func (c *cell) restart(n *entry) (*entry, error) {
	c.nodes = slices.DeleteFunc(c.nodes, func(o *entry) bool { return o == n })
	return c.run(n.name, n.settings)
}

func (c *cell) run(name, settings string) (*entry, error) {
	var err error
	n := &entry{name: name, settings: settings, cmd: exec.Command(program, "entry"), exited: make(chan struct{}), owner: make(chan struct{})}
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "MEDLARPULLEY_CONFIG=" + settings}
	out, err := n.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if n.log, err = os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	if err := onOneCore(len(c.nodes), n.cmd.Start); err != nil {
		return nil, err
	}
	c.nodes = append(c.nodes, n)
	serving := make(chan []string, 1)
	go n.follow(out, serving)
	select {
	case m := <-serving:
		n.address, n.status = m[1], m[2]
		c.rec.printf("process %s serves", name)
		return n, nil
	case <-n.exited:
		return nil, fmt.Errorf("process %s has ended", name)
	case <-time.After(startTimeout):
		return nil, fmt.Errorf("process %s does not serve", name)
	}
}

// follow reads the log of the process.
func (n *entry) follow(out io.Reader, serving chan<- []string) {
	defer close(n.exited)
	var rest []byte
	buf := make([]byte, 64<<10)
	var once sync.Once
	for {
		k, err := out.Read(buf)
		_, _ = n.log.Write(buf[:k])
		rest = append(rest, buf[:k]...)
		for {
			i := bytes.IndexByte(rest, '\n')
			if i < 0 {
				break
			}
			line := string(rest[:i])
			rest = rest[i+1:]
			if m := servingLine.FindStringSubmatch(line); m != nil {
				serving <- m
			}
			if strings.Contains(line, "A term as owner begins") {
				once.Do(func() { close(n.owner) })
			}
		}
		if err != nil {
			break
		}
	}
	_ = n.cmd.Wait() // it may have been killed
}

// ownerOf waits until a process owns the cell, and returns it.
func (c *cell) ownerOf() (*entry, error) {
	for end := time.Now().Add(settledTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range c.nodes {
			select {
			case <-n.owner:
				return n, nil
			default:
			}
		}
	}
	return nil, fmt.Errorf("no process owns the cell")
}

// call sends a request of a client. Status 0 means no answer within the time.
func (c *cell) call(n *entry, method, path, key, body string, timeout time.Duration) (int, string) {
	r, err := http.NewRequest(method, "http://"+n.address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h.example"
	r.Close = true
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Medlarpulley-Deadline-Ms", "3000")
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, "no answer"
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "broken answer"
	}
	return resp.StatusCode, string(data)
}

// eventually waits for a condition.
func eventually(what string, d time.Duration, ok func() bool) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", d, what)
}

// starts returns the starts of the tasks of a submission, on all hosts.
func (c *cell) starts(id string) (list []users.RunRecord) {
	for _, h := range c.hosts {
		for _, r := range h.History() {
			if strings.HasPrefix(r.Task, id+".") {
				list = append(list, r)
			}
		}
	}
	return list
}
