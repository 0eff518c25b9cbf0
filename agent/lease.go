package agent

import "encoding/json"

// DecodeLease reads a lease row's value.
func DecodeLease(b []byte) (LeaseValue, error) {
	var v LeaseValue
	err := json.Unmarshal(b, &v)
	return v, err
}
