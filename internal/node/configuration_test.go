package node

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
)

// unit returns a published unit object.
func unit(name string) *ledger.Object {
	return &ledger.Object{Kind: "unit", Name: name, Spec: []byte(`{"milli_cpu":1000,"memory_mib":1024}`)}
}

var _ = ginkgo.Describe("configurations", func() {
	ginkgo.It("never revert to an older revision", func() {
		c := newConfigurations()
		for _, step := range []struct {
			revision uint64
			name     string
			changed  bool
		}{{2, "slot", true}, {1, "seat", false}, {2, "seat", false}, {3, "bench", true}} {
			changed, err := c.update(ledger.Configuration{Revision: step.revision, Objects: []*ledger.Object{unit(step.name)}})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(changed).To(gomega.Equal(step.changed), fmt.Sprintf("revision %d", step.revision))
		}
		gomega.Expect(c.get().revision).To(gomega.BeEquivalentTo(3))
		gomega.Expect(c.get().set.Units).To(gomega.HaveKey("bench"))
	})

	ginkgo.It("keep a bounded number of revisions", func() {
		c := newConfigurations()
		for revision := uint64(1); revision <= 2*maxKeptRevisions; revision++ {
			_, err := c.update(ledger.Configuration{Revision: revision})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(c.history).To(gomega.HaveLen(maxKeptRevisions))
		_, kept := c.objectsAt(1)
		gomega.Expect(kept).To(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("shardOf", func() {
	ginkgo.It("never splits a rack", func() {
		for rack := range 20 {
			shards := map[string]bool{}
			for host := range 8 {
				h := hostlist.Host{ID: fmt.Sprint(host), Zone: "zone-a", Rack: fmt.Sprint("rack-", rack)}
				shards[shardOf(h, 4)] = true
			}
			gomega.Expect(shards).To(gomega.HaveLen(1))
		}
	})
})
