package worklog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against an append that counts as over when its caller has given up, although it is
// still repeated and takes effect later; and against records that stay open although they are
// never sent.
func TestAppendIsOpenUntilItsOutcomeIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, target := newFakeTarget()
		target.Clock = steadyClock{time.Now()}
		a := NewAppender(target, "n")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go a.Run(ctx)
		briefly, cancelCall := context.WithTimeout(ctx, time.Second)
		defer cancelCall()
		queued := make(chan error, 1)
		go func() {
			time.Sleep(100 * time.Millisecond) // behind the first record, which the store holds
			queued <- a.Append(briefly, platform.Record{Key: "queued"})
		}()
		if err := a.Append(briefly, platform.Record{Key: "sent"}); verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("the append of the first record ends with %v", err)
		}
		if err := <-queued; verdict.Of(err) != verdict.DidNotRun {
			t.Errorf("the append of the second record ends with %v", err)
		}
		if !a.MayStore("sent") || a.MayStore("queued") || a.MayStore("other") {
			t.Errorf("may be stored: sent %t, queued %t, other %t", a.MayStore("sent"), a.MayStore("queued"), a.MayStore("other"))
		}
		<-store.appends // the first try, which has timed out by now
		(<-store.appends).answer <- nil
		synctest.Wait()
		if a.MayStore("sent") || len(a.open) != 0 {
			t.Errorf("after the answer the open records are %v", a.open)
		}
	})
}
