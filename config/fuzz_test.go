package config

import "testing"

// Guards against a head or a change of another instance that ends the process.
func FuzzHeads(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodeHead(data)
		_, _ = DecodeChange(data)
	})
}
