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
	// PathFaults is the control path for GET and PUT of Faults in JSON.
	PathFaults = "/control/faults"
	// maxLongPollTimeout and maxPageRecords limit the wait_ms and max parameters
	// of a read.
	maxLongPollTimeout = 10 * time.Second
	maxPageRecords     = 1024
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
		writeNotAppended(w, http.StatusBadRequest, "body is incomplete")
		return
	}
	offset, err := s.Append(r.Context(), payload)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, logsvc.AppendResponse{Offset: offset})
	case errors.Is(err, errResponseLost):
		// ErrAbortHandler closes the connection without a response.
		panic(http.ErrAbortHandler)
	case len(payload) > logsvc.MaxRecordBytes:
		writeNotAppended(w, http.StatusRequestEntityTooLarge, err.Error())
	case s.Faults().Unavailable:
		writeNotAppended(w, http.StatusServiceUnavailable, err.Error())
	default:
		writeNotAppended(w, http.StatusTooManyRequests, err.Error())
	}
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	maxRecords, err := strconv.Atoi(query.Get("max"))
	if err != nil || maxRecords < 1 {
		maxRecords = maxPageRecords
	}
	waitMs, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitMs < 0 {
		waitMs = int(DefaultLongPollTimeout.Milliseconds())
	}
	page, err := s.readWithTimeout(r.Context(), from, min(maxRecords, maxPageRecords),
		min(time.Duration(waitMs)*time.Millisecond, maxLongPollTimeout))
	status := http.StatusOK
	if errors.Is(err, logsvc.ErrTrimmed) {
		status = http.StatusGone
	} else if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	response := logsvc.PageResponse{Records: []logsvc.WireRecord{}, Oldest: page.Oldest, End: page.End}
	for _, record := range page.Records {
		response.Records = append(response.Records, logsvc.WireRecord(record))
	}
	writeJSON(w, status, response)
}

func (s *Service) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Service) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

// writeNotAppended writes the response of a refused append.
func writeNotAppended(w http.ResponseWriter, status int, reason string) {
	appended := false
	writeJSON(w, status, logsvc.AppendResponse{Appended: &appended, Reason: reason})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
