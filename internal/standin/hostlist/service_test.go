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

func host(id string) platform.Host {
	return platform.Host{ID: id, Role: platform.RoleWorker, Zone: "z", Rack: "r",
		Capacity: resource.Vector{MilliCPU: 16_000, MemoryMiB: 65_536}}
}

func ids(t *testing.T, list platform.List) []string {
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

// Guards against faults that do not show, and a list that changes without one.
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
		if got := ids(t, client); !slices.Equal(got, want) {
			t.Fatalf("%s: hosts %v, want %v", step, got, want)
		}
	}
	server.Set([]platform.Host{host("b"), host("a")})
	expect("set", "a", "b")
	now = now.Add(10 * time.Second)
	server.Remove("a")
	server.Put(host("c"))
	expect("changed", "b", "c")
	server.SetFaults(Faults{Lag: 5 * time.Second})
	expect("lagging", "a", "b")
	now = now.Add(5 * time.Second)
	expect("caught up", "b", "c")
	server.SetFaults(Faults{Missing: []string{"b"}, Resurrected: []string{"a", "c", "never"}})
	expect("wrong", "a", "c")
	if actual := server.Actual(); len(actual) != 2 || actual[0] != host("b") {
		t.Fatalf("actual hosts %+v", actual)
	}
	server.SetFaults(Faults{Away: true})
	if _, err := client.Hosts(t.Context()); err == nil {
		t.Fatal("read succeeded while the list is away")
	}
}

// Guards against unusable entries that reach the scheduler.
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
	other := host("b")
	other.Role = "printer"
	server.Set([]platform.Host{host("a"), host("a"), other, host("")})
	if got := ids(t, client); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("hosts %v, want only a", got)
	}
}

// Guards against a client that keeps an old list after it changed, or
// transfers an unchanged one again.
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
		t.Fatalf("unchanged list answered with status %d", second.StatusCode)
	}
}
