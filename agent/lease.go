package agent

import "encoding/json"

// decodeLease reads a lease row's value.
func decodeLease(b []byte) (LeaseValue, error) {
	var v LeaseValue
	err := json.Unmarshal(b, &v)
	return v, err
}

// DecodeLease reads a lease row's value, for entries.
func DecodeLease(b []byte) (LeaseValue, error) { return decodeLease(b) }
