package requests

// KeyState is the result of checking an API key.
type KeyState uint8

const (
	// KeyUnknown is a key that is not in the configuration.
	KeyUnknown KeyState = iota
	// KeyValid is a key that grants access.
	KeyValid
	// KeyWithdrawn is a key that was withdrawn.
	KeyWithdrawn
	// ConfigStale means that the node can't verify that its configuration is up
	// to date, so no key is accepted.
	ConfigStale
)
