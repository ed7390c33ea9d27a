package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// fakeBackend fails every call with err if that is set, and records the last call.
type fakeBackend struct {
	mu      sync.Mutex
	err     error
	panics  bool
	caller  Caller
	job     JobSpec
	pub     Publication
	results []BatchResult
	events  []JobEvent
	// wait, if set, blocks a submission until a value is received from it.
	wait <-chan time.Time
	// holdWatch keeps a watch open until its context is done.
	holdWatch bool
}

func (f *fakeBackend) Authenticate(_ context.Context, key string) (string, error) {
	if key != "good" {
		return "", verdict.New(verdict.DidNotRun, CodeUnauthenticated, "unknown key")
	}
	return "atelier", nil
}

func (f *fakeBackend) status(c Caller, id string) (JobStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caller = c
	if f.panics {
		panic("broken")
	}
	return JobStatus{ID: id, State: StateWaiting}, f.err
}

func (f *fakeBackend) Submit(ctx context.Context, c Caller, job JobSpec, wait bool) (JobStatus, error) {
	f.job = job
	if f.wait != nil {
		select {
		case <-ctx.Done():
			return JobStatus{}, ctx.Err()
		case <-f.wait:
		}
	}
	s, err := f.status(c, job.ID)
	if wait {
		s.State = StateEnded
	}
	return s, err
}

func (f *fakeBackend) SubmitBatch(context.Context, Caller, []JobSpec) ([]BatchResult, error) {
	return f.results, f.err
}
func (f *fakeBackend) Status(_ context.Context, c Caller, id string) (JobStatus, error) {
	return f.status(c, id)
}
func (f *fakeBackend) Cancel(_ context.Context, c Caller, id string) (JobStatus, error) {
	return f.status(c, id)
}
func (f *fakeBackend) Explain(_ context.Context, _ Caller, id string) (Explanation, error) {
	return Explanation{Job: id}, f.err
}

func (f *fakeBackend) Watch(ctx context.Context, _ Caller, _ string, position uint64, emit func(JobEvent) error) error {
	for _, e := range f.events {
		if e.Position < position {
			continue
		}
		if err := emit(e); err != nil {
			return err
		}
	}
	if f.holdWatch {
		<-ctx.Done()
		return ctx.Err()
	}
	return f.err
}

func (f *fakeBackend) Publish(_ context.Context, p Publication) (PublishResult, error) {
	f.pub = p
	return PublishResult{Revision: 7}, f.err
}

func (f *fakeBackend) Objects(_ context.Context, q ObjectQuery) (ObjectList, error) {
	if q.Name == "missing" {
		return ObjectList{}, nil
	}
	return ObjectList{Revision: 7, Objects: []objects.Object{{Kind: objects.KindTeam, Name: "atelier", Spec: []byte("{}")}}}, f.err
}

func (f *fakeBackend) Diff(_ context.Context, from, to uint64) (RevisionDiff, error) {
	return RevisionDiff{From: from, To: to}, f.err
}

func (f *fakeBackend) RevisionStatus(_ context.Context, r uint64) (RevisionStatus, error) {
	return RevisionStatus{Revision: r, Members: 8, InForce: 8}, f.err
}
func (f *fakeBackend) Dump(context.Context) (any, error) { return map[string]int{"shards": 2}, f.err }
func (f *fakeBackend) Drain(context.Context) error       { return f.err }
func (f *fakeBackend) Ready(context.Context) error       { return f.err }
