package cell

import (
	"crypto/sha256"
	"encoding/base64"
)

// keyHashBytes is how much of the SHA-256 hash of an API key is kept.
const keyHashBytes = 16

// Principal is who submitted or cancels a submission.
type Principal struct {
	// Team is the name of the client account at the time of the call; empty for a call to a queue
	// that needs no API key.
	Team string `json:"team"`
	// KeyHash identifies the API key of the call, see HashKey; empty if it had no valid one.
	// Unlike the name of the team, it stays the same when the team is renamed.
	KeyHash string `json:"key,omitempty"`
}

// HashKey returns a hash that identifies an API key and does not reveal it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return base64.RawURLEncoding.EncodeToString(sum[:keyHashBytes])
}

// Owns reports whether a submission is of the principal's team, or was submitted with the
// principal's key, perhaps while the team had another name.
func (p Principal) Owns(s *Submission) bool {
	return p.Team == s.Team || p.KeyHash != "" && p.KeyHash == s.KeyHash
}
