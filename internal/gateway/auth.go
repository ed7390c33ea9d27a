package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// maxKeyBytes bounds a key or token, so that hashing stays cheap.
const maxKeyBytes = 512

// bearer returns the bearer token of a request; present is false if there is
// no Authorization header at all.
func bearer(r *http.Request) (token string, present bool, p *Problem) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", false, nil
	}
	scheme, token, ok := strings.Cut(values[0], " ")
	if len(values) > 1 || !ok || !strings.EqualFold(scheme, "Bearer") || token == "" || len(token) > maxKeyBytes {
		return "", true, refusal(CodeUnauthenticated, "want one header Authorization: Bearer KEY")
	}
	return token, true, nil
}

// isOperator compares hashes, so that neither content nor length of the token
// shows in the time that it takes.
func (s *Server) isOperator(token string) bool {
	if s.cfg.OperatorToken == "" {
		return false
	}
	got, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(s.cfg.OperatorToken))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// asCaller authenticates by key. A request without a key goes on with an
// empty team: queues open to all need none.
func (s *Server) asCaller(next func(http.ResponseWriter, *http.Request, Caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, present, p := bearer(r)
		if p != nil {
			s.fail(w, p)
			return
		}
		if !present {
			next(w, r, Caller{})
			return
		}
		if s.isOperator(token) {
			next(w, r, Caller{Operator: true})
			return
		}
		team, err := s.backend.Authenticate(r.Context(), token)
		if err != nil {
			s.failWith(w, r, err)
			return
		}
		next(w, r, Caller{Team: team})
	}
}

func (s *Server) asOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, present, p := bearer(r)
		switch {
		case s.cfg.OperatorsOpen:
		case p != nil:
			s.fail(w, p)
			return
		case !present || !s.isOperator(token):
			s.fail(w, refusal(CodeUnauthenticated, "want the operator token as Authorization: Bearer TOKEN"))
			return
		}
		next(w, r)
	}
}
