package parcel_test

import "testing"

// Measures encoding a configuration of 2,800 routes as a delta to 1,400; BenchmarkRows measures decoding it.
func BenchmarkNewParcel(b *testing.B) {
	old := routes(0, 1400)
	value := routes(0, 2800)
	b.ReportAllocs()
	for b.Loop() {
		pack(b, value, 7, old)
	}
}

func BenchmarkRows(b *testing.B) {
	old := routes(0, 1400)
	p := pack(b, routes(0, 2800), 7, old)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Rows(old); err != nil {
			b.Fatal(err)
		}
	}
}
