package objects

import (
	"crypto/sha256"
	"encoding/hex"
)

// Key lets its holder submit work for a team. The secret itself is not kept.
type Key struct {
	Team string `json:"team" toml:"team"`
	// SHA256 is the hash of the secret in lower-case hexadecimal.
	SHA256 string `json:"sha256" toml:"sha256"`
}

// HashSecret returns the form of a secret that a Key holds.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
