package logsvc

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	platform "github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

func serve(t *testing.T, opts platform.Options) (*Server, *platform.Client) {
	t.Helper()
	server, err := Serve(New(true), "")
	if err != nil {
		t.Fatal(err)
	}
	client, err := platform.NewClient(server.URL(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); _ = server.Close() })
	return server, client
}

func appendN(t *testing.T, log platform.Log, n int) {
	t.Helper()
	for i := range n {
		if _, err := log.Append(t.Context(), []byte{byte(i)}); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against records that the client or the simulated service loses, reorders
// or renumbers.
func TestRecordsOverHTTP(t *testing.T) {
	server, client := serve(t, platform.Options{LongPollTimeout: time.Millisecond})
	appendN(t, client, 5)
	page, err := client.Read(t.Context(), 2, 3)
	if err != nil || len(page.Records) != 3 || page.Oldest != 1 || page.End != 6 {
		t.Fatalf("page %+v, %v", page, err)
	}
	for i, record := range page.Records {
		if record.Offset != uint64(i+2) || !bytes.Equal(record.Payload, []byte{byte(i + 1)}) {
			t.Fatalf("record %d: %+v", i, record)
		}
	}
	if page, err := client.Read(t.Context(), 6, 3); err != nil || len(page.Records) != 0 || page.End != 6 {
		t.Fatalf("page at the end %+v, %v", page, err)
	}
	server.SetFaults(Faults{Retention: 2})
	page, err = client.Read(t.Context(), 3, 3)
	if !errors.Is(err, platform.ErrTrimmed) || page.Oldest != 4 || page.End != 6 {
		t.Fatalf("trimmed read %+v, %v", page, err)
	}
	if n := len(server.Appended()); n != 5 {
		t.Fatalf("the service has kept %d appended records, want 5", n)
	}
}

// Guards against ErrNotAppended for an append that may be in the log, and against
// another error for an append that certainly is not.
func TestAppendErrors(t *testing.T) {
	for name, test := range map[string]struct {
		faults      Faults
		payload     []byte
		notAppended bool
		inLog       int
	}{
		"away":        {Faults{Unavailable: true}, []byte("x"), true, 0},
		"answer lost": {Faults{LoseResponses: 1}, []byte("x"), false, 1},
		"silent":      {Faults{Unresponsive: true}, []byte("x"), false, 0},
		"too large":   {Faults{}, make([]byte, platform.MaxRecordBytes+1), true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := serve(t, platform.Options{AppendTimeout: 200 * time.Millisecond})
			server.SetFaults(test.faults)
			_, err := client.Append(t.Context(), test.payload)
			if err == nil || errors.Is(err, platform.ErrNotAppended) != test.notAppended {
				t.Fatalf("error %v, want refusal %v", err, test.notAppended)
			}
			if n := len(server.Appended()); n != test.inLog {
				t.Fatalf("%d records in the log, want %d", n, test.inLog)
			}
		})
	}
	t.Run("no server", func(t *testing.T) {
		server, client := serve(t, platform.Options{})
		_ = server.Close()
		if _, err := client.Append(t.Context(), []byte("x")); !errors.Is(err, platform.ErrNotAppended) {
			t.Fatalf("error %v, want a refusal", err)
		}
	})
	t.Run("too many", func(t *testing.T) {
		server, client := serve(t, platform.Options{})
		server.SetFaults(Faults{AppendsPerSecond: 1})
		refused := 0
		for range 20 {
			if _, err := client.Append(t.Context(), []byte("x")); errors.Is(err, platform.ErrNotAppended) {
				refused++
			} else if err != nil {
				t.Fatal(err)
			}
		}
		if refused == 0 || refused != server.Refused() || len(server.Appended()) != 20-refused {
			t.Fatalf("%d refused, %d counted, %d in the log", refused, server.Refused(), len(server.Appended()))
		}
	})
}

// Guards against a held read that an append does not wake.
func TestReadWaitsForARecord(t *testing.T) {
	_, client := serve(t, platform.Options{LongPollTimeout: 10 * time.Second, ReadTimeout: time.Minute})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	got := make(chan error, 1)
	go func() {
		page, err := client.Read(ctx, 1, 10)
		if err == nil && len(page.Records) != 1 {
			err = errors.New("page has no record")
		}
		got <- err
	}()
	appendN(t, client, 1)
	if err := <-got; err != nil {
		t.Fatal(err)
	}
}

// Guards against a control path that accepts invalid JSON, or accepts faults and
// does not apply them.
func TestControl(t *testing.T) {
	server, client := serve(t, platform.Options{})
	put := func(body string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL()+PathFaults, bytes.NewBufferString(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	if status := put(`{"away":true}`); status != http.StatusOK || !server.Faults().Unavailable {
		t.Fatalf("status %d, faults %+v", status, server.Faults())
	}
	if _, err := client.Read(t.Context(), 1, 1); err == nil {
		t.Fatal("read succeeded while the service is unavailable")
	}
	if status := put(`{`); status != http.StatusBadRequest || !server.Faults().Unavailable {
		t.Fatalf("status %d, faults %+v", status, server.Faults())
	}
}
