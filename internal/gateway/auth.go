package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// maxKeyBytes bounds the length of a key or token, so that hashing stays cheap.
const maxKeyBytes = 512

// bearerToken returns the bearer token of a request; present is false if the
// request has no Authorization header.
func bearerToken(r *http.Request) (token string, present bool, p *Problem) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", false, nil
	}
	scheme, token, ok := strings.Cut(values[0], " ")
	if len(values) > 1 || !ok || !strings.EqualFold(scheme, "Bearer") || token == "" || len(token) > maxKeyBytes {
		return "", true, refusal(CodeUnauthenticated, "exactly one header of the form Authorization: Bearer KEY is required")
	}
	return token, true, nil
}

// isOperator compares hashes, so that the duration of the comparison reveals
// neither the content nor the length of the token.
func (s *Server) isOperator(token string) bool {
	if s.cfg.OperatorToken == "" {
		return false
	}
	got, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(s.cfg.OperatorToken))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// authenticateCaller authenticates a request by its key or the operator token. A
// request without either proceeds with an empty team: open queues need no key.
func (s *Server) authenticateCaller(next func(http.ResponseWriter, *http.Request, Caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, present, p := bearerToken(r)
		if p != nil {
			s.writeProblem(w, p)
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
			s.writeError(w, r, err)
			return
		}
		next(w, r, Caller{Team: team})
	}
}

// requireOperator rejects requests without the operator token, unless
// Config.OperatorsOpen is set.
func (s *Server) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, present, p := bearerToken(r)
		switch {
		case s.cfg.OperatorsOpen:
		case p != nil:
			s.writeProblem(w, p)
			return
		case !present || !s.isOperator(token):
			s.writeProblem(w, refusal(CodeUnauthenticated, "the operator token is required as Authorization: Bearer TOKEN"))
			return
		}
		next(w, r)
	}
}
