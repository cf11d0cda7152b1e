package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// stopwatch starts a clock and returns its reading.
func stopwatch() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// processorTime returns the user and system time that a function used in this
// process, which on a shared machine is less noisy than wall time.
func processorTime(run func() error) (time.Duration, error) {
	before, err := processUsage()
	if err != nil {
		return 0, err
	}
	if err := run(); err != nil {
		return 0, err
	}
	after, err := processUsage()
	return after - before, err
}

func processUsage() (time.Duration, error) {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), err
}

// allocated returns how much memory a function allocated in total.
func allocated(run func() error) (bytes, objects float64, err error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err = run()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc), float64(after.Mallocs - before.Mallocs), err
}

// retained returns the memory that stays in use for the value that a function
// builds.
func retained[T any](build func() (T, error)) (float64, T, error) {
	before := inUse()
	value, err := build()
	after := inUse()
	runtime.KeepAlive(value)
	return max(0, after-before), value, err
}

// inUse is the memory of the heap and of stacks after a collection.
func inUse() float64 {
	var stats runtime.MemStats
	// The second collection frees what the first one's finalizers released.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// perCall returns the processor time and the allocations of one of many calls.
func perCall(calls int, call func(i int)) (nanoseconds, objects float64, err error) {
	var took time.Duration
	_, objects, err = allocated(func() (err error) {
		took, err = processorTime(func() error {
			for i := range calls {
				call(i)
			}
			return nil
		})
		return err
	})
	return float64(took.Nanoseconds()) / float64(calls), objects / float64(calls), err
}
