package objects

import (
	"crypto/sha256"
	"encoding/hex"
)

// Key authenticates the holder of a secret as a team. Only the hash of the secret
// is stored.
type Key struct {
	Team string `json:"team" toml:"team"`
	// SHA256 is the hash of the secret in lower-case hexadecimal.
	SHA256 string `json:"sha256" toml:"sha256"`
}

// HashSecret returns the hash of a secret as stored in Key.SHA256.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
