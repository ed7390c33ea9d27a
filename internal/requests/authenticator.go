package requests

// Authenticator resolves an API key to its team and to the team's permissions
// at an upstream.
type Authenticator interface {
	Authenticate(key, upstream string) (Team, KeyState)
}
