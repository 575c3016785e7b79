package packer

import "github.com/fxamacker/cbor/v2"

// DecodeReports exposes decodeReports to the fuzz test.
func DecodeReports(b []byte) ([]Report, error) {
	var wire []wireReport
	if err := decMode.Unmarshal(b, &wire); err != nil {
		return nil, err
	}
	return decodeReports(wire)
}

// EncodeReports exposes encodeReports to the fuzz test.
func EncodeReports(d *Datagram) ([]byte, error) {
	wire, err := encodeReports(d.Reports, d.Sender.Address)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(wire)
}
