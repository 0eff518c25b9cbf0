package wire

import (
	"fmt"

	"github.com/ragworthitch/ragworthitch"
)

// MaxDraining is the number of draining targets that a view may carry. Their frames take about
// a quarter of maxViewFrame.
const MaxDraining = 512

type (
	// Draining is a target that said in an answer to an instance that it is draining.
	Draining struct {
		Target  ragworthitch.Boot
		Address string // ip:port; targets without a start time may return elsewhere
	}

	drainingFrame struct {
		_ struct{} `cbor:",toarray"`
		T string
		B int64
		A string
	}
)

func encodeDraining(draining []Draining) []drainingFrame {
	var out []drainingFrame
	for _, d := range draining {
		out = append(out, drainingFrame{T: d.Target.ID(), B: d.Target.Started(), A: d.Address})
	}
	return out
}

func decodeDraining(frames []drainingFrame) ([]Draining, error) {
	if len(frames) > MaxDraining {
		return nil, fmt.Errorf("%w: %d draining targets", ErrBadFrame, len(frames))
	}
	var out []Draining
	for _, f := range frames {
		out = append(out, Draining{Target: ragworthitch.NewBoot(f.T, f.B), Address: f.A})
	}
	return out, nil
}
