package hostlist

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	platform "github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

func newHost(id string) platform.Host {
	return platform.Host{ID: id, Role: platform.RoleWorker, Zone: "z", Rack: "r",
		Capacity: resource.Vector{MilliCPU: 16_000, MemoryMiB: 65_536}}
}

func hostIDs(t *testing.T, list platform.List) []string {
	t.Helper()
	hosts, err := list.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, h := range hosts {
		ids = append(ids, h.ID)
	}
	return ids
}

// Guards against simulated faults without an effect, and against a list that
// differs from the set hosts without a fault.
func TestFaultsOverHTTP(t *testing.T) {
	now := time.Unix(1_000, 0)
	server, err := Serve(New(func() time.Time { return now }), "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	}()
	client, err := platform.NewClient(server.URL(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	expect := func(step string, want ...string) {
		t.Helper()
		if got := hostIDs(t, client); !slices.Equal(got, want) {
			t.Fatalf("%s: hosts %v, want %v", step, got, want)
		}
	}
	server.Set([]platform.Host{newHost("b"), newHost("a")})
	expect("set", "a", "b")
	now = now.Add(10 * time.Second)
	server.Remove("a")
	server.Put(newHost("c"))
	expect("changed", "b", "c")
	server.SetFaults(Faults{Lag: 5 * time.Second})
	expect("lagging", "a", "b")
	now = now.Add(5 * time.Second)
	expect("caught up", "b", "c")
	server.SetFaults(Faults{Missing: []string{"b"}, Resurrected: []string{"a", "c", "never"}})
	expect("wrong", "a", "c")
	if actual := server.Actual(); len(actual) != 2 || actual[0] != newHost("b") {
		t.Fatalf("actual hosts %+v", actual)
	}
	server.SetFaults(Faults{Unavailable: true})
	if _, err := client.Hosts(t.Context()); err == nil {
		t.Fatal("read succeeded while the list is unavailable")
	}
}

// Guards against entries with an unknown role, a duplicate ID or no ID reaching
// the scheduler.
func TestUnusableEntriesAreLeftOut(t *testing.T) {
	server, err := Serve(New(time.Now), "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	}()
	client, err := platform.NewClient(server.URL(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	other := newHost("b")
	other.Role = "printer"
	server.Set([]platform.Host{newHost("a"), newHost("a"), other, newHost("")})
	if got := hostIDs(t, client); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("hosts %v, want only a", got)
	}
}

// Guards against a client that returns its cached list after the list has changed,
// and against the transfer of an unchanged list.
func TestUnchangedListIsNotTransferredAgain(t *testing.T) {
	s := New(time.Now)
	s.Put(platform.Host{ID: "a", Role: platform.RoleWorker, Address: "x"})
	server, err := Serve(s, "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client, err := platform.NewClient(server.URL(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for i := range 3 {
		if i == 2 {
			s.Put(platform.Host{ID: "b", Role: platform.RoleWorker, Address: "y"})
		}
		hosts, err := client.Hosts(context.Background())
		if err != nil || len(hosts) != 1+i/2 {
			t.Fatalf("read %d: %d hosts, %v", i, len(hosts), err)
		}
	}
	first, err := http.Get(server.URL() + platform.PathHosts)
	if err != nil {
		t.Fatal(err)
	}
	_ = first.Body.Close()
	req, _ := http.NewRequest(http.MethodGet, server.URL()+platform.PathHosts, nil)
	req.Header.Set("If-None-Match", first.Header.Get("ETag"))
	second, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = second.Body.Close()
	if second.StatusCode != http.StatusNotModified {
		t.Fatalf("request for an unchanged list returned status %d", second.StatusCode)
	}
}
