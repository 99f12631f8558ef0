package frame

import "encoding/binary"

// Append appends the encoded frame to dst and returns the result.
func Append(dst []byte, f Frame) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(sizeHeader+len(f.Body)))
	dst = append(dst, f.Kind, f.Flags)
	dst = binary.BigEndian.AppendUint64(dst, f.Stream)
	return append(dst, f.Body...)
}

// Withdraw turns the encoded frame at the start of buf into a Skip frame, which its receiver ignores.
func Withdraw(buf []byte) {
	buf[sizeLength] = Skip
}
