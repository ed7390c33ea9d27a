package cell

// DesiredField is a field of an object of a desired state.
type DesiredField string

// Fields of a desired state. FieldWhole stands for the whole object.
const (
	FieldWhole         DesiredField = ""
	FieldVersion       DesiredField = "version"
	FieldName          DesiredField = "name"
	FieldHost          DesiredField = "host"
	FieldPathPrefix    DesiredField = "path prefix"
	FieldService       DesiredField = "service"
	FieldWithoutKey    DesiredField = "without key"
	FieldPriority      DesiredField = "priority"
	FieldMaxAttempts   DesiredField = "max attempts"
	FieldStretch       DesiredField = "stretch"
	FieldLatency       DesiredField = "latency"
	FieldTimeout       DesiredField = "timeout"
	FieldAdvice        DesiredField = "advice"
	FieldDecision      DesiredField = "advice decision"
	FieldPerHost       DesiredField = "advice per host"
	FieldValidity      DesiredField = "advice validity"
	FieldEnforces      DesiredField = "enforces capacity"
	FieldStandby       DesiredField = "standby"
	FieldKeys          DesiredField = "keys"
	FieldWeight        DesiredField = "weight"
	FieldCPULimit      DesiredField = "cpu limit"
	FieldMemoryLimit   DesiredField = "memory limit"
	FieldAccelLimit    DesiredField = "accelerator limit"
	FieldHeaderBytes   DesiredField = "header bytes"
	FieldBodyBytes     DesiredField = "body bytes"
	FieldHeaderTimeout DesiredField = "header timeout"
	FieldIdleTimeout   DesiredField = "idle timeout"
)
