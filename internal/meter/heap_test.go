package meter_test

import "runtime"

// heap returns the bytes in use after a collection.
func heap() int64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
