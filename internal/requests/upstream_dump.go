package requests

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
)

// UpstreamDump is a snapshot of one upstream for operators.
type UpstreamDump struct {
	Name        string                `json:"name"`
	Waiting     int                   `json:"waiting"`
	ServiceTime time.Duration         `json:"service_ns"`
	Runners     []router.RunnerReport `json:"runners"`
}
