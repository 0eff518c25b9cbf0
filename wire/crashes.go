package wire

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/poison"
)

// sortCrashes returns the crashes in the order of their frames: those under requests, those under
// parts, and those with weak evidence.
func sortCrashes(crashes []poison.Crash) []poison.Crash {
	kind := func(c poison.Crash) int {
		switch {
		case c.Phase != poison.Begun:
			return 2
		case c.Part != "":
			return 1
		}
		return 0
	}
	out := slices.Clone(crashes)
	slices.SortStableFunc(out, func(x, y poison.Crash) int { return cmp.Compare(kind(x), kind(y)) })
	return out
}

// encodeEvidence returns what the crashes say, by their place among all frames of crashes.
func encodeEvidence(crashes []poison.Crash) []evidenceFrame {
	var out []evidenceFrame
	for i, c := range sortCrashes(crashes) {
		if c.Weight != 0 || c.Verdict {
			out = append(out, evidenceFrame{I: i, W: c.Weight, V: c.Verdict})
		}
	}
	return out
}

// decodeEvidence adds what the frames say to the crashes.
func decodeEvidence(frames []evidenceFrame, crashes []poison.Crash) error {
	for _, f := range frames {
		if f.I < 0 || f.I >= len(crashes) || !(f.W >= 0) || math.IsInf(f.W, 0) {
			return fmt.Errorf("%w: evidence %+v of %d crashes", ErrBadFrame, f, len(crashes))
		}
		crashes[f.I].Weight, crashes[f.I].Verdict = f.W, f.V
	}
	return nil
}

// encodeCrashes returns the frames of the crashes under requests, under parts, and of those
// with weak evidence, and how far the calls of the last had come.
func encodeCrashes(crashes []poison.Crash) (requests []crashFrame, parts []partCrashFrame, weak []weakCrashFrame, progress []progressFrame) {
	for _, c := range sortCrashes(crashes) {
		f := crashFrame{F: c.Fingerprint[:], T: c.Boot.ID(), B: c.Boot.Started(), C: c.Call, A: c.InOutage, W: c.RecentSuccesses, O: c.Org, S: c.Service, V: c.Version}
		if c.Phase != poison.Begun {
			if c.Furthest != (poison.Progress{}) {
				progress = append(progress, progressFrame{I: len(weak), T: c.Progress.Total, A: c.Progress.Attempt, M: c.Furthest.Total, B: c.Furthest.Attempt})
			}
			weak = append(weak, weakCrashFrame{C: f, P: c.Part, S: c.SoundBefore, G: encodeAge(c.Age), H: uint8(c.Phase), R: encodeAge(c.Ran)})
			continue
		}
		if c.Part == "" {
			requests = append(requests, f)
			continue
		}
		parts = append(parts, partCrashFrame{C: f, P: c.Part, S: c.SoundBefore, G: encodeAge(c.Age)})
	}
	return requests, parts, weak, progress
}

func decodeCrashes(requests []crashFrame, parts []partCrashFrame, weak []weakCrashFrame, progress []progressFrame) ([]poison.Crash, error) {
	var out []poison.Crash
	for _, f := range requests {
		c, err := decodeCrash(f)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	for _, f := range parts {
		c, err := decodeCrash(f.C)
		if err != nil {
			return nil, err
		}
		if c.Age, err = decodeAge(f.G); err != nil || f.P == "" {
			return nil, fmt.Errorf("%w: crash under part %q: %v", ErrBadFrame, f.P, err)
		}
		c.Part, c.SoundBefore = f.P, f.S
		out = append(out, c)
	}
	firstWeak := len(out)
	for _, f := range weak {
		c, err := decodeWeakCrash(f)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	for _, f := range progress {
		if f.I < 0 || f.I >= len(weak) || min(f.T, f.A, f.M, f.B) < 0 {
			return nil, fmt.Errorf("%w: progress %+v of %d crashes", ErrBadFrame, f, len(weak))
		}
		c := &out[firstWeak+f.I]
		c.Progress, c.Furthest = poison.Progress{Total: f.T, Attempt: f.A}, poison.Progress{Total: f.M, Attempt: f.B}
	}
	return out, nil
}

func decodeWeakCrash(f weakCrashFrame) (poison.Crash, error) {
	c, err := decodeCrash(f.C)
	if err != nil {
		return poison.Crash{}, err
	}
	c.Part, c.SoundBefore, c.Phase = f.P, f.S, poison.Phase(f.H)
	if c.Phase != poison.Waiting && c.Phase != poison.Late {
		return poison.Crash{}, fmt.Errorf("%w: crash with weak evidence in phase %d", ErrBadFrame, f.H)
	}
	if c.Age, err = decodeAge(f.G); err != nil {
		return poison.Crash{}, err
	}
	c.Ran, err = decodeAge(f.R)
	return c, err
}

func decodeCrash(f crashFrame) (poison.Crash, error) {
	print, err := decodeFingerprint(f.F)
	return poison.Crash{Fingerprint: print, Boot: ragworthitch.NewBoot(f.T, f.B), Call: f.C, InOutage: f.A, RecentSuccesses: f.W, Org: f.O, Service: f.S, Version: f.V}, err
}

func encodeSoundRuns(runs []poison.SoundRun) (frames []soundRunFrame, cleared []clearedBootsFrame, complete []int) {
	for i, r := range runs {
		frames = append(frames, soundRunFrame{F: r.Part[:], S: r.Service, V: r.Version, G: encodeAge(r.Age)})
		if r.Extent == poison.ToEnd {
			complete = append(complete, i)
		}
		if len(r.Boots) == 0 {
			continue
		}
		f := clearedBootsFrame{I: i}
		for _, boot := range r.Boots {
			f.T = append(f.T, bootFrame{T: boot.ID(), B: boot.Started()})
		}
		cleared = append(cleared, f)
	}
	return frames, cleared, complete
}

func decodeSoundRuns(frames []soundRunFrame, cleared []clearedBootsFrame, complete []int) ([]poison.SoundRun, error) {
	var out []poison.SoundRun
	for _, f := range frames {
		print, err := decodeFingerprint(f.F)
		if err != nil {
			return nil, err
		}
		age, err := decodeAge(f.G)
		if err != nil {
			return nil, err
		}
		out = append(out, poison.SoundRun{Part: print, Service: f.S, Version: f.V, Age: age})
	}
	for _, i := range complete {
		if i < 0 || i >= len(out) {
			return nil, fmt.Errorf("%w: complete run %d of %d", ErrBadFrame, i, len(out))
		}
		out[i].Extent = poison.ToEnd
	}
	for _, f := range cleared {
		if f.I < 0 || f.I >= len(out) {
			return nil, fmt.Errorf("%w: cleared targets of sound run %d of %d", ErrBadFrame, f.I, len(out))
		}
		for _, boot := range f.T {
			out[f.I].Boots = append(out[f.I].Boots, ragworthitch.NewBoot(boot.T, boot.B))
		}
	}
	return out, nil
}

func decodeFingerprint(b []byte) (poison.Fingerprint, error) {
	if len(b) != len(poison.Fingerprint{}) {
		return poison.Fingerprint{}, fmt.Errorf("%w: fingerprint of %d bytes", ErrBadFrame, len(b))
	}
	return poison.Fingerprint(b), nil
}

func encodeAge(age time.Duration) int64 { return min(max(age, 0), maxReportAge).Milliseconds() }

func decodeAge(ms int64) (time.Duration, error) {
	if ms < 0 || ms > maxReportAge.Milliseconds() {
		return 0, fmt.Errorf("%w: age of %d ms", ErrBadFrame, ms)
	}
	return time.Duration(ms) * time.Millisecond, nil
}
