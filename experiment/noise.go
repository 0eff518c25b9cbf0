package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/emulator"
)

// Noise describes phases in which an engine is slower, each engine at times of its
// own. The zero value is none.
type Noise struct {
	Share   float64 `yaml:"share"`   // of the time, below 1
	Factor  float64 `yaml:"factor"`  // on the engine's durations
	PhaseMs int     `yaml:"phaseMs"` // mean length of a noisy phase
}

// mean returns the mean factor on an engine's durations.
func (n Noise) mean() float64 {
	if n.Share == 0 {
		return 1
	}
	return 1 + n.Share*(n.Factor-1)
}

// run makes an engine noisy from time to time until ctx ends. The lengths of phases
// are exponentially distributed.
func (n Noise) run(ctx context.Context, node *emulator.Node, rng *rand.Rand) {
	noisy := float64(n.PhaseMs) * float64(time.Millisecond)
	quiet := noisy * (1 - n.Share) / n.Share
	for clock.Sleep(ctx, time.Duration(quiet*rng.ExpFloat64())) {
		node.SetNoise(n.Factor)
		clock.Sleep(ctx, time.Duration(noisy*rng.ExpFloat64()))
		node.SetNoise(1)
	}
}
