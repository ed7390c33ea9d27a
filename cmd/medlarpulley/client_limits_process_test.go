package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

const (
	// limitedMemoryMiB is the memory limit of a process under test. An idle process
	// has a peak of 28 MiB.
	limitedMemoryMiB = 96
	// limitedFiles is the RLIMIT_NOFILE of a process under test, and maxLimitedFiles
	// the number of descriptors that it may have open. An idle one has 16.
	limitedFiles    = 320
	maxLimitedFiles = 300
	// limitedFilesVariable makes the test binary lower its RLIMIT_NOFILE to the value
	// and execute the program in its arguments.
	limitedFilesVariable = "MEDLARPULLEY_TEST_NOFILE"
)

func init() {
	value, ok := os.LookupEnv(limitedFilesVariable)
	if !ok {
		return
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err == nil {
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
	}
	if err == nil {
		err = syscall.Exec(os.Args[1], os.Args[1:], os.Environ())
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// limitedEntry is an entry process with little memory and few file descriptors.
type limitedEntry struct {
	entryProcess
	// peers is the address that serves the other nodes.
	peers string
	// exited is closed once the process has ended.
	exited chan struct{}
}

// startLimitedEntry starts the only node of a cell, and waits until it has accepted a
// submission.
func startLimitedEntry(t *testing.T) *limitedEntry {
	t.Helper()
	store := users.NewStore()
	t.Cleanup(store.Close)
	advice := users.NewAdvice(2 * time.Millisecond)
	t.Cleanup(advice.Close)
	store.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s",`+
		`"maxAttempts":3,"stretch":2,"targetLatencyMs":1000,"advice":{"decisionMs":2,"perWorkerMs":0,"validityMs":2500}}],`+
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":100}]}`))
	startHosts(t, 2, 100*time.Millisecond, store)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &limitedEntry{peers: freeAddress(t), exited: make(chan struct{})}
	file := filepath.Join(t.TempDir(), "n1.toml")
	content := fmt.Sprintf("[node]\nname = \"n1\"\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:0\"\nstatus = \"127.0.0.1:0\"\n"+
		"peers = %q\n[platform]\nstore = %q\nadvice = %q\n[limits]\nmemory_mib = %d\n", p.peers, store.Address(), advice.Address(), limitedMemoryMiB)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(self, binary, "entry", "-c", file)
	p.cmd.Env = append(os.Environ(), limitedFilesVariable+"="+strconv.Itoa(limitedFiles))
	p.launch(t)
	waitUntil(t, "the first submission is accepted", func() bool { code, _ := p.call("POST", fmt.Sprintf("%016x", 1), smallSubmission); return code == 200 })
	t.Logf("before the crowd: peak of %.1f MiB, %d descriptors", p.peakMiB(t), p.files(t))
	return p
}

// launch starts the process and waits until it serves.
func (p *limitedEntry) launch(t *testing.T) {
	t.Helper()
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	serving := make(chan []string, 1)
	go func() {
		defer close(p.exited)
		var last []string
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if m := servingLogLine.FindStringSubmatch(lines.Text()); m != nil {
				serving <- m
			}
			last = append(last[max(0, len(last)-20):], lines.Text())
		}
		_ = p.cmd.Wait() // an end by a signal is an error
		if t.Failed() {
			t.Logf("the process wrote:\n%s", strings.Join(last, "\n"))
		}
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.exited
	})
	select {
	case m := <-serving:
		p.address, p.status = m[1], m[2]
	case <-time.After(20 * time.Second):
		t.Fatal("the process did not start to serve within 20 s")
	}
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

var peakLine = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMiB returns the peak resident memory of the process.
func (p *limitedEntry) peakMiB(t *testing.T) float64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	m := peakLine.FindSubmatch(data)
	if err != nil || m == nil {
		t.Fatalf("the process has no peak of memory: %v", err)
	}
	kib, err := strconv.Atoi(string(m[1]))
	if err != nil {
		t.Fatal(err)
	}
	return float64(kib) / 1024
}

// files returns the number of open file descriptors of the process.
func (p *limitedEntry) files(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("the process has no descriptors: %v", err)
	}
	return len(entries)
}
