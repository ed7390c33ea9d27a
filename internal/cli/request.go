package cli

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

func (a *app) addRequest() {
	r := apiclient.Request{}
	var class, data string
	var idempotent, idempotentSet bool
	cmd := a.command("request", "Send one request to an upstream.", func() error {
		if err := r.Class.UnmarshalText([]byte(class)); err != nil {
			return usageError{err}
		}
		r.Body = []byte(data)
		if path, isFile := strings.CutPrefix(data, "@"); isFile {
			body, err := a.readInput(path)
			if err != nil {
				return err
			}
			r.Body = body
		}
		r.Method = strings.ToUpper(r.Method)
		r.Idempotent = idempotent
		if !idempotentSet {
			r.Idempotent = r.Method != http.MethodPost && r.Method != http.MethodPatch
		}
		if r.ID == "" {
			r.ID = uuid.NewString()
		}
		return a.sendRequest(r)
	})
	cmd.Arg("upstream", "Name of the upstream.").Required().StringVar(&r.Upstream)
	cmd.Arg("path", "Path at the upstream.").Default("/").StringVar(&r.Path)
	cmd.Flag("method", "HTTP method.").Short('X').Default("GET").StringVar(&r.Method)
	cmd.Flag("data", "Body; @FILE for a file, @- for the input.").Short('d').StringVar(&data)
	cmd.Flag("idempotent", "Whether the request may run more than once. By default POST and PATCH may not.").IsSetByUser(&idempotentSet).BoolVar(&idempotent)
	cmd.Flag("id", "Id of the request. Made up if not given.").StringVar(&r.ID)
	cmd.Flag("class", "Class of the request.").Default("normal").EnumVar(&class, "urgent", "normal", "background")
	cmd.Flag("deadline", "Time that the response is waited for, sent as Medlar-Deadline.").Default("30s").DurationVar(&r.Timeout)
}

func (a *app) sendRequest(r apiclient.Request) error {
	client, ctx, cancel, err := a.client()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := client.Request(ctx, r)
	if err != nil {
		return err
	}
	if err := a.printResponse(r, resp); err != nil {
		return err
	}
	if code := responseExitCode(resp); code != ExitOK {
		return exitError(code)
	}
	return nil
}

func (a *app) printResponse(r apiclient.Request, resp apiclient.Response) error {
	if a.output == "json" {
		return a.printJSON(struct {
			ID      string          `json:"id"`
			Entry   string          `json:"entry"`
			Status  int             `json:"status"`
			Verdict verdict.Verdict `json:"verdict"`
			Header  http.Header     `json:"header"`
			Body    []byte          `json:"body_base64"`
		}{r.ID, resp.Entry, resp.Status, resp.Verdict, resp.Header, resp.Body})
	}
	fmt.Fprintf(a.std.Err, "%d %s, verdict %s, id %s\n", resp.Status, http.StatusText(resp.Status), resp.Verdict, r.ID)
	_, err := a.std.Out.Write(resp.Body)
	return err
}

func responseExitCode(resp apiclient.Response) int {
	switch {
	case resp.Status < 400:
		return ExitOK
	case resp.Verdict == verdict.MayHaveRun:
		return ExitMayHaveRun
	case resp.Verdict == verdict.DidRun:
		return ExitWorkFailed
	case resp.Status >= 500 || resp.Status == http.StatusTooManyRequests:
		return ExitUnavailable
	default:
		return ExitRefused
	}
}
