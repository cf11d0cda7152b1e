package claim

import "testing"

// Guards against a record of another instance that ends the process.
func FuzzOps(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{8, 1, 18, 1, 97})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeOp(data) })
}
