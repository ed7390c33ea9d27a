package ledger

// memberDetails holds the data of a join that the ownership rules do not need.
type memberDetails struct {
	Address     string `json:"address"`
	HTTPAddress string `json:"http_address"`
	Region      string `json:"region"`
	Nodes       int32  `json:"nodes"`
	JoinNumber  uint64 `json:"join_number"`
}
