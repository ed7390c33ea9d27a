package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega/gexec"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	var err error
	if binary, err = gexec.Build("github.com/medlarpulley/medlarpulley/cmd/medlarpulley"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	gexec.CleanupBuildArtifacts()
	os.Exit(code)
}

// process is a running entry node.
type process struct {
	name, file string
	cmd        *exec.Cmd
	// address serves HTTP; it is known once the process serves.
	address string
	lines   []string
	exited  chan struct{}
	// listening is closed with the first line of log, serving gets the address.
	listening chan struct{}
	serving   chan string
}

// newProcess writes the settings of a process.
func newProcess(t *testing.T, name, zone, logURL, listURL string) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), name+".toml")
	content := fmt.Sprintf("[node]\nname = %q\nzone = %q\nregion = \"region-1\"\n"+
		"[listen]\nhttp = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n"+
		"[platform]\nlog_url = %q\nhostlist_url = %q\n[cluster]\nnodes = 2\nshards_per_zone = 1\n"+
		"[timing]\ndrain_wait = \"1s\"\n[operator]\ntoken = %q\n[log]\nformat = \"json\"\n",
		name, zone, logURL, listURL, operatorToken)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return &process{name: name, file: file}
}

// start runs the process until it serves, also again after it has ended.
func (p *process) start(t *testing.T) {
	t.Helper()
	p.launch(t)
	select {
	case p.address = <-p.serving:
	case <-p.exited:
		t.Fatalf("%s ended before it served", p.name)
	case <-time.After(limit):
		t.Fatalf("%s does not serve", p.name)
	}
}

// launch runs the process.
func (p *process) launch(t *testing.T) {
	t.Helper()
	p.cmd = exec.Command(binary, "serve", "-c", p.file)
	errors, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd, exited, serving, listening := p.cmd, make(chan struct{}), make(chan string, 1), make(chan struct{})
	p.exited, p.serving, p.listening = exited, serving, listening
	go func() {
		defer close(exited)
		var lines []string
		for scan := bufio.NewScanner(errors); scan.Scan(); {
			if lines = append(lines, scan.Text()); len(lines) == 1 {
				close(listening)
			}
			var line struct{ Msg, HTTP string }
			if json.Unmarshal(scan.Bytes(), &line) == nil && strings.HasSuffix(line.Msg, "Serving.") {
				serving <- line.HTTP
			}
		}
		p.lines = lines
		_ = cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
		if t.Failed() {
			t.Logf("%s wrote:\n%s", p.name, strings.Join(p.lines[max(0, len(p.lines)-40):], "\n"))
		}
	})
}

// wait returns the exit code.
func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(limit):
		t.Fatalf("%s does not end", p.name)
		return -1
	}
}
