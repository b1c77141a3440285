package testcluster

import (
	"time"

	"github.com/prometheus/procfs"
)

// processCPU reads the processor time of a process from /proc.
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

// processResident reads the resident memory of a process from /proc, in bytes.
func processResident(pid int) (int64, error) {
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
