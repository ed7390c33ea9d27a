package main

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"
)

// Guards against a planned stop that does not end, or that ends with an error, while
// clients hold incomplete bodies at all three addresses.
func TestPlannedStopBesideIncompleteBodies(t *testing.T) {
	p := startLimitedEntry(t)
	for _, address := range []string{p.address, p.status, p.peers} {
		for i := range 5 {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := fmt.Fprintf(conn, "POST /q/%016x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n\r\nx", i+100); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(settleTime)
	if err := p.cmd.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.exited:
	case <-time.After(stepTimeout):
		t.Fatal("the process did not stop within the step timeout")
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}
