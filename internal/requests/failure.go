package requests

// failure is the JSON body of a refusal.
type failure struct {
	Code         string `json:"code"`
	Verdict      string `json:"verdict"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}
