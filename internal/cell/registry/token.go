package registry

// TokensPerTerm is the distance between the fencing tokens of successive owners. An owner uses
// its own token and those above it, below that of the next owner, for the calls to a host that
// restarts during its term.
const TokensPerTerm = 1024

// NextToken returns the fencing token of the owner after the one with a token.
func NextToken(token int64) int64 { return (token/TokensPerTerm + 1) * TokensPerTerm }
