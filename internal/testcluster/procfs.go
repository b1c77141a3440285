package testcluster

import (
	"time"

	"github.com/prometheus/procfs"
)

// processCPU reads the processor time used by a process from /proc.
func processCPU(pid int) (time.Duration, error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return 0, err
	}
	stat, err := process.Stat()
	if err != nil {
		return 0, err
	}
	return time.Duration(stat.CPUTime() * float64(time.Second)), nil
}

// processResidentBytes reads the resident memory of a process from /proc.
func processResidentBytes(pid int) (int64, error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return 0, err
	}
	stat, err := process.Stat()
	if err != nil {
		return 0, err
	}
	return int64(stat.ResidentMemory()), nil
}

// processStopped reports whether all threads of a process have stopped.
func processStopped(pid int) bool {
	threads, err := procfs.AllThreads(pid)
	if err != nil {
		return false
	}
	for _, thread := range threads {
		if stat, err := thread.Stat(); err != nil || stat.State != "T" {
			return false
		}
	}
	return true
}
