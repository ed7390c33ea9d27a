package homing

// Part is a range of tasks with one home shard.
type Part struct {
	Shard string
	First int32
	Count int32
}
