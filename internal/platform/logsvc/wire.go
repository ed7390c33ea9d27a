package logsvc

// The HTTP protocol of the log service.
//
//	POST PathRecords          body: payload; answer: AppendAnswer
//	GET  PathRecords?from=&max=&wait_ms=     answer: PageAnswer
//
// An answer other than 200 with "appended": false tells that the record was
// not appended. A read of a trimmed offset is answered with 410.
const (
	// PathRecords is the path of the records.
	PathRecords = "/v1/records"
	// MaxRecordBytes is the largest payload of one record.
	MaxRecordBytes = 1 << 20
	// MaxPageBytes bounds the payloads of one page, apart from its first record.
	MaxPageBytes = 4 << 20
)

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset,omitempty"`
	// Appended is false if the service refused the append.
	Appended *bool  `json:"appended,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// PageAnswer is the answer to a read.
type PageAnswer struct {
	Records []WireRecord `json:"records"`
	Oldest  uint64       `json:"oldest"`
	End     uint64       `json:"end"`
}

// WireRecord is one record of a PageAnswer.
type WireRecord struct {
	Offset  uint64 `json:"offset"`
	Payload []byte `json:"payload"`
}
