package load

import "github.com/ragworthitch/ragworthitch"

type (
	// receivedToken is a token that the caller received.
	receivedToken struct {
		offset       int
		attempt      int
		text         string
		receivedAtNs int64
	}

	// tokenCheck is the result of checkTokens.
	tokenCheck struct {
		missing        int
		repeated       int
		mixed          bool    // with tokens of another generation
		resumeDelaysNs []int64 // between the last token of an attempt and the first of the next
	}
)

// checkTokens checks that an answer has every offset from 0 to total - 1 once. As
// each token determines the next, it also finds answers that mix tokens of two
// generations.
func checkTokens(tokens []receivedToken, total int) tokenCheck {
	var result tokenCheck
	seen := make(map[int]bool, len(tokens))
	byOffset := make([]string, total)
	for i, t := range tokens {
		if seen[t.offset] || t.offset < 0 || t.offset >= total {
			result.repeated++
			continue
		}
		seen[t.offset] = true
		byOffset[t.offset] = t.text
		if i > 0 && t.attempt != tokens[i-1].attempt {
			result.resumeDelaysNs = append(result.resumeDelaysNs, t.receivedAtNs-tokens[i-1].receivedAtNs)
		}
	}
	result.missing = total - len(seen)
	for i := 1; i < total; i++ {
		if byOffset[i] == "" || byOffset[i-1] == "" {
			continue
		}
		if ragworthitch.NextToken(byOffset[i-1], i) != byOffset[i] {
			result.mixed = true
		}
	}
	return result
}
