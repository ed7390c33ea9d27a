package ledger

// publicationResult is the result of a publication. It is stored so that a
// repeated publication gets the same answer.
type publicationResult struct {
	// Digest is a hash of the content of the publication.
	Digest   uint64    `json:"digest"`
	Accepted bool      `json:"accepted,omitempty"`
	Conflict bool      `json:"conflict,omitempty"`
	Revision uint64    `json:"revision"`
	Problems []Problem `json:"problems,omitempty"`
}
