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

// binary is the path of the executable under test.
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

// process is an entry node that runs as a separate process.
type process struct {
	name, settingsFile string
	cmd                *exec.Cmd
	// address is where the process serves HTTP; it is set once it serves.
	address  string
	logLines []string
	exited   chan struct{}
	// listening is closed at the first log line; servingAt receives the HTTP
	// address.
	listening chan struct{}
	servingAt chan string
}

// newProcess writes the settings file of a process and does not start it.
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
	return &process{name: name, settingsFile: file}
}

// start starts the process and waits until it serves. It may be called again
// after the process has ended.
func (p *process) start(t *testing.T) {
	t.Helper()
	p.launch(t)
	select {
	case p.address = <-p.servingAt:
	case <-p.exited:
		t.Fatalf("%s exited before it served", p.name)
	case <-time.After(stepTimeout):
		t.Fatalf("%s did not start to serve within the step timeout", p.name)
	}
}

// launch starts the process and collects its log lines.
func (p *process) launch(t *testing.T) {
	t.Helper()
	p.cmd = exec.Command(binary, "serve", "-c", p.settingsFile)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd, exited, serving, listening := p.cmd, make(chan struct{}), make(chan string, 1), make(chan struct{})
	p.exited, p.servingAt, p.listening = exited, serving, listening
	go func() {
		defer close(exited)
		var lines []string
		for scan := bufio.NewScanner(stderr); scan.Scan(); {
			if lines = append(lines, scan.Text()); len(lines) == 1 {
				close(listening)
			}
			var line struct{ Msg, HTTP string }
			if json.Unmarshal(scan.Bytes(), &line) == nil && strings.HasSuffix(line.Msg, "Serving.") {
				serving <- line.HTTP
			}
		}
		p.logLines = lines
		_ = cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
		if t.Failed() {
			t.Logf("%s wrote:\n%s", p.name, strings.Join(p.logLines[max(0, len(p.logLines)-40):], "\n"))
		}
	})
}

// waitExit waits for the process to exit and returns its exit code.
func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(stepTimeout):
		t.Fatalf("%s did not exit within the step timeout", p.name)
		return -1
	}
}
