package wire

import (
	"fmt"

	"github.com/ragworthitch/ragworthitch/fairshare"
)

// Bounds of reported usage. maxUsageTokens is far above the memory of all engines, and keeps
// sums over all instances within an int.
const (
	maxUsageTokens = 1 << 40
	maxUsageName   = 256 // bytes of the name of a service or an organisation
)

// usageFrame is the CBOR form of a fairshare.Usage.
type usageFrame struct {
	_ struct{} `cbor:",toarray"`
	S string
	O string
	K int
}

func encodeUsage(usage []fairshare.Usage) []usageFrame {
	var out []usageFrame
	for _, u := range usage {
		if len(u.Service) > maxUsageName || len(u.Org) > maxUsageName {
			continue
		}
		out = append(out, usageFrame{S: u.Service, O: u.Org, K: min(u.Tokens, maxUsageTokens)})
	}
	return out
}

func decodeUsage(frames []usageFrame) ([]fairshare.Usage, error) {
	var out []fairshare.Usage
	orgs := map[string]int{} // by service
	for _, f := range frames {
		if f.K < 0 || f.K > maxUsageTokens || len(f.S) > maxUsageName || len(f.O) > maxUsageName {
			return nil, fmt.Errorf("%w: usage of %d tokens, names of %d and %d bytes", ErrBadFrame, f.K, len(f.S), len(f.O))
		}
		if orgs[f.S]++; orgs[f.S] > fairshare.MaxReported {
			return nil, fmt.Errorf("%w: usage of more than %d organisations of a service", ErrBadFrame, fairshare.MaxReported)
		}
		out = append(out, fairshare.Usage{Service: f.S, Org: f.O, Tokens: f.K})
	}
	return out, nil
}
