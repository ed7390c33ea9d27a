package objects

// Limit is an upper limit over the whole fleet that teams refer to.
type Limit struct {
	// Amount stays as written in the contract, such as "120 slots".
	Amount string `json:"amount" toml:"amount"`
}
