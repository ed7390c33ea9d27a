package requests

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
)

// UpstreamDump is the state of one upstream.
type UpstreamDump struct {
	Name    string                `json:"name"`
	Waiting int                   `json:"waiting"`
	Service time.Duration         `json:"service_ns"`
	Runners []router.RunnerReport `json:"runners"`
}
