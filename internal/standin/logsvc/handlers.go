package logsvc

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

const (
	// PathFaults is the control path: GET and PUT Faults in JSON.
	PathFaults = "/control/faults"
	// maxPollWait and maxPageRecords bound what a reader may ask for.
	maxPollWait    = 10 * time.Second
	maxPageRecords = 1024
)

func (s *Service) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: logsvc.PathRecords, Handler: s.serveAppend},
		{Method: http.MethodGet, Path: logsvc.PathRecords, Handler: s.serveRead},
		{Method: http.MethodGet, Path: PathFaults, Handler: s.serveFaults},
		{Method: http.MethodPut, Path: PathFaults, Handler: s.serveSetFaults},
	}
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(io.LimitReader(r.Body, logsvc.MaxRecordBytes+1))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body is incomplete")
		return
	}
	offset, err := s.Append(r.Context(), payload)
	switch {
	case err == nil:
		answer(w, http.StatusOK, logsvc.AppendResponse{Offset: offset})
	case errors.Is(err, errLost):
		// ErrAbortHandler closes the connection without an answer.
		panic(http.ErrAbortHandler)
	case len(payload) > logsvc.MaxRecordBytes:
		refuse(w, http.StatusRequestEntityTooLarge, err.Error())
	case s.Faults().Away:
		refuse(w, http.StatusServiceUnavailable, err.Error())
	default:
		refuse(w, http.StatusTooManyRequests, err.Error())
	}
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	most, err := strconv.Atoi(query.Get("max"))
	if err != nil || most < 1 {
		most = maxPageRecords
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || wait < 0 {
		wait = int(PollWait.Milliseconds())
	}
	page, err := s.readFor(r.Context(), from, min(most, maxPageRecords),
		min(time.Duration(wait)*time.Millisecond, maxPollWait))
	status := http.StatusOK
	if errors.Is(err, logsvc.ErrTrimmed) {
		status = http.StatusGone
	} else if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out := logsvc.PageResponse{Records: []logsvc.WireRecord{}, Oldest: page.Oldest, End: page.End}
	for _, record := range page.Records {
		out.Records = append(out.Records, logsvc.WireRecord(record))
	}
	answer(w, status, out)
}

func (s *Service) serveFaults(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.Faults())
}

func (s *Service) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	answer(w, http.StatusOK, f)
}

func refuse(w http.ResponseWriter, status int, reason string) {
	appended := false
	answer(w, status, logsvc.AppendResponse{Appended: &appended, Reason: reason})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
