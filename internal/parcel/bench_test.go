package parcel_test

import "testing"

// What a host needs to give, and to take, a configuration of 2,800 routes as a difference from 1,400.
func BenchmarkNewParcel(b *testing.B) {
	old := text(0, 1400)
	value := text(0, 2800)
	b.ReportAllocs()
	for b.Loop() {
		pack(b, value, 7, old)
	}
}

func BenchmarkRows(b *testing.B) {
	old := text(0, 1400)
	p := pack(b, text(0, 2800), 7, old)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Rows(old); err != nil {
			b.Fatal(err)
		}
	}
}
