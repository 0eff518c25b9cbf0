package load

import "github.com/ragworthitch/ragworthitch"

type (
	// received is one token as the caller got it.
	received struct {
		offset  int
		attempt int
		text    string
		atNs    int64
	}

	// verdict is what the checker found in one answer.
	verdict struct {
		missing  int
		repeated int
		mixed    bool
		gaps     []int64 // resume gaps the caller saw, in ns
	}
)

// check proves an answer whole: every offset once, each token the chain's
// successor of the one before it, so that two generations never mix.
func check(toks []received, want int) verdict {
	var v verdict
	seen := make(map[int]bool, len(toks))
	byOffset := make([]string, want)
	for i, t := range toks {
		if seen[t.offset] || t.offset < 0 || t.offset >= want {
			v.repeated++
			continue
		}
		seen[t.offset] = true
		byOffset[t.offset] = t.text
		if i > 0 && t.attempt != toks[i-1].attempt {
			v.gaps = append(v.gaps, t.atNs-toks[i-1].atNs)
		}
	}
	v.missing = want - len(seen)
	for i := 1; i < want; i++ {
		if byOffset[i] == "" || byOffset[i-1] == "" {
			continue
		}
		if ragworthitch.NextToken(byOffset[i-1], i) != byOffset[i] {
			v.mixed = true
		}
	}
	return v
}
