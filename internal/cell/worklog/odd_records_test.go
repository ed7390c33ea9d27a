package worklog

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell/latency"
	"github.com/medlarpulley/medlarpulley/internal/standin/users"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

// oddRecords are records that the store refuses, or that would be read back as others.
var oddRecords = map[string]platform.Record{
	"a value above the limit": {Key: "large", Value: bytes.Repeat([]byte("x"), 262144)},
	"a key of 256 bytes":      {Key: strings.Repeat("k", 256), Value: []byte("1")},
	"a key of 258 bytes":      {Key: strings.Repeat("k", 258), Value: []byte("1")},
	"no key":                  {Value: []byte("1")},
}

func oddRecordsTarget(t *testing.T) (Target, *platform.Store) {
	standin := users.NewStore()
	t.Cleanup(standin.Close)
	store := platform.NewStore(standin.Address())
	return Target{Store: store, Clock: boottime.Clock{}, Meter: latency.New(), Log: slog.New(slog.DiscardHandler), Topic: topicName}, store
}

// Guards against one record that the store refuses, so that no record of its batch is
// stored, or that is stored under another key.
func TestAppenderRefusesOddRecordsAlone(t *testing.T) {
	for name, odd := range oddRecords {
		t.Run(name, func(t *testing.T) {
			target, store := oddRecordsTarget(t)
			a := NewAppender(target, "node/boot")
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			results := make(chan error, 2)
			oddResult := make(chan error, 1)
			go func() { results <- a.Append(ctx, platform.Record{Key: "x", Value: []byte("1")}) }()
			go func() { oddResult <- a.Append(ctx, odd) }()
			go func() { results <- a.Append(ctx, platform.Record{Key: "y", Value: []byte("1")}) }()
			time.Sleep(50 * time.Millisecond) // all of them wait for the same append
			go a.Run(ctx)
			for range 2 {
				if err := <-results; err != nil {
					t.Errorf("an ordinary record of the batch: %v", err)
				}
			}
			if err := <-oddResult; err == nil || verdict.Of(err) != verdict.DidNotRun {
				t.Errorf("the odd record: %v", err)
			}
			if stored := keys(store)(); len(stored) != 2 {
				t.Errorf("stored under %.100q", stored)
			}
		})
	}
}

// Guards against an owner that repeats an append for ever, since one of its records can
// never be stored, and against one that takes this record as stored.
func TestJournalLeavesOutOddRecords(t *testing.T) {
	for name, odd := range oddRecords {
		t.Run(name, func(t *testing.T) {
			target, store := oddRecordsTarget(t)
			j := NewJournal(target, 1, 1, func() {})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			records := []platform.Record{{Key: "x", Value: []byte("1")}, odd, {Key: "y", Value: []byte("1")}}
			var unstorable *UnstorableError
			if err := j.Store(ctx, records); !errors.As(err, &unstorable) || len(unstorable.Keys) != 1 || unstorable.Keys[0] != odd.Key {
				t.Errorf("store: %v, want an error that names the odd record", err)
			}
			if stored := keys(store)(); len(stored) != 2 {
				t.Errorf("stored under %.100q", stored)
			}
			if err := j.Store(ctx, records[:1]); err != nil {
				t.Errorf("store after that: %v", err)
			}
		})
	}
}

// Guards against an owner that repeats an append for ever, since its records together
// exceed the limit of the store on one append.
func TestJournalSplitsLargeAppends(t *testing.T) {
	target, store := oddRecordsTarget(t)
	var refusals int
	j := NewJournal(target, 1, 1, func() { refusals++ })
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var records []platform.Record
	for i := range 20 {
		records = append(records, platform.Record{Key: string(rune('a' + i)), Value: make([]byte, 200_000)})
	}
	if err := j.Store(ctx, records); err != nil || refusals != 0 {
		t.Fatalf("store: %v, refused several times: %d", err, refusals)
	}
	if stored := keys(store)(); len(stored) != len(records) || stored[0] != "a" || stored[19] != "t" {
		t.Errorf("stored under %.100q", stored)
	}
}
