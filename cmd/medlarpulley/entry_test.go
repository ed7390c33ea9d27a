package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

// entryProcess is an entry process of a cell. It runs on the stand-in for the
// users' platform.
type entryProcess struct {
	cmd *exec.Cmd
	// address serves callers, status serves operators; both are HOST:PORT.
	address, status string
	// becameOwner is closed when the process first owns the cell.
	becameOwner chan struct{}
}

var servingLogLine = regexp.MustCompile(`The process serves.*callers=(\S+) status=(\S+)`)

// startEntry starts a process with the given tables of settings besides the ordinary ones.
func startEntry(t *testing.T, name string, store *users.Store, advice *users.Advice, more ...string) *entryProcess {
	t.Helper()
	file := filepath.Join(t.TempDir(), name+".toml")
	content := fmt.Sprintf("[node]\nname = %q\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:0\"\nstatus = \"127.0.0.1:0\"\n"+
		"peers = \"127.0.0.1:0\"\n[platform]\nstore = %q\nadvice = %q\n", name, store.Address(), advice.Address()) + strings.Join(more, "")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &entryProcess{cmd: exec.Command(binary, "entry", "-c", file), becameOwner: make(chan struct{})}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		_ = p.cmd.Wait()
	})
	serving := make(chan []string, 1)
	go func() {
		var once sync.Once
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if m := servingLogLine.FindStringSubmatch(lines.Text()); m != nil {
				serving <- m
			}
			if strings.Contains(lines.Text(), "A term as owner begins") {
				once.Do(func() { close(p.becameOwner) })
			}
		}
	}()
	select {
	case m := <-serving:
		p.address, p.status = m[1], m[2]
	case <-time.After(20 * time.Second):
		t.Fatal("the process did not start to serve within 20 s")
	}
	return p
}

// call sends a caller's request about a submission and returns the status and the
// first bytes of the body; status 0 means that there was no response.
func (p *entryProcess) call(method, id, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+p.address+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h.example"
	r.Header.Set("Authorization", "Token key-a")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data := make([]byte, 200)
	n, _ := resp.Body.Read(data) // a single read returns the whole of a short response
	return resp.StatusCode, string(data[:n])
}

// waitUntil fails the test unless ok returns true within 40 s; what names the
// condition.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within 40 s: %s", what)
}

// startHosts starts n hosts that the store lists.
func startHosts(t *testing.T, n int, runDuration time.Duration, store *users.Store) (hosts []*users.Host) {
	t.Helper()
	for i := range n {
		h := users.NewHost(fmt.Sprintf("i-%d", i), runDuration, store)
		t.Cleanup(h.Close)
		hosts = append(hosts, h)
	}
	return hosts
}

// startEntries starts the entry processes n1, n2 and n3.
func startEntries(t *testing.T, store *users.Store, advice *users.Advice) map[string]*entryProcess {
	t.Helper()
	procs := map[string]*entryProcess{}
	for _, name := range []string{"n1", "n2", "n3"} {
		procs[name] = startEntry(t, name, store, advice)
	}
	return procs
}

// Guards against tasks that are lost or run twice at once when the owner of the
// cell is killed after the log has dropped its history, and against a submission
// whose result no node can report.
func TestCellRecoversFromOwnerKill(t *testing.T) {
	store := users.NewStore()
	defer store.Close()
	advice := users.NewAdvice(2 * time.Millisecond)
	defer advice.Close()
	store.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s",`+
		`"maxAttempts":3,"stretch":2,"targetLatencyMs":1000,"advice":{"decisionMs":2,"perWorkerMs":0,"validityMs":2500}}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100}]}`))
	hosts := startHosts(t, 4, 300*time.Millisecond, store)
	procs := startEntries(t, store, advice)
	var owner string
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
	const jobs = 30
	body := `{"spec":"x","steps":[{"count":2,"cpu":1000,"memMb":10,"estimateMs":300},{"count":3,"cpu":1000,"memMb":10,"estimateMs":300,"gang":true,"after":[0]}]}`
	id := func(i int) string { return fmt.Sprintf("%016x", i+1) }
	for i := range jobs {
		waitUntil(t, "submission is accepted", func() bool { code, _ := procs["n2"].call("POST", id(i), body); return code == 200 })
	}
	store.TrimHistory("keyed.medlarpulley")
	if err := procs[owner].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	delete(procs, owner)
	for _, p := range procs {
		for i := range jobs {
			waitUntil(t, "submission is completed", func() bool { _, s := p.call("GET", id(i), ""); return strings.Contains(s, "completed") })
		}
		if code, _ := p.call("GET", id(jobs), ""); code != http.StatusGone {
			t.Errorf("an unknown submission: status %d, want 410", code)
		}
		break
	}
	checkNoOverlappingRuns(t, hosts)
	for name, p := range procs {
		p.checkStatus(t, name, id(0))
	}
}

// checkStatus fails if the operators' endpoints do not show the state of a
// process.
func (p *entryProcess) checkStatus(t *testing.T, name, id string) {
	t.Helper()
	for path, want := range map[string]string{
		"/ready": "", "/dump": `"name":"` + name + `"`, "/explain/" + id: `"state":"completed"`, "/metrics": "medlarpulley_answers",
	} {
		// Counters reach the metrics endpoint once a second.
		waitUntil(t, name+path+" shows "+want, func() bool {
			if code, _ := p.call("GET", id, ""); code != http.StatusOK {
				return false
			}
			resp, err := http.Get("http://" + p.status + path)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			return err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(data), want)
		})
	}
}

// checkNoOverlappingRuns fails if two runs of a task overlap in time.
func checkNoOverlappingRuns(t *testing.T, hosts []*users.Host) {
	t.Helper()
	runs := map[string][]users.RunRecord{}
	for _, h := range hosts {
		for _, r := range h.History() {
			if r.EndedAt.IsZero() {
				r.EndedAt = time.Now()
			}
			runs[r.Task] = append(runs[r.Task], r)
		}
	}
	for task, list := range runs {
		for i, a := range list {
			for _, b := range list[:i] {
				if a.StartedAt.Before(b.EndedAt) && b.StartedAt.Before(a.EndedAt) {
					t.Errorf("task %s: runs %d and %d overlap in time", task, b.Run, a.Run)
				}
			}
		}
	}
}
