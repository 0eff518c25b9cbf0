package entry_test

import (
	"context"
	"fmt"
	"runtime"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/rwtest"
)

// BenchmarkResume measures the time from the crash of an engine to the next
// token, from the other engine.
func BenchmarkResume(b *testing.B) {
	d := rwtest.StartDeployment(b, rwtest.DeploymentOptions{Engines: 2, StepMs: 2})
	ctx := context.Background()
	var total time.Duration
	b.ResetTimer()
	for i := range b.N {
		s, err := d.Entry.Generate(ctx, longRequest(fmt.Sprintf("r%d", i), 120), "a prompt of a few words")
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := s.Next(ctx, 40); err != nil {
			b.Fatal(err)
		}
		n := len(nextTokens(b, s, 0))
		for _, e := range d.Engines {
			e.CloseConnections()
		}
		killed := time.Now()
		toks, done, err := s.Next(ctx, n)
		for len(toks) == 0 && !done && err == nil {
			toks, done, err = s.Next(ctx, n)
		}
		if err != nil {
			b.Fatal(err)
		}
		total += time.Since(killed)
		nextTokens(b, s, 0)
		readToEnd(b, s)
	}
	b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), "ms/resume")
}

func nextTokens(tb testing.TB, s interface {
	Next(context.Context, int) ([]ragworthitch.Token, bool, error)
}, from int) []ragworthitch.Token {
	toks, _, err := s.Next(context.Background(), from)
	if err != nil {
		tb.Fatal(err)
	}
	return toks
}

func readToEnd(tb testing.TB, s interface {
	Next(context.Context, int) ([]ragworthitch.Token, bool, error)
}) int {
	n := 0
	for {
		toks, done, err := s.Next(context.Background(), n)
		if err != nil {
			tb.Fatal(err)
		}
		n += len(toks)
		if done {
			return n
		}
	}
}

// BenchmarkShortUnderLongLoad measures the latency of plain calls with and
// without long generations through the same entry instance.
func BenchmarkShortUnderLongLoad(b *testing.B) {
	for _, long := range []int{0, 128} {
		b.Run(fmt.Sprintf("long=%d", long), func(b *testing.B) {
			d := rwtest.StartDeployment(b, rwtest.DeploymentOptions{Engines: 4, Services: 1, StepMs: 2, Batch: 64})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var wg sync.WaitGroup
			for i := range long {
				s, err := d.Entry.Generate(ctx, longRequest(fmt.Sprintf("l%d", i), ragworthitch.MaxTokens), "a long wear report")
				if err != nil {
					b.Fatal(err)
				}
				wg.Add(1)
				go func() { defer wg.Done(); readUntilCancelled(ctx, s) }()
			}
			latenciesMs := make([]float64, 0, b.N)
			b.ResetTimer()
			for i := range b.N {
				req := ragworthitch.NewRequest(ragworthitch.RequestParams{ID: fmt.Sprintf("s%d", i), Org: "o", Kind: ragworthitch.KindShort, Op: "status"})
				t0 := time.Now()
				if _, err := d.Entry.Call(ctx, req); err != nil {
					b.Fatal(err)
				}
				latenciesMs = append(latenciesMs, float64(time.Since(t0).Microseconds())/1000)
			}
			b.StopTimer()
			cancel()
			sort.Float64s(latenciesMs)
			b.ReportMetric(latenciesMs[len(latenciesMs)/2], "p50-ms")
			b.ReportMetric(latenciesMs[len(latenciesMs)*99/100], "p99-ms")
		})
	}
}

func readUntilCancelled(ctx context.Context, s interface {
	Next(context.Context, int) ([]ragworthitch.Token, bool, error)
}) {
	n := 0
	for ctx.Err() == nil {
		toks, done, err := s.Next(ctx, n)
		n += len(toks)
		if done || err != nil {
			return
		}
	}
}

// BenchmarkPathTokens measures the CPU time per delivered token and the heap per
// stream, with engine stand-in, agent and entry instance in one process.
func BenchmarkPathTokens(b *testing.B) {
	for _, streams := range []int{32, 128} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			d := rwtest.StartDeployment(b, rwtest.DeploymentOptions{Engines: 4, StepMs: 1, Batch: 256})
			ctx := context.Background()
			tokensPerStream := 400
			var ms runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&ms)
			heapBefore := ms.HeapInuse
			cpuBefore := cpuTime()
			b.ResetTimer()
			tokens := 0
			var peak uint64
			for i := range b.N {
				var wg sync.WaitGroup
				var mu sync.Mutex
				for j := range streams {
					s, err := d.Entry.Generate(ctx, longRequest(fmt.Sprintf("p%d-%d", i, j), tokensPerStream), "a prompt")
					if err != nil {
						b.Fatal(err)
					}
					wg.Add(1)
					go func() {
						defer wg.Done()
						n := readToEnd(b, s)
						mu.Lock()
						tokens += n
						mu.Unlock()
					}()
				}
				wg.Wait()
				runtime.ReadMemStats(&ms)
				peak = max(peak, ms.HeapInuse)
			}
			b.StopTimer()
			cpu := cpuTime() - cpuBefore
			b.ReportMetric(float64(cpu.Nanoseconds())/float64(tokens)/1000, "cpu-us/token")
			if peak > heapBefore {
				// Finished streams are kept for reconnects, so the heap holds
				// every stream.
				b.ReportMetric(float64(peak-heapBefore)/float64(streams*b.N)/1024, "heap-KiB/stream")
			}
		})
	}
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
