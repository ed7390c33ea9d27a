package logging

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against log lines that do not name the component they come from.
func TestPartPrefix(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "info", "text")
	if err != nil {
		t.Fatal(err)
	}
	part := WithComponent(l, "gateway").With("zone", "riga-a").WithGroup("g")
	part.Debug("Hidden.")
	part.Info("Listening.", "port", 80)
	if got := out.String(); !strings.Contains(got, `msg="gateway: Listening." zone=riga-a g.port=80`) || strings.Contains(got, "Hidden") {
		t.Errorf("line is %q", got)
	}
}

// Guards against a misspelt level or format that is accepted and disables the log.
func TestNewRefuses(t *testing.T) {
	for _, c := range [][2]string{{"loud", "text"}, {"info", "xml"}} {
		if _, err := New(&bytes.Buffer{}, c[0], c[1]); err == nil {
			t.Errorf("%v is accepted", c)
		}
	}
}
