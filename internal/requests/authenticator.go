package requests

// Authenticator maps a key to its team.
type Authenticator interface {
	Authenticate(key string) (Team, KeyState)
}
