package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// stopwatch returns a function that returns the time since the call of stopwatch.
func stopwatch() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// processorTime returns the user and system time that a function used in this
// process, which on a shared machine is less noisy than wall time.
func processorTime(run func() error) (time.Duration, error) {
	before, err := usedProcessorTime()
	if err != nil {
		return 0, err
	}
	if err := run(); err != nil {
		return 0, err
	}
	after, err := usedProcessorTime()
	return after - before, err
}

func usedProcessorTime() (time.Duration, error) {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), err
}

// allocated returns how many bytes and objects a function allocated in total.
func allocated(run func() error) (bytes, objects float64, err error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err = run()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc), float64(after.Mallocs - before.Mallocs), err
}

// retained returns the value that a function builds and the bytes that the value
// keeps in use.
func retained[T any](build func() (T, error)) (float64, T, error) {
	before := memoryInUse()
	value, err := build()
	after := memoryInUse()
	runtime.KeepAlive(value)
	return max(0, after-before), value, err
}

// memoryInUse returns the bytes of the heap and of stacks after a garbage collection.
func memoryInUse() float64 {
	var stats runtime.MemStats
	// The second collection frees what finalizers released after the first one.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// costPerCall returns the mean processor time and number of allocations of a call.
func costPerCall(calls int, call func(i int)) (nanoseconds, objects float64, err error) {
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
