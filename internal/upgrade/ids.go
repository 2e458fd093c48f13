package upgrade

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
)

// idBytes is the length of an encoded ID before base64.
const idBytes = 8

// errIDLength reports IDs whose encoding has been cut.
var errIDLength = errors.New("length of the IDs is no multiple of 8 bytes")

// IDs are hashes of request IDs. In JSON they are base64 of their little-endian bytes.
type IDs []uint64

// MarshalText returns the encoded IDs.
func (ids IDs) MarshalText() ([]byte, error) {
	data := make([]byte, 0, len(ids)*idBytes)
	for _, id := range ids {
		data = binary.LittleEndian.AppendUint64(data, id)
	}
	return base64.StdEncoding.AppendEncode(nil, data), nil
}

// UnmarshalText decodes IDs. It returns an error if the text is no base64, or no whole number of IDs.
func (ids *IDs) UnmarshalText(text []byte) error {
	data, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil {
		return err
	}
	if len(data)%idBytes != 0 {
		return errIDLength
	}
	*ids = make(IDs, 0, len(data)/idBytes)
	for ; len(data) > 0; data = data[idBytes:] {
		*ids = append(*ids, binary.LittleEndian.Uint64(data))
	}
	return nil
}
