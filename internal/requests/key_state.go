package requests

// KeyState is the result of checking a key.
type KeyState uint8

const (
	// KeyUnknown is a key that is not in the configuration.
	KeyUnknown KeyState = iota
	// KeyValid is a key in force.
	KeyValid
	// KeyWithdrawn is a key that was withdrawn.
	KeyWithdrawn
	// ConfigStale means that the node can't prove its configuration fresh.
	ConfigStale
)
