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

// settingsVariable holds the settings of an entry node in JSON; the test binary
// is that entry node if it is set.
const settingsVariable = "FAULTMATRIX_SETTINGS"

// stopWait bounds the wait for the end of a process after its signal.
const stopWait = 30 * time.Second

func TestMain(m *testing.M) {
	if raw := os.Getenv(settingsVariable); raw != "" {
		os.Exit(serve(raw))
	}
	os.Exit(m.Run())
}

// serve is one entry node. It ends with its standard input, so that it never
// outlives the test.
func serve(raw string) int {
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

// process is one entry node, which may be started again after its end.
type process struct {
	name, zone string
	settings   settings.Settings
	// logGate is between the process and the log.
	logGate *gate
	// race is true once a process has reported a data race.
	race atomic.Bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	stdin   io.Closer
	address string
	ended   chan struct{}
}

// Write implements io.Writer for the standard error of the process.
func (p *process) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("DATA RACE")) {
		p.race.Store(true)
	}
	return os.Stderr.Write(b)
}

// start starts the process unless it runs, and returns when it listens.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return nil
	}
	raw, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), settingsVariable+"="+string(raw), "GOMAXPROCS=2")
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
	ended := make(chan struct{})
	go func() { defer close(ended); _ = cmd.Wait() }()
	p.cmd, p.stdin, p.ended = cmd, stdin, ended
	p.address = strings.TrimSpace(line)
	return err
}

// runs reports whether the process has not ended. The lock is held.
func (p *process) runs() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs()
}

// url returns the address of the process for callers.
func (p *process) url() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// signal sends a signal if the process has not ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		_ = p.cmd.Process.Signal(s)
	}
}

// stop ends the process with a signal; it is killed if that takes too long.
func (p *process) stop(s syscall.Signal) {
	p.signal(s)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(stopWait):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}
