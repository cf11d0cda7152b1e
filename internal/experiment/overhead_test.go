package experiment

import "testing"

// BenchmarkOverhead reports the processor time per request. The goal is an added_ratio
// of at most 1.5.
func BenchmarkOverhead(b *testing.B) {
	overhead, err := MeasureOverhead(b.N)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(overhead.Direct.Microseconds()), "us_direct")
	b.ReportMetric(float64(overhead.Relay.Microseconds()), "us_relay")
	b.ReportMetric(float64(overhead.Entry.Microseconds()), "us_entry")
	b.ReportMetric(overhead.AddedRatio(), "added_ratio")
}
