package requests

import (
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Names of the request headers that the entry node reads or sets.
const (
	HeaderID         = "Medlar-Request-Id"
	HeaderIdempotent = "Medlar-Idempotent"
	HeaderDeadline   = "Medlar-Deadline"
	HeaderClass      = "Medlar-Class"
	// HeaderTeam carries the team's name to the runner. A value set by the
	// caller is removed.
	HeaderTeam = "Medlar-Team"
)

const (
	pathPrefix  = "/v1/upstreams/"
	maxURIBytes = 8 << 10
	maxKeyBytes = 512
)

var (
	upstreamNamePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$`)
	requestIDPattern    = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
)

// rejection returns an error for a request that provably did not run.
func rejection(code, format string, args ...any) error {
	return verdict.New(verdict.DidNotRun, code, format, args...)
}

// decodePath splits the path into the upstream and the URI for the runner.
func decodePath(u *url.URL) (upstream, uri string, err error) {
	escaped := u.EscapedPath()
	if len(escaped)+len(u.RawQuery) > maxURIBytes {
		return "", "", rejection(CodeBadPath, "the path and query are longer than %d bytes", maxURIBytes)
	}
	rest, ok := strings.CutPrefix(escaped, pathPrefix)
	if !ok {
		return "", "", rejection(CodeBadPath, "path %q does not begin with %s", escaped, pathPrefix)
	}
	upstream, rest, _ = strings.Cut(rest, "/")
	if !upstreamNamePattern.MatchString(upstream) {
		return "", "", rejection(CodeBadPath, "upstream %q is not a valid name, expected up to 63 characters of a-z, 0-9 and -", upstream)
	}
	decoded, err := url.PathUnescape(rest)
	if err != nil {
		return "", "", rejection(CodeBadPath, "path %q is not escaped correctly", rest)
	}
	for part := range strings.SplitSeq(strings.ReplaceAll(decoded, `\`, "/"), "/") {
		if part == "." || part == ".." {
			return "", "", rejection(CodeBadPath, "path %q has a dot segment", rest)
		}
	}
	for _, text := range []string{decoded, u.RawQuery} {
		if strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			return "", "", rejection(CodeBadPath, "the path or query has a control character")
		}
	}
	if strings.ContainsAny(u.RawQuery, " #") {
		return "", "", rejection(CodeBadPath, "the query is not escaped correctly")
	}
	uri = "/" + rest
	if u.RawQuery != "" {
		uri += "?" + u.RawQuery
	}
	return upstream, uri, nil
}

// singleHeader returns the value of a header, or "" if the header is absent. An
// empty value and more than one value are errors.
func singleHeader(h http.Header, name string) (string, error) {
	values := h.Values(name)
	if len(values) > 1 {
		return "", rejection(CodeBadHeader, "header %s is given %d times, expected once", name, len(values))
	}
	if len(values) == 0 {
		return "", nil
	}
	if values[0] == "" {
		return "", rejection(CodeBadHeader, "header %s is empty", name)
	}
	return values[0], nil
}

// decodeDeadline parses a Go duration or a number of milliseconds. The result
// is capped at maxDeadline.
func decodeDeadline(s string, maxDeadline time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		ms, numErr := strconv.ParseInt(s, 10, 64)
		if numErr != nil {
			return 0, rejection(CodeBadHeader, "header %s is %q, expected a duration such as 1.5s or milliseconds", HeaderDeadline, s)
		}
		d = time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
	}
	if d <= 0 {
		return 0, rejection(CodeBadHeader, "header %s is %q, expected a duration greater than zero", HeaderDeadline, s)
	}
	return min(d, maxDeadline), nil
}

func decodeKey(h http.Header) (string, error) {
	value, err := singleHeader(h, "Authorization")
	if err != nil {
		return "", err
	}
	scheme, key, ok := strings.Cut(value, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyBytes {
		return "", rejection(CodeMissingKey, "header Authorization is missing or not of the form \"Bearer KEY\"")
	}
	return key, nil
}

func decodeIdempotent(method string, h http.Header) (bool, error) {
	value, err := singleHeader(h, HeaderIdempotent)
	switch {
	case err != nil:
		return false, err
	case value == "true":
		return true, nil
	case value == "false":
		return false, nil
	case value != "":
		return false, rejection(CodeBadHeader, "header %s is %q, expected true or false", HeaderIdempotent, value)
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true, nil
	}
	return false, nil
}

// decodeHeader sets the fields of c that come from headers: idempotent, id,
// deadline and class.
func (c *call) decodeHeader(h http.Header, o Options) error {
	var err error
	if c.idempotent, err = decodeIdempotent(c.method, h); err != nil {
		return err
	}
	if c.id, err = singleHeader(h, HeaderID); err != nil {
		return err
	}
	if c.id != "" && !requestIDPattern.MatchString(c.id) {
		c.id = ""
		return rejection(CodeBadHeader, "header %s is not 1 to 128 characters of A-Z, a-z, 0-9 and . _ : -", HeaderID)
	}
	if c.id == "" && !c.idempotent {
		return rejection(CodeMissingID, "a non-idempotent request needs the header %s", HeaderID)
	}
	value, err := singleHeader(h, HeaderDeadline)
	if err != nil {
		return err
	}
	c.deadline = min(o.DefaultDeadline, o.Router.MaxRequestTime)
	if value != "" {
		if c.deadline, err = decodeDeadline(value, o.Router.MaxRequestTime); err != nil {
			return err
		}
	}
	if value, err = singleHeader(h, HeaderClass); err != nil || value == "" {
		return err
	}
	if err := c.class.UnmarshalText([]byte(value)); err != nil {
		return rejection(CodeBadHeader, "header %s is %q, expected %s, %s or %s", HeaderClass, value, work.Urgent, work.Normal, work.Background)
	}
	return nil
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}
