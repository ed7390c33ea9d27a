package apiclient

import (
	"fmt"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
)

// RemoteError is an error that an entry node reported.
type RemoteError struct {
	Entry   string
	Status  int
	Problem gateway.Problem
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Entry, e.Status, e.Problem.Message)
}
