package hostlist

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against one odd entry of another writer that makes the whole host list
// unreadable, so that no later change of it is seen.
func TestOddEntriesLeaveTheOthers(t *testing.T) {
	const first, last = `{"id":"a","role":"worker","address":"127.0.0.1:1","capacity":{"milli_cpu":1000,"memory_mib":1000}}`, `{"id":"b","role":"worker"}`
	nested := func(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }
	for name, odd := range map[string]string{
		"null":                           `null`,
		"number":                         `1e400`,
		"text with brackets":             `"]},{\"id\":\"c\"}"`,
		"list":                           `[]`,
		"ID as a number":                 `{"id":7,"role":"worker"}`,
		"very long ID":                   `{"id":"` + strings.Repeat("i", 100_000) + `","role":"worker"}`,
		"ID with a line break":           `{"id":"x\n","role":"worker"}`,
		"role as a number":               `{"id":"x","role":7}`,
		"address as a list":              `{"id":"x","role":"worker","address":[]}`,
		"capacity of 1e400":              `{"id":"x","role":"worker","capacity":{"milli_cpu":1e400}}`,
		"capacity as a fraction":         `{"id":"x","role":"worker","capacity":{"milli_cpu":1.5}}`,
		"capacity that overflows":        `{"id":"x","role":"worker","capacity":{"milli_cpu":9223372036854775808}}`,
		"largest integer as capacity":    `{"id":"x","role":"worker","capacity":{"milli_cpu":9223372036854775807}}`,
		"negative capacity":              `{"id":"x","role":"worker","capacity":{"memory_mib":-1}}`,
		"negative slots":                 `{"id":"x","role":"runner","slots":-1}`,
		"slots beyond any process":       `{"id":"x","role":"runner","slots":9223372036854775807}`,
		"9,000 levels in a known field":  `{"id":"x","role":"worker","address":` + nested(9_000) + `}`,
		"100,000 levels":                 `{"id":"x","role":"worker","x":` + nested(100_000) + `}`,
		"a million levels without an ID": nested(1_000_000),
	} {
		for form, body := range map[string]string{
			"alone":             `{"hosts":[` + first + `,` + odd + `,` + last + `]}`,
			"with other fields": ` { "version" : 7 , "hosts" : [ ` + first + ` , ` + odd + ` , ` + last + ` ] , "next":null}`,
		} {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
			c, err := NewClient(s.URL, 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			hosts, err := c.Hosts(t.Context())
			if err != nil || len(hosts) != 2 || hosts[0].ID != "a" || hosts[1].ID != "b" {
				t.Errorf("%s, %s: %d hosts, error %.200v", name, form, len(hosts), err)
			}
			c.Close()
			s.Close()
		}
	}
}

// Guards against a truncated list that is taken for a short one.
func TestTruncatedListIsRefused(t *testing.T) {
	for _, body := range []string{
		``, `null`, `[]`, `{}`, `{"hosts":{}}`, `{"hosts":[`, `{"hosts":[{"id":"a","role":"worker"}`, `{"hosts":[{"id":"a","role":"worker"},`,
		`{"hosts":[{"id":"a","role":"worker"]}`, `{"hosts":["a]}`, `{"hosts":[}]}`,
	} {
		if entries, err := splitEntries([]byte(body)); err == nil {
			t.Errorf("%s: accepted with %d entries", body, len(entries))
		}
	}
	for _, body := range []string{`{"hosts":[]}`, `{"hosts":null}`, ` {"hosts" : [ ] }`} {
		if entries, err := splitEntries([]byte(body)); err != nil || len(entries) != 0 {
			t.Errorf("%s: %d entries, error %v", body, len(entries), err)
		}
	}
}

// Guards against a list that ends the process or is split at the wrong places.
func FuzzSplitEntries(f *testing.F) {
	f.Add([]byte(`{"x":[1],"hosts":[{"id":"a\"]"},[[],{}],"]",1e5,null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := splitEntries(data)
		if err != nil {
			return
		}
		for _, e := range entries {
			if len(e) == 0 {
				t.Errorf("an empty entry in %q", data)
			}
		}
	})
}
