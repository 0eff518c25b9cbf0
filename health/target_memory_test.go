package health

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// memoryCase is a case of testdata/memory.yaml. Sizes are in MiB.
type memoryCase struct {
	Name  string
	Steps []struct {
		Survived  float64
		Crashed   float64
		Body      float64 // of the request under suspicion, with Crashed
		Explained bool    // expected result of Crashed
		Fits      float64 // largest size that fits then; 0: not checked
	}
}

func mib(n float64) int { return int(n * (1 << 20)) }

// Guards against sending a target more than it can hold, and against taking a crash for
// lack of memory for the crash of a poison request or the other way round.
func TestTargetMemory(t *testing.T) {
	for _, tt := range cases.Load[memoryCase](t, "testdata/memory.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			var m TargetMemory
			for i, s := range tt.Steps {
				if s.Survived > 0 {
					m.Survived("s", mib(s.Survived))
				}
				if s.Crashed > 0 {
					assert.Equal(t, s.Explained, m.Crashed("s", mib(s.Crashed), mib(s.Body)), "step %d", i)
				}
				if s.Fits > 0 {
					assert.True(t, m.Fits("s", mib(s.Fits)), "step %d: %v MiB", i, s.Fits)
					assert.False(t, m.Fits("s", mib(s.Fits)+1), "step %d: over %v MiB", i, s.Fits)
				}
				assert.True(t, m.Fits("other", mib(1e6)), "another service")
			}
		})
	}
}
