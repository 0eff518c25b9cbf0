package experiment

import (
	"slices"
	"time"
)

// window is the span over which the worst share on time is taken.
const window = 3

// Result is how one variant served a load.
type Result struct {
	Variant   string
	Streams   int
	OnTime    int
	Late      int // whole, but begun late or with too long a pause
	Failed    int
	First     Percentiles // time to the first event
	Pause     Percentiles // longest pause of each stream
	ReadAgain int         // prompt tokens read though a call's prompt had been read
	Copied    int         // tokens copied between engines
	Preempted int
	// Crashed is how many engines a deadly call has crashed, and LateSends how many
	// orders of it reached engines later than spread after it had crashed the third.
	Crashed   int
	LateSends int
	// Second is the share of the streams begun in each second that were on
	// time; -1 where none began.
	Second []float64
	Worst  float64 // the least share on time of streams begun within three seconds

	begun, good  []int // streams, and those on time, by second
	first, pause []time.Duration
}

// Percentiles of a duration.
type Percentiles struct{ P50, P95, P99 time.Duration }

// Share is the part of all streams that were on time.
func (r Result) Share() float64 { return float64(r.OnTime) / float64(max(r.Streams, 1)) }

// normal is the least share on time of the streams begun in a second that
// counts as served as usual.
const normal = 0.95

// Back is how many seconds after the end of a load's last fault the streams
// that begin are served as usual, and stay so; the load's whole time after it
// if they never are.
func (r Result) Back(l Load) int {
	end := int((l.calmFrom() + time.Second - 1) / time.Second)
	back := len(r.Second) - end
	for ; back > 0; back-- {
		if s := r.Second[end+back-1]; s >= 0 && s < normal {
			return back
		}
	}
	return 0
}

func percentiles(ds []time.Duration) Percentiles {
	if len(ds) == 0 {
		return Percentiles{}
	}
	slices.Sort(ds)
	at := func(q float64) time.Duration { return ds[min(int(q*float64(len(ds))), len(ds)-1)] }
	return Percentiles{P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}

// result takes the measures of a play that has ended.
func (p *play) result() Result {
	r := Result{Variant: p.variant.Name, Streams: len(p.callers)}
	r.begun, r.good = make([]int, p.load.Seconds), make([]int, p.load.Seconds)
	for _, c := range p.callers {
		s := int(c.at / time.Second)
		r.begun[s]++
		switch {
		case c.onTime():
			r.OnTime++
			r.good[s]++
		case c.complete():
			r.Late++
		default:
			r.Failed++
		}
		if c.got > 0 {
			r.first = append(r.first, c.first)
		}
		if c.got > 1 {
			r.pause = append(r.pause, c.pause)
		}
	}
	r.Second, r.Worst = shares(r.begun, r.good)
	r.First, r.Pause = percentiles(r.first), percentiles(r.pause)
	read := 0
	for _, place := range p.cluster.Nodes() {
		s := place.Stats()
		read += s.PrefillTokens
		r.Copied += s.ReplicatedTokens
		r.Preempted += s.Preemptions
	}
	r.ReadAgain = max(0, read-p.asked())
	r.Crashed, r.LateSends = p.deadly.result()
	return r
}

// merge adds up the results of several draws of a load. The worst share is
// the mean of theirs.
func merge(rs []Result) Result {
	sum := Result{Variant: rs[0].Variant, begun: make([]int, len(rs[0].begun)), good: make([]int, len(rs[0].begun))}
	for _, r := range rs {
		sum.Streams, sum.OnTime, sum.Late, sum.Failed = sum.Streams+r.Streams, sum.OnTime+r.OnTime, sum.Late+r.Late, sum.Failed+r.Failed
		sum.ReadAgain, sum.Copied, sum.Preempted = sum.ReadAgain+r.ReadAgain, sum.Copied+r.Copied, sum.Preempted+r.Preempted
		sum.Crashed, sum.LateSends = sum.Crashed+r.Crashed, max(sum.LateSends, r.LateSends)
		sum.Worst += r.Worst / float64(len(rs))
		sum.first, sum.pause = append(sum.first, r.first...), append(sum.pause, r.pause...)
		for i := range r.begun {
			sum.begun[i], sum.good[i] = sum.begun[i]+r.begun[i], sum.good[i]+r.good[i]
		}
	}
	sum.Second, _ = shares(sum.begun, sum.good)
	sum.First, sum.Pause = percentiles(sum.first), percentiles(sum.pause)
	return sum
}

// asked is how many prompt tokens the callers sent, each prompt once.
func (p *play) asked() int {
	n := 0
	for _, c := range p.callers {
		n += c.prompt
	}
	return n
}

// shares are the shares of good ones in each second, and the least over any
// window.
func shares(begun, good []int) (second []float64, worst float64) {
	worst = 1
	for i := range begun {
		second = append(second, share(good[i:i+1], begun[i:i+1]))
		if i+window > len(begun) {
			continue
		}
		if s := share(good[i:i+window], begun[i:i+window]); s >= 0 {
			worst = min(worst, s)
		}
	}
	return second, worst
}

// share is the part of good ones, or -1 if there are none at all.
func share(good, all []int) float64 {
	g, n := 0, 0
	for i := range all {
		g, n = g+good[i], n+all[i]
	}
	if n == 0 {
		return -1
	}
	return float64(g) / float64(n)
}
