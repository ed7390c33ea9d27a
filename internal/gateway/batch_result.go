package gateway

import "github.com/medlarpulley/medlarpulley/internal/verdict"

// BatchResult is the result of submitting one job of a batch.
type BatchResult struct {
	ID string `json:"id"`
	// Verdict says whether the job was accepted.
	Verdict verdict.Verdict `json:"verdict"`
	Status  *JobStatus      `json:"status,omitempty"`
	Error   *Problem        `json:"error,omitempty"`
}

// FailedBatchResult returns the result of a job whose submission failed with err.
func FailedBatchResult(id string, err error) BatchResult {
	p := problemOf(err)
	return BatchResult{ID: id, Verdict: p.Verdict, Error: p}
}
