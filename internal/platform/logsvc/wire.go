package logsvc

// The HTTP protocol of the log service.
//
//	POST PathRecords          body: payload; response: AppendResponse
//	GET  PathRecords?from=&max=&wait_ms=     response: PageResponse
//
// A response with a status other than 200 and "appended": false means that the
// record was not appended. The response to a read of a trimmed offset has
// status 410.
const (
	// PathRecords is the path for appending and reading records.
	PathRecords = "/v1/records"
	// MaxRecordBytes is the maximum payload size of one record.
	MaxRecordBytes = 1 << 20
	// MaxPageBytes limits the total payload size of one page. The service adds
	// records until the limit is reached, so the last record may exceed it.
	MaxPageBytes = 4 << 20
)

// AppendResponse is the JSON body of the response to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset,omitempty"`
	// Appended is false if the service did not append the record.
	Appended *bool  `json:"appended,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// PageResponse is the JSON body of the response to a read.
type PageResponse struct {
	Records []WireRecord `json:"records"`
	Oldest  uint64       `json:"oldest"`
	End     uint64       `json:"end"`
}

// WireRecord is one record of a PageResponse. JSON encodes Payload in base64.
type WireRecord struct {
	Offset  uint64 `json:"offset"`
	Payload []byte `json:"payload"`
}
