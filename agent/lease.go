package agent

import "encoding/json"

// DecodeLease decodes the value of a lease row.
func DecodeLease(b []byte) (LeaseValue, error) {
	var v LeaseValue
	err := json.Unmarshal(b, &v)
	return v, err
}
