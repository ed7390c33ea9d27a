package registry

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against an entry of the host list that is accepted, but whose record the store
// refuses or a later owner reads as another host.
func FuzzHostRecord(f *testing.F) {
	const entry = `{"service":"s","address":"10.1.0.17:8080","zone":"z","state":"ready","capacity":{"cpu":16000,"memMb":32768},"labels":["a"],"seq":4,"born":5}`
	f.Add("i-7f3a91c2", []byte(entry))
	f.Add(strings.Repeat("<", 200), []byte(strings.Replace(entry, `"a"`, strings.Repeat(`"`+strings.Repeat("<", 255)+`",`, 63)+`"a"`, 1)))
	f.Add("i-\xff", []byte(strings.Replace(entry, "10.1.0.17", "10.1.0.17\xff", 1)))
	f.Fuzz(func(t *testing.T, id string, data []byte) {
		h, err := platform.DecodeHost(id, data)
		if err != nil {
			return
		}
		if h.Capacity != cell.ClampAmounts(h.Capacity) || h.StartedMs < 0 {
			t.Errorf("host %+v", h)
		}
		r := HostRecord(Host{Spec: h})
		if err := r.Check(); err != nil {
			t.Error(err)
		}
		reg := New(slog.New(slog.DiscardHandler))
		reg.Apply(r)
		if d := cmp.Diff(Host{Spec: h}, reg.Hosts()[id]); d != "" {
			t.Error(d)
		}
	})
}
