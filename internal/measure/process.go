package measure

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/devcluster"
)

const (
	operatorToken = "measure-operator-token"
	// startTimeout limits the time until an entry node serves.
	startTimeout = time.Minute
	// ticksPerSecond is the number of clock ticks per second, the unit of CPU time
	// in /proc on Linux.
	ticksPerSecond = 100
)

// process is one entry node that runs in its own process.
type process struct {
	name, zone, config string
	address            string
	cmd                *exec.Cmd
	serving            chan string
	done               chan struct{}
	// startDuration is the time from the start of the process until it served.
	startDuration time.Duration
}

// newProcess writes the settings file of entry node number i. It does not start
// the process.
func newProcess(dir string, c *devcluster.Cluster, o Options, i int, zone string, shardsPerZone int) (*process, error) {
	p := &process{name: fmt.Sprintf("entry-%d", i+1), zone: zone}
	p.config = filepath.Join(dir, p.name+".toml")
	settings := fmt.Sprintf(`[node]
name = %q
zone = %q
region = "region-1"
[listen]
http = "127.0.0.1:0"
peer = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[platform]
log_url = %q
hostlist_url = %q
[cluster]
nodes = %d
shards_per_zone = %d
[operator]
token = %q
[log]
format = "json"
`, p.name, zone, c.LogURL(), c.HostListURL(), o.Nodes, shardsPerZone, operatorToken)
	return p, eris.Wrap(os.WriteFile(p.config, []byte(settings), 0o600), "settings of "+p.name)
}

// start starts the process without waiting; awaitServing waits until it serves.
func (p *process) start(binary string) error {
	p.cmd = exec.Command(binary, "serve", "--config", p.config)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return eris.Wrap(err, p.name)
	}
	began := time.Now()
	if err := p.cmd.Start(); err != nil {
		return eris.Wrap(err, p.name)
	}
	serving, done := make(chan string, 1), make(chan struct{})
	p.serving, p.done = serving, done
	go func() {
		defer close(done)
		p.readLog(out, serving, began)
		_ = p.cmd.Wait()
	}()
	return nil
}

// readLog reads the log lines of the process until the line that says that it
// serves, sends its HTTP address to serving, and discards the rest of the log.
func (p *process) readLog(out io.Reader, serving chan<- string, began time.Time) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var line struct {
			Msg  string `json:"msg"`
			HTTP string `json:"http"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.HTTP != "" && strings.HasSuffix(line.Msg, "Serving.") {
			p.startDuration = time.Since(began)
			serving <- line.HTTP
			break
		}
	}
	_, _ = io.Copy(io.Discard, out)
}

// awaitServing waits until the process serves and stores its HTTP address.
func (p *process) awaitServing() error {
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case p.address = <-p.serving:
		return nil
	case <-p.done:
		return eris.Errorf("%s exited before it served", p.name)
	case <-timer.C:
		return eris.Errorf("%s did not serve within %s", p.name, startTimeout)
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// usage is the resource usage of a process as counted by the operating system.
type usage struct {
	cpu time.Duration
	// memory and peak are the current and the highest resident set size in bytes.
	memory, peak int64
}

// usage returns the resource usage of the process, or zero values if it has exited.
func (p *process) usage() (u usage) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u
	}
	// The second field is the name in parentheses, which may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	u.cpu = time.Duration(user+system) * time.Second / ticksPerSecond
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u
	}
	for _, line := range strings.Split(string(status), "\n") {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			u.memory = kilobytes << 10
		}
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			u.peak = kilobytes << 10
		}
	}
	return u
}
