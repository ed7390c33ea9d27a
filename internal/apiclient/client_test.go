package apiclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// startEntry starts a server that answers with a fixed status and body, or that
// aborts the connection if status is 0.
func startEntry(t *testing.T, status int, v verdict.Verdict, code string) (url string, calls *atomic.Int32) {
	t.Helper()
	calls = new(atomic.Int32)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(verdict.Header, v.String())
		w.WriteHeader(status)
		if code == "" {
			fmt.Fprintf(w, `{"verdict":%q,"result":{"id":"j"}}`, v)
			return
		}
		fmt.Fprintf(w, `{"verdict":%q,"error":{"verdict":%q,"code":%q,"message":"m"}}`, v, v, code)
	}))
	t.Cleanup(s.Close)
	return s.URL, calls
}

// closedAddress returns the URL of a server that has been closed.
func closedAddress(t *testing.T) string {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	return s.URL
}

// Guards against a change that is repeated at the next entry although it may have
// taken effect, and against giving up although the next entry could safely be
// tried (I6, I7).
func TestNextEntryOnlyWhenSafe(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name    string
		first   func() string
		submit  bool
		status  bool
		request bool
		verdict verdict.Verdict
	}{
		{"connection refused", func() string { return closedAddress(t) }, true, true, true, verdict.DidNotRun},
		{"refused by the entry", func() string { u, _ := startEntry(t, 503, verdict.DidNotRun, "draining"); return u }, true, true, true, verdict.DidNotRun},
		{"may have run", func() string { u, _ := startEntry(t, 503, verdict.MayHaveRun, "x"); return u }, false, true, false, verdict.MayHaveRun},
		{"connection lost", func() string { u, _ := startEntry(t, 0, verdict.MayHaveRun, ""); return u }, false, true, false, verdict.MayHaveRun},
		{"refused for good", func() string { u, _ := startEntry(t, 422, verdict.DidNotRun, "infeasible"); return u }, false, false, false, verdict.DidNotRun},
	} {
		check := func(what string, want bool, calls *atomic.Int32, err error) {
			t.Helper()
			if (calls.Load() == 1) != want {
				t.Errorf("%s, %s: the next entry got %d calls", c.name, what, calls.Load())
			}
			if !want && err != nil && verdict.Of(err) != c.verdict {
				t.Errorf("%s, %s: verdict is %v", c.name, what, verdict.Of(err))
			}
		}
		client := func() (*Client, *atomic.Int32) {
			second, calls := startEntry(t, 200, verdict.DidRun, "")
			cl, err := New(Options{Entries: []string{c.first(), second}})
			if err != nil {
				t.Fatal(err)
			}
			return cl, calls
		}
		cl, calls := client()
		_, err := cl.Submit(ctx, gateway.JobSpec{}, false)
		check("submit", c.submit, calls, err)
		cl, calls = client()
		_, err = cl.Status(ctx, "j")
		check("status", c.status, calls, err)
		cl, calls = client()
		_, err = cl.Request(ctx, Request{Upstream: "u", Method: "POST", Path: "/", ID: "r"})
		check("request", c.request, calls, err)
	}
}

// Guards against a watch that loses or repeats events when it resumes a broken
// stream at the next entry.
func TestWatchResumes(t *testing.T) {
	serve := func(w http.ResponseWriter, r *http.Request, lines ...string) {
		for _, l := range lines {
			fmt.Fprintln(w, l)
		}
	}
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, `{"event":{"position":0,"verdict":"did-run"}}`, `{"heartbeat":true}`, `{"error":{"verdict":"did-not-run","code":"draining","message":"m"}}`)
	}))
	defer first.Close()
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("position") != "1" {
			t.Errorf("resumed at %s", r.URL)
		}
		serve(w, r, `{"event":{"position":0,"verdict":"did-run"}}`, `{"event":{"position":1,"end":true,"verdict":"did-run"}}`)
	}))
	defer second.Close()
	c, err := New(Options{Entries: []string{first.URL, second.URL}})
	if err != nil {
		t.Fatal(err)
	}
	var got []uint64
	err = c.Watch(context.Background(), "j", 0, func(e gateway.JobEvent) error { got = append(got, e.Position); return nil })
	if err != nil || fmt.Sprint(got) != "[0 1]" {
		t.Errorf("events %v, %v", got, err)
	}
}

// Guards against an error that loses the status and code that the entry node
// reported, and against addresses that are not checked.
func TestRemoteError(t *testing.T) {
	url, _ := startEntry(t, 409, verdict.DidNotRun, "conflict")
	c, err := New(Options{Entries: []string{url}})
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Publish(context.Background(), gateway.Publication{})
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Status != 409 || remote.Problem.Code != "conflict" {
		t.Errorf("error is %v", err)
	}
	for _, bad := range [][]string{nil, {""}, {"ftp://x"}, {"http://"}} {
		if _, err := New(Options{Entries: bad}); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}
