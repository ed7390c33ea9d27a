package schedule

// recent is a map that holds the newest entries, up to a limit.
type recent[K comparable, V any] struct {
	limit   int
	entries map[K]V
	// keys holds the keys of the entries. Once it is full, the oldest one is at next.
	keys []K
	next int
}

func newRecent[K comparable, V any](limit int) recent[K, V] {
	return recent[K, V]{limit: limit, entries: make(map[K]V)}
}

// set sets an entry. If it is a new one beyond the limit, the oldest is dropped.
func (r *recent[K, V]) set(key K, value V) {
	if _, ok := r.entries[key]; !ok {
		if len(r.keys) < r.limit {
			r.keys = append(r.keys, key)
		} else {
			delete(r.entries, r.keys[r.next])
			r.keys[r.next] = key
			r.next = (r.next + 1) % r.limit
		}
	}
	r.entries[key] = value
}

func (r *recent[K, V]) get(key K) (value V, ok bool) {
	value, ok = r.entries[key]
	return value, ok
}
