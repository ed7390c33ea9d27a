package worklog

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell/latency"
	"github.com/medlarpulley/medlarpulley/internal/standin/users"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against one record that ends the process of each node that reads it, or that
// keeps the other records of the topic from being applied.
func TestReaderLeavesOutRecordsThatFail(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	page := Page{Records: []platform.Record{{Key: "a"}, {Key: "odd", Offset: 7}, {Key: "b"}}}
	var applied []string
	page.ForEach(log, func(r platform.Record) {
		if r.Key == "odd" {
			panic("a fault that nobody expected")
		}
		applied = append(applied, r.Key)
	})
	g.Expect(applied).To(gomega.Equal([]string{"a", "b"}))
	g.Expect(out.String()).To(gomega.And(gomega.ContainSubstring("key=odd"), gomega.ContainSubstring("offset=7"), gomega.ContainSubstring("goroutine ")))
}

// Guards against a page that fails to be applied and ends the process, or that is read
// for ever.
func TestReaderGoesOnAfterAPageThatFails(t *testing.T) {
	g := gomega.NewWithT(t)
	standin := users.NewStore()
	defer standin.Close()
	var out bytes.Buffer
	var faults, applied atomic.Int64
	f := NewTopicReader(platform.NewStore(standin.Address()), boottime.Clock{}, slog.New(slog.NewTextHandler(&out, nil)), Options{
		Topic: topicName, Wait: 20 * time.Millisecond, Meter: latency.New(), OnFault: func() { faults.Add(1) },
	}, func(p Page) {
		for _, r := range p.Records {
			if r.Key == "odd" {
				panic("a fault that nobody expected")
			}
			applied.Add(1)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	g.Expect(f.WaitFirstRead(ctx)).To(gomega.BeTrue())
	standin.Put(topicName, "odd", []byte("1"))
	g.Eventually(faults.Load, "5s").Should(gomega.Equal(int64(1)))
	standin.Put(topicName, "a", []byte("1"))
	g.Eventually(applied.Load, "5s").Should(gomega.Equal(int64(1)))
	g.Expect(f.CatchUp(ctx)).To(gomega.Succeed())
	cancel()
	<-done
	g.Expect(faults.Load()).To(gomega.Equal(int64(1)))
	g.Expect(strings.Count(out.String(), "goroutine ")).To(gomega.BeNumerically(">", 0))
}
