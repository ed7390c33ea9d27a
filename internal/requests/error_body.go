package requests

// errorBody is the JSON body of an error response.
type errorBody struct {
	Code         string `json:"code"`
	Verdict      string `json:"verdict"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}
