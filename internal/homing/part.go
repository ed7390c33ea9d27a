package homing

// Part is a range of consecutive tasks of a job with the same home shard.
type Part struct {
	Shard string
	First int32
	Count int32
}
