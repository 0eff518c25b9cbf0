package wire

import (
	"fmt"
	"time"

	"github.com/ragworthitch/ragworthitch"
)

// MaxRefusals is the number of refusals that a view may carry. Their frames take about a
// quarter of maxViewFrame.
const MaxRefusals = 512

type (
	// Refusal is a connection that a target refused to an instance.
	Refusal struct {
		Target ragworthitch.Boot
		Age    time.Duration
	}

	refusalFrame struct {
		_ struct{} `cbor:",toarray"`
		T string
		B int64
		A int64 // milliseconds
	}
)

func encodeRefusals(refusals []Refusal) []refusalFrame {
	var out []refusalFrame
	for _, r := range refusals {
		out = append(out, refusalFrame{T: r.Target.ID(), B: r.Target.Started(), A: encodeAge(r.Age)})
	}
	return out
}

func decodeRefusals(frames []refusalFrame) ([]Refusal, error) {
	if len(frames) > MaxRefusals {
		return nil, fmt.Errorf("%w: %d refusals", ErrBadFrame, len(frames))
	}
	var out []Refusal
	for _, f := range frames {
		age, err := decodeAge(f.A)
		if err != nil {
			return nil, err
		}
		out = append(out, Refusal{Target: ragworthitch.NewBoot(f.T, f.B), Age: age})
	}
	return out, nil
}
