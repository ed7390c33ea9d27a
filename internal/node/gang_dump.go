package node

import (
	"github.com/medlarpulley/medlarpulley/internal/ganghold"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// GangDump is the diagnostic state of the coordinator of a gang.
type GangDump struct {
	Job work.JobID `json:"job"`
	ganghold.Dump
}
