package job

import "testing"

// Guards against a record or an ID of another writer that ends the process.
func FuzzRecords(f *testing.F) {
	f.Add([]byte(`{"id":"x","state":"accepted","runs":1}`), "00-x")
	f.Fuzz(func(_ *testing.T, data []byte, id string) {
		_, _ = Decode(data)
		_, _, _ = ParseID(id)
	})
}
