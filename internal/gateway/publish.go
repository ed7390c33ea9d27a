package gateway

import (
	"net/http"
	"strconv"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/medlarpulley/medlarpulley/internal/objects"
)

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	var body rawBody
	p := body.read(w, r, s.cfg.MaxPublicationBytes, s.cfg.BodyTimeout)
	var pub Publication
	if p == nil {
		pub, p = decodePublication(body)
	}
	if p != nil {
		s.writeProblem(w, p)
		return
	}
	result, err := s.backend.Publish(r.Context(), pub)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	s.writeSuccess(w, http.StatusOK, result)
}

func (s *Server) objects(w http.ResponseWriter, r *http.Request) {
	vars := pathvar.Vars(r)
	q := ObjectQuery{Kind: objects.Kind(vars["kind"]), Name: vars["name"]}
	if q.Kind != "" && !q.Kind.Known() {
		s.writeProblem(w, refusal(CodeNotFound, "no such kind of object"))
		return
	}
	list, err := s.backend.Objects(r.Context(), q)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	if q.Name != "" && len(list.Objects) == 0 {
		s.writeProblem(w, refusal(CodeNotFound, "no such object"))
		return
	}
	s.writeSuccess(w, http.StatusOK, list)
}

func (s *Server) diff(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, p := parseRevision("from", query.Get("from"))
	var to uint64
	if p == nil {
		to, p = parseRevision("to", query.Get("to"))
	}
	if p != nil {
		s.writeProblem(w, p)
		return
	}
	result, err := s.backend.Diff(r.Context(), from, to)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	s.writeSuccess(w, http.StatusOK, result)
}

func (s *Server) revision(w http.ResponseWriter, r *http.Request) {
	revision, p := parseRevision("revision", pathvar.Vars(r)["revision"])
	if p != nil {
		s.writeProblem(w, p)
		return
	}
	status, err := s.backend.RevisionStatus(r.Context(), revision)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	s.writeSuccess(w, http.StatusOK, status)
}

func parseRevision(field, text string) (uint64, *Problem) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalidField(field, text, "a revision, which is a whole number")
	}
	return n, nil
}
