package requests

// KeyState is the result of checking an API key.
type KeyState uint8

const (
	// KeyUnknown is a key that is not in the configuration. It may have been
	// withdrawn.
	KeyUnknown KeyState = iota
	// KeyValid is a key that grants access.
	KeyValid
	// KeyWithdrawn is for authenticators that remember withdrawn keys. That of the
	// node does not.
	KeyWithdrawn
	// ConfigStale means that the node can't verify that its configuration is up
	// to date, so no key is accepted.
	ConfigStale
)
