package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// bodyProblem converts an error from reading a body of at most limit bytes.
func bodyProblem(err error, limit int64) *Problem {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return refusal(CodeTooLarge, fmt.Sprintf("the body has more than %d bytes", limit))
	default:
		return refusal(CodeBadRequest, "the body could not be read to its end")
	}
}

// decode accepts exactly one JSON object without unknown fields and with nothing
// after it.
func decode(data []byte, into any) *Problem {
	if !utf8.Valid(data) {
		return invalidField("body", "", "UTF-8")
	}
	if trimmed := bytes.TrimSpace(data); len(trimmed) == 0 || trimmed[0] != '{' {
		return invalidField("body", string(trimmed), "a JSON object")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		return invalidField(wrongType.Field, wrongType.Value, "a value of type "+wrongType.Type.String())
	case err != nil && strings.HasPrefix(err.Error(), "json: unknown field "):
		name := strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		return invalidField(name, "", "only documented fields")
	case err != nil:
		return &Problem{Verdict: verdict.DidNotRun, Code: CodeBadRequest, Field: "body", Message: err.Error()}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalidField("body", "", "one JSON object and nothing after it")
	}
	return nil
}

func decodeJob(data []byte, c Caller) (JobSpec, *Problem) {
	var job JobSpec
	if p := decode(data, &job); p != nil {
		return JobSpec{}, p
	}
	if p := job.applyDefaultsAndCheck(c); p != nil {
		return JobSpec{}, p
	}
	return job, nil
}

// batch is the request body of a batch submission.
type batch struct {
	Jobs []json.RawMessage `json:"jobs"`
}

// decodeBatch decodes a batch. It rejects the whole batch if any job is invalid.
func decodeBatch(data []byte, c Caller, maxJobs int) ([]JobSpec, *Problem) {
	var b batch
	if p := decode(data, &b); p != nil {
		return nil, p
	}
	if len(b.Jobs) == 0 || len(b.Jobs) > maxJobs {
		return nil, invalidField("jobs", fmt.Sprint(len(b.Jobs)), fmt.Sprintf("1 to %d jobs", maxJobs))
	}
	jobs := make([]JobSpec, len(b.Jobs))
	seen := make(map[string]bool, len(b.Jobs))
	for i, raw := range b.Jobs {
		job, p := decodeJob(raw, c)
		if p == nil && seen[job.ID] {
			p = invalidField("id", job.ID, "each id once in a batch")
		}
		if p != nil {
			p.Field = fmt.Sprintf("jobs[%d].%s", i, p.Field)
			return nil, p
		}
		seen[job.ID], jobs[i] = true, job
	}
	return jobs, nil
}

func decodePublication(data []byte) (Publication, *Problem) {
	var pub Publication
	if p := decode(data, &pub); p != nil {
		return Publication{}, p
	}
	if p := pub.check(); p != nil {
		return Publication{}, p
	}
	return pub, nil
}
