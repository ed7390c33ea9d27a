package requests

// Authenticator maps a key to its team and what the team may do at an upstream.
type Authenticator interface {
	Authenticate(key, upstream string) (Team, KeyState)
}
