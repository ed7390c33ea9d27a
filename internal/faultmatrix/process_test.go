package faultmatrix

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/node"
	"github.com/medlarpulley/medlarpulley/internal/settings"
)

// settingsEnv is the environment variable that holds the settings of an entry
// node in JSON. If it is set, the test binary runs as that entry node.
const settingsEnv = "FAULTMATRIX_SETTINGS"

// stopTimeout limits the wait until a process has exited after a signal.
const stopTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	if raw := os.Getenv(settingsEnv); raw != "" {
		os.Exit(runEntryNode(raw))
	}
	os.Exit(m.Run())
}

// runEntryNode runs one entry node and returns its exit code. The process exits
// when its standard input is closed, so that it never outlives the test.
func runEntryNode(raw string) int {
	var s settings.Settings
	if err := json.Unmarshal([]byte(raw), &s); err != nil {
		return 2
	}
	var logs io.Writer = io.Discard
	if os.Getenv("CLUSTER_LOG") != "" {
		logs = os.Stderr
	}
	n, err := node.New(s, slog.New(slog.NewTextHandler(logs, nil)).With("node", s.Node.Name))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(3)
	}()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	fmt.Println(n.HTTPAddress())
	if err := n.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// process is one entry node in a separate process. It can be started again
// after it has exited.
type process struct {
	name, zone string
	settings   settings.Settings
	// logProxy forwards the requests of the process to the log.
	logProxy *logProxy
	// raceDetected is true once the race detector has reported a data race.
	raceDetected atomic.Bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	stdin   io.Closer
	address string
	exited  chan struct{}
}

// Write implements io.Writer. It receives the standard error of the process and
// looks for reports of the race detector.
func (p *process) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("DATA RACE")) {
		p.raceDetected.Store(true)
	}
	return os.Stderr.Write(b)
}

// start starts the process unless it is running, and returns when it listens.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runningLocked() {
		return nil
	}
	raw, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), settingsEnv+"="+string(raw), "GOMAXPROCS=2")
	cmd.Stderr = p
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	line, err := bufio.NewReader(stdout).ReadString('\n')
	exited := make(chan struct{})
	go func() { defer close(exited); _ = cmd.Wait() }()
	p.cmd, p.stdin, p.exited = cmd, stdin, exited
	p.address = strings.TrimSpace(line)
	return err
}

// runningLocked reports whether the process is running. The caller holds p.mu.
func (p *process) runningLocked() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// alive reports whether the process is running.
func (p *process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runningLocked()
}

// httpAddress returns the HTTP address that callers use.
func (p *process) httpAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// signal sends a signal if the process is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runningLocked() {
		_ = p.cmd.Process.Signal(s)
	}
}

// stop sends a signal and waits until the process has exited. It kills the
// process after stopTimeout.
func (p *process) stop(s syscall.Signal) {
	p.signal(s)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}
