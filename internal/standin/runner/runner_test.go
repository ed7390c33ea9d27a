package runner

import (
	"io"
	"net/http"
	"strings"
	"testing"

	platform "github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a runner that executes more requests than it has slots, does not
// count an execution or ignores its control paths.
func TestSlotsRecordAndControl(t *testing.T) {
	r, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	send := func(path, id, body string) int {
		req, err := http.NewRequest(http.MethodPost, "http://"+r.Address()+path, strings.NewReader(body))
		if err != nil {
			t.Error(err)
			return 0
		}
		req.Header.Set(platform.HeaderRequestID, id)
		resp, err := client.Do(req)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		if _, err := io.ReadAll(resp.Body); err != nil {
			return -1
		}
		return resp.StatusCode
	}
	r.Hold()
	codes := make(chan int, Slots)
	for range Slots {
		go func() { codes <- send("/x", "held", "") }()
	}
	for range Slots {
		<-r.StartedRequests()
	}
	if code := send("/x", "ninth", ""); code != http.StatusServiceUnavailable || r.Executions("ninth") != 0 {
		t.Fatalf("the ninth request got %d", code)
	}
	if s := r.Status(); s.InFlight != Slots || len(s.Requests) != Slots {
		t.Fatalf("status %+v", s)
	}
	r.Release()
	for range Slots {
		if code := <-codes; code != http.StatusOK {
			t.Fatalf("a held request got %d", code)
		}
	}
	for body, want := range map[string]int{`{"fail":true,"times":1}`: 500, `{"close_after":true,"times":1}`: 0, `{"truncate":true,"times":1}`: -1} {
		if code := send("/standin/fault", "", body); code != http.StatusOK {
			t.Fatalf("control got %d", code)
		}
		if code := send("/x", body, "body"); code != want || r.Executions(body) != 1 {
			t.Fatalf("%s: got %d and %d executions", body, code, r.Executions(body))
		}
	}
	if send("/standin/leaving", "", ""); !r.Status().Leaving {
		t.Fatal("not leaving")
	}
}
