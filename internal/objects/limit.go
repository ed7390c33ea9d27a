package objects

// Limit bounds the resources in use on the whole cluster at a time. Teams refer to
// it by name.
type Limit struct {
	// Amount is kept as written, such as "120 slots".
	Amount string `json:"amount" toml:"amount"`
}
