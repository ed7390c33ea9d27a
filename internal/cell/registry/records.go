package registry

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Keys of the work topic. A prefix is followed by the name of the object.
const (
	keyOwner         = "o"
	keyHosts         = "h"
	prefixNode       = "n/"
	prefixSubmission = "s/"
	prefixProgress   = "p/"
	prefixCancel     = "c/"
)

// Owner is the node that decides for the cell.
type Owner struct {
	Node string `json:"node"`
	// Boot tells the lives of a node's process apart.
	Boot string `json:"boot"`
	// Token rises with each owner. Hosts refuse orders with a lower one.
	Token int64 `json:"token"`
	// Released is set once the owner has given up its duty.
	Released bool `json:"released,omitempty"`
	// Beat makes heartbeats differ.
	Beat int64 `json:"beat,omitempty"`
}

// Node is a process of the system.
type Node struct {
	Name    string `json:"name"`
	Boot    string `json:"boot"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Left is set by a planned stop.
	Left bool `json:"left,omitempty"`
}

func record(key string, value any) platform.Record {
	data, err := json.Marshal(value)
	if err != nil {
		panic(eris.Wrapf(err, "encode record %q", key)) // all values are plain structs
	}
	return platform.Record{Key: key, Value: data}
}

// OwnerRecord returns the record of an owner.
func OwnerRecord(o Owner) platform.Record { return record(keyOwner, o) }

// HostsRecord returns the record of the hosts that the owner uses.
func HostsRecord(hosts []cell.Host) platform.Record { return record(keyHosts, hosts) }

// NodeRecord returns the record of a node.
func NodeRecord(n Node) platform.Record { return record(prefixNode+n.Name, n) }

// SubmissionRecord returns the record of an accepted submission.
func SubmissionRecord(s *cell.Submission) platform.Record { return record(prefixSubmission+s.ID, s) }

// ProgressRecord returns the record of the progress of a submission.
func ProgressRecord(id string, p cell.Progress) platform.Record { return record(prefixProgress+id, p) }

// CancelRecord returns the record of a cancellation.
func CancelRecord(id string) platform.Record { return record(prefixCancel+id, true) }

// ForgetRecords returns the records that drop every key of a submission.
func ForgetRecords(id string) []platform.Record {
	return []platform.Record{{Key: prefixProgress + id}, {Key: prefixCancel + id}, {Key: prefixSubmission + id}}
}

// IsOwner reports whether a record tells of an owner.
func IsOwner(r platform.Record) bool { return r.Key == keyOwner }

// IsNode reports whether a record tells of a node.
func IsNode(r platform.Record) bool { return strings.HasPrefix(r.Key, prefixNode) }
