package ledger

// memberDetails is what a join tells beyond the needs of ownership.
type memberDetails struct {
	Address     string `json:"address"`
	HTTPAddress string `json:"http_address"`
	Region      string `json:"region"`
	Nodes       int32  `json:"nodes"`
	JoinNumber  uint64 `json:"join_number"`
}
