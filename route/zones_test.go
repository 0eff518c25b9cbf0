package route

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against streams that leave their zone without need and meet packet
// loss between zones.
func TestZones(t *testing.T) {
	tests := []struct {
		name          string
		local, remote EngineCandidate
		stays         bool
	}{
		{"equal load", EngineCandidate{}, EngineCandidate{}, true},
		{"one more local stream", EngineCandidate{Running: 1}, EngineCandidate{}, true},
		{"two more local streams", EngineCandidate{Running: 2}, EngineCandidate{}, false},
		{"a local prompt waits", EngineCandidate{Backlog: 1, Running: 1}, EngineCandidate{}, false},
		{"preferred target in the other zone", EngineCandidate{}, EngineCandidate{Preference: 1}, true},
		{"interrupted stream, cached prefix in the other zone", EngineCandidate{Returning: true}, EngineCandidate{Returning: true, Preference: 1}, false},
		{"local zone outage", EngineCandidate{ZoneOutage: 1}, EngineCandidate{Running: 3}, false},
		{"link loses packets, two local prompts wait", EngineCandidate{Backlog: 2, Running: 2}, EngineCandidate{Loss: 1}, true},
		{"link loses packets, local zone outage", EngineCandidate{ZoneOutage: 1}, EngineCandidate{Loss: 1}, false},
	}
	for _, tt := range tests {
		tt.local.AcceptsCalls, tt.remote.AcceptsCalls, tt.local.SameZone = true, true, true
		assert.Equal(t, tt.stays, Pick([]EngineCandidate{tt.local, tt.remote}, Engines{}, 0) == 0, tt.name)
	}
	calls := []PlainCandidate{{AcceptsCalls: true, SameZone: true, LatencyMs: 40, Running: 2, Slots: 6}, {AcceptsCalls: true, LatencyMs: 40, Slots: 6}}
	assert.Equal(t, 1, Pick(calls, Plain{}, 0))
	calls[1].Loss = 1
	assert.Equal(t, 0, Pick(calls, Plain{}, 0))
}
