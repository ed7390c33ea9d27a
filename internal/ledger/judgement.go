package ledger

// judgement is the verdict on a publication, kept so that a repeated one gets
// the same answer.
type judgement struct {
	// Digest identifies the content of the publication.
	Digest   uint64    `json:"digest"`
	Accepted bool      `json:"accepted,omitempty"`
	Conflict bool      `json:"conflict,omitempty"`
	Revision uint64    `json:"revision"`
	Problems []Problem `json:"problems,omitempty"`
}
