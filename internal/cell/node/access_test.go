package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a 410 to GET and DELETE, and a 409 to POST, for accepted work that runs, since a
// later desired state names its team otherwise, or its queue needs a key now, or none any more.
func TestWorkIsFoundAfterAChangeOfItsTeamOrQueue(t *testing.T) {
	const id, body = "5c0e7a21d94b36f8", `{"spec":"x","steps":[{"count":60,"cpu":1000,"memMb":64,"estimateMs":1000}]}`
	withKey, withoutKey := `"service":"s"`, `"service":"s","public":true`
	for name, c := range map[string]struct {
		before, after                 *strings.Replacer
		keyBefore, keyAfter, otherKey string
	}{
		"the team is renamed":      {strings.NewReplacer(), strings.NewReplacer(`"name":"a"`, `"name":"renamed"`), "key-a", "key-a", "key-b"},
		"the queue becomes public": {strings.NewReplacer(), strings.NewReplacer(withKey, withoutKey), "key-a", "", ""},
		"the queue needs a key":    {strings.NewReplacer(withKey, withoutKey), strings.NewReplacer(), "", "key-a", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newAdmissionCell(t)
			call := func(method, key string) int {
				r := httptest.NewRequest(method, "http://h.example/q/"+id, strings.NewReader(body))
				if key != "" {
					r.Header.Set("Authorization", "Token "+key)
				}
				w := httptest.NewRecorder()
				a.node.callerHandler.ServeHTTP(w, r)
				return w.Code
			}
			publish := func(version string, changes *strings.Replacer) {
				d := changes.Replace(admissionCellDesired)
				d = strings.NewReplacer(`"version":1`, `"version":`+version, `"tenants":[`, `"tenants":[{"name":"b","apiKeys":["key-b"]},`).Replace(d)
				a.store.Put(platform.TopicDesired, platform.KeyDesired, []byte(d))
				a.waitFor("version "+version+" is in force", 20*time.Second, func() bool {
					d, _ := a.node.Desired()
					return d != nil && string(rune('0'+d.Version)) == version
				})
			}
			publish("2", c.before)
			a.waitFor("the submission is accepted", 20*time.Second, func() bool { return call("POST", c.keyBefore) == http.StatusOK })
			publish("3", c.after)
			for _, method := range []string{"GET", "POST", "DELETE"} {
				if status := call(method, c.keyAfter); status != http.StatusOK {
					t.Errorf("%s gets %d", method, status)
				}
			}
			if c.otherKey != "" {
				if status := call("GET", c.otherKey); status != http.StatusGone {
					t.Errorf("GET of another team gets %d", status)
				}
			}
		})
	}
}
