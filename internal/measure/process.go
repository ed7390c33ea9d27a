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
	// startLimit bounds the start of an entry node.
	startLimit = time.Minute
	// ticksPerSecond is the unit of processor time in /proc on Linux.
	ticksPerSecond = 100
)

// process is one entry node in a process of its own.
type process struct {
	name, zone, config string
	address            string
	cmd                *exec.Cmd
	serving            chan string
	done               chan struct{}
	// rebuild is the time from the start to serving.
	rebuild time.Duration
}

// newProcess writes the settings of an entry node.
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

// start starts the process; await waits until it serves.
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
		p.follow(out, serving, began)
		_ = p.cmd.Wait()
	}()
	return nil
}

// follow reads the log lines until the process ends.
func (p *process) follow(out io.Reader, serving chan<- string, began time.Time) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var line struct {
			Msg  string `json:"msg"`
			HTTP string `json:"http"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.HTTP != "" && strings.HasSuffix(line.Msg, "Serving.") {
			p.rebuild = time.Since(began)
			serving <- line.HTTP
			break
		}
	}
	_, _ = io.Copy(io.Discard, out)
}

// await waits until the process serves.
func (p *process) await() error {
	timer := time.NewTimer(startLimit)
	defer timer.Stop()
	select {
	case p.address = <-p.serving:
		return nil
	case <-p.done:
		return eris.Errorf("%s ended before it served", p.name)
	case <-timer.C:
		return eris.Errorf("%s does not serve after %s", p.name, startLimit)
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// usage is what the operating system counted for a process.
type usage struct {
	cpu time.Duration
	// memory and peak are resident bytes.
	memory, peak int64
}

// usage reads the counters of the process; zero if it has ended.
func (p *process) usage() (u usage) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u
	}
	// The second field holds the name in parentheses and may contain spaces.
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
