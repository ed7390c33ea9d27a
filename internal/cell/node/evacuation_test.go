package node

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/internal/standin/users"
	"github.com/medlarpulley/medlarpulley/platform"
)

func evacuation(zone string, offset uint64) platform.Record {
	return platform.Record{Key: platform.EvacuationKey(zone), Value: []byte("{}"), Offset: offset}
}

func evacuationEnd(zone string, offset uint64) platform.Record {
	return platform.Record{Key: platform.EvacuationKey(zone), Offset: offset}
}

func page(records ...platform.Record) worklog.Page { return worklog.Page{Records: records} }

func newest(records ...platform.Record) worklog.Page {
	return worklog.Page{Records: records, NewestOnly: true}
}

// Guards against an evacuation that is missed, never ends, or does not begin again; and
// against one of which the removal was deleted before this node read it.
func TestEvacuatedZonesFollowTheRecords(t *testing.T) {
	for _, c := range []struct {
		name  string
		pages []worklog.Page
		want  []string
	}{
		{"none", []worklog.Page{newest()}, nil},
		{"before the first read", []worklog.Page{newest(evacuation("z1", 3))}, []string{"z1"}},
		{"later", []worklog.Page{newest(), page(evacuation("z1", 3))}, []string{"z1"}},
		{"two zones", []worklog.Page{page(evacuation("z2", 3)), page(evacuation("z1", 4))}, []string{"z1", "z2"}},
		{"ended", []worklog.Page{page(evacuation("z1", 3), evacuation("z2", 4)), page(evacuationEnd("z1", 5))}, []string{"z2"}},
		{"begun and ended in one page", []worklog.Page{page(evacuation("z1", 3), evacuationEnd("z1", 4))}, nil},
		{"the same zone again", []worklog.Page{page(evacuation("z1", 3), evacuationEnd("z1", 4)), page(evacuation("z1", 5))}, []string{"z1"}},
		{"written twice and ended", []worklog.Page{page(evacuation("z1", 3), evacuation("z1", 4), evacuationEnd("z1", 5))}, nil},
		{"ended twice", []worklog.Page{page(evacuationEnd("z1", 3), evacuationEnd("z1", 4))}, nil},
		{"removal never read", []worklog.Page{page(evacuation("z1", 3), evacuation("z2", 4)), newest(evacuation("z2", 4))}, []string{"z2"}},
		{"removal among the newest records", []worklog.Page{page(evacuation("z1", 3)), newest(evacuationEnd("z1", 5))}, nil},
		{"history read again", []worklog.Page{newest(evacuation("z1", 9)), page(evacuation("z1", 7), evacuationEnd("z1", 8)), page(evacuation("z1", 9))}, []string{"z1"}},
		{"history read again in part", []worklog.Page{newest(evacuation("z1", 9)), page(evacuation("z1", 7), evacuationEnd("z1", 8))}, []string{"z1"}},
		{"a topic that begins anew", []worklog.Page{page(evacuation("z1", 900)), newest(evacuation("z1", 2)), page(evacuationEnd("z1", 3))}, nil},
		{"pages without records", []worklog.Page{page(evacuation("z1", 3)), page(), page()}, []string{"z1"}},
	} {
		e := newEvacuations(slog.New(slog.DiscardHandler), tally.NoopScope)
		for _, p := range c.pages {
			e.apply(p)
		}
		if got := e.current.Load().Names(); !slices.Equal(got, c.want) {
			t.Errorf("%s: evacuated zones %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against records of any form that end the process, hide a desired state, or
// evacuate what nobody named.
func TestOddEvacuationRecords(t *testing.T) {
	n := newUnconnectedNode(t)
	var out bytes.Buffer
	n.evacuations.log = slog.New(slog.NewTextHandler(&out, nil))
	value := func(key string, v ...byte) platform.Record { return platform.Record{Key: key, Value: v} }
	n.applyDesired(page(
		value("evacuate"), value("evacuate", '1'), value("evacuate/", '1'), value("Evacuate/z1", '1'), value("evacuated/z1", '1'), value(" evacuate/z1", '1'),
		value("", '1'), value("evacuate/a/b", 0xff, 0), value("evacuate/\xff\x00\n", '1'), value("evacuate/"+strings.Repeat("z", 246), '1'),
		value("evacuate/null", []byte("null")...), value("evacuate/z2", []byte(`{"zone":"z1"}`)...), value("config", []byte(`{"version":3}`)...), value("evacuate/z3", '{'),
	))
	want := []string{"a/b", "null", "z2", "z3", strings.Repeat("z", 246), "\xff\x00\n"}
	if got := n.evacuations.current.Load().Names(); !slices.Equal(got, want) {
		t.Errorf("evacuated zones %q, want %q", got, want)
	}
	if d := n.appliedDesired(); d == nil || d.Version != 3 {
		t.Errorf("the desired state is %+v, want version 3", d)
	}
	if !strings.Contains(out.String(), "names no zone") || strings.Count(out.String(), "\n") != 2 {
		t.Errorf("the log:\n%s", out.String())
	}
	if got := n.dump().EvacuatedZones; !slices.Equal(got, want) {
		t.Errorf("the dump has %q", got)
	}
}

// Guards against a process that runs out of memory, or that forgets evacuations, since
// another writer stores ever more of them.
func TestEvacuatedZonesAreBounded(t *testing.T) {
	e := newEvacuations(slog.New(slog.DiscardHandler), tally.NoopScope)
	e.apply(page(evacuation("z1", 0)))
	var many []platform.Record
	for i := range 2 * maxEvacuatedZones {
		many = append(many, evacuation(fmt.Sprint("other", i), uint64(1+i)))
	}
	e.apply(page(many...))
	zones := e.current.Load()
	if zones.Len() != maxEvacuatedZones || !zones.Has("z1") {
		t.Errorf("%d zones are kept, z1 among them: %t", zones.Len(), zones.Has("z1"))
	}
	e.apply(newest(evacuation("z1", 0)))
	if got := e.current.Load().Names(); !slices.Equal(got, []string{"z1"}) {
		t.Errorf("evacuated zones %q after the others were removed", got)
	}
}

// Guards against an owner that does not get the evacuated zones of its process, also those
// from before its term.
func TestOwnerGetsTheEvacuatedZones(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newUnconnectedNode(t)
	n.applyDesired(newest(evacuation("z1", 1)))
	claimed := registry.Ownership{Node: "n1", InstanceID: n.self.InstanceID, Token: 2, FirstSequence: 7}
	n.claim = &claim{owner: claimed, sentAt: n.clock.Now(), journal: worklog.NewJournal(n.workTarget("election", ownerAppender), 2, 7, func() {})}
	n.applyWork(page(registry.OwnershipRecord(claimed)))
	o := n.owner()
	g.Expect(o).NotTo(gomega.BeNil())
	zones := func() (out []string) {
		for _, z := range o.Dump().Cell.Evacuated {
			out = append(out, z.Zone)
		}
		return out
	}
	g.Eventually(zones, "3s", "10ms").Should(gomega.Equal([]string{"z1"}))
	n.applyDesired(page(evacuationEnd("z1", 2), evacuation("z2", 3)))
	g.Eventually(zones, "3s", "10ms").Should(gomega.Equal([]string{"z2"}))
	n.mu.Lock()
	n.endTerm("the test is over")
	n.mu.Unlock()
	n.termGoroutines.Wait()
}

// Guards against zones that count as known although the store does not answer, or refuses
// reads, and against such that stay unknown when it answers again; and against a node that
// takes over although it could not start tasks.
func TestZonesAreProvenOnlyByRecentReads(t *testing.T) {
	for _, fault := range []users.Fault{users.Unresponsive, users.RejectAll} {
		g := gomega.NewWithT(t)
		standin := users.NewStore()
		defer standin.Close()
		standin.Put(platform.TopicDesired, platform.EvacuationKey("z1"), []byte("{}"))
		n := newUnconnectedNode(t)
		n.settings.Bounds.EvacuationMs = 2000
		n.store = platform.NewStore(standin.Address())
		n.desiredReader = worklog.NewTopicReader(n.store, n.clock, n.log, n.desiredReaderOptions(), n.applyDesired)
		g.Expect(n.evacuatedZonesProven()).To(gomega.BeFalse())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { n.desiredReader.Run(ctx); close(done) }()
		g.Eventually(n.evacuatedZonesProven, "5s", "10ms").Should(gomega.BeTrue())
		g.Expect(n.evacuations.current.Load().Has("z1")).To(gomega.BeTrue())
		standin.SetFault(fault)
		g.Eventually(n.evacuatedZonesProven, "5s", "10ms").Should(gomega.BeFalse())
		g.Expect(n.evacuations.current.Load().Has("z1")).To(gomega.BeTrue(), "the last known set")
		_, err := n.HandleTakeoverRequest(ctx, &peers.TakeoverRequest{Token: 5})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n.takeoverToken.Load()).To(gomega.BeZero())
		standin.Put(platform.TopicDesired, platform.EvacuationKey("z1"), nil)
		standin.SetFault(users.NoFault)
		g.Eventually(n.evacuatedZonesProven, "10s", "10ms").Should(gomega.BeTrue())
		g.Eventually(func() bool { return n.evacuations.current.Load().Has("z1") }, "5s").Should(gomega.BeFalse())
		_, _ = n.HandleTakeoverRequest(ctx, &peers.TakeoverRequest{Token: 5})
		g.Expect(n.takeoverToken.Load()).To(gomega.BeEquivalentTo(5))
		cancel()
		<-done
	}
}

// Guards against a reader of the desired state that reads otherwise than before in
// deployments without the setting, and against one whose reads are too rare for a short
// bound.
func TestReadsFollowTheEvacuationBound(t *testing.T) {
	n := newUnconnectedNode(t)
	if o := n.desiredReaderOptions(); o.Wait != desiredLongPollTimeout || o.TimeoutMargin != desiredTimeoutMargin || o.RetryAtOnce {
		t.Errorf("without a bound: %+v", o)
	}
	n.settings.Bounds.EvacuationMs = 5000
	if o := n.desiredReaderOptions(); o.Wait != desiredLongPollTimeout || !o.RetryAtOnce {
		t.Errorf("with a bound of 5 s: %+v", o)
	}
	n.settings.Bounds.EvacuationMs = 1000
	if o := n.desiredReaderOptions(); o.Wait > 250*time.Millisecond {
		t.Errorf("with a bound of 1 s: %+v", o)
	}
}
