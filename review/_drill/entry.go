package main

import (
	"bytes"
	"encoding/json"
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
	"time"
)

// entry is one entry process, started with the command of deploy/system.toml and a
// settings file of the form of deploy/settings.toml.
type entry struct {
	name, file, log          string
	callers, status, control string
	cmd                      *exec.Cmd
	exited                   chan struct{}
}

var (
	startedMu sync.Mutex
	started   []*entry
)

// freeAddress returns a loopback address with a free port below the range from which
// the system takes the ports of outgoing connections, so that none of these takes it
// before the process that is to listen there, or while that is down.
func freeAddress() string {
	const low, high = 12000, 32000
	for range 200 {
		at := fmt.Sprintf("127.0.0.1:%d", low+rand.IntN(high-low))
		l, err := net.Listen("tcp", at)
		if err != nil {
			continue
		}
		l.Close()
		return at
	}
	fatal("no free port was found")
	return ""
}

func newEntry(dir, name, store, advice string) *entry {
	e := &entry{name: name, file: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"),
		callers: freeAddress(), status: freeAddress(), control: freeAddress()}
	content := fmt.Sprintf(`[node]
name = %q
zone = "z"

[listen]
callers = %q
status = %q
peers = %q

[platform]
store = %q
advice = %q

[bounds]
max_lease_ms = 10000
gang_timeout_ms = 3000
revoke_ms = 5000
config_apply_ms = 2000
grace_seconds = 6
status_seconds = 120

[limits]
memory_mib = 284
cores = 0.4
`, name, e.callers, e.status, e.control, store, advice)
	if err := os.WriteFile(e.file, []byte(content), 0o600); err != nil {
		fatal("%v", err)
	}
	e.start()
	return e
}

func (e *entry) start() {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	e.cmd = exec.Command("target/medlarpulley", "entry", "--config", e.file)
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		fatal("the entry process cannot be started: %v", err)
	}
	startedMu.Lock()
	started = append(started, e)
	startedMu.Unlock()
	exited := make(chan struct{})
	e.exited = exited
	cmd := e.cmd
	go func() { _ = cmd.Wait(); out.Close(); close(exited) }()
}

// kill ends the process with SIGKILL and waits until it has ended.
func (e *entry) kill() {
	_ = e.cmd.Process.Kill()
	<-e.exited
}

// endAll ends all processes that were started.
func endAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, e := range started {
		if e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			select {
			case <-e.exited:
			case <-time.After(5 * time.Second):
			}
		}
	}
}

// isReady asks the process as the platform does.
func (e *entry) isReady() bool {
	resp, err := client.Get("http://" + e.status + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// owns reports whether the process's log says that it is the owner.
func (e *entry) owns() bool {
	data, _ := os.ReadFile(e.log)
	return bytes.LastIndex(data, []byte("A term as owner begins")) > bytes.LastIndex(data, []byte("The term ends"))
}

var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends one client's request. Status 0 means that no complete answer came.
func (e *entry) call(method, path, body string) (status int, answer string) {
	return e.callAs("key-a", method, path, body)
}

func (e *entry) callAs(apiKey, method, path, body string) (status int, answer string) {
	q, err := http.NewRequest(method, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = "h.example"
	q.Header.Set("Authorization", "Token "+apiKey)
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Medlarpulley-Deadline-Ms", "3000")
	resp, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// state asks for the state of a submission.
func (e *entry) state(path string) string { return e.stateAs("key-a", path) }

func (e *entry) stateAs(apiKey, path string) string {
	status, answer := e.callAs(apiKey, http.MethodGet, path, "")
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var a struct{ State string }
	if json.Unmarshal([]byte(answer), &a) != nil {
		return "?"
	}
	return a.State
}
