package main

import (
	"runtime"
	"syscall"
	"unsafe"
)

// cpuSet is a set of cores, as the kernel takes it.
type cpuSet [16]uint64

func affinity(call uintptr, set *cpuSet) error {
	if _, _, e := syscall.RawSyscall(call, 0, unsafe.Sizeof(*set), uintptr(unsafe.Pointer(set))); e != 0 {
		return e
	}
	return nil
}

// onOneCore calls start, and has a process that it starts run on one core, as a machine of the site has.
// The number chooses the core.
func onOneCore(number int, start func() error) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one cpuSet
	if err := affinity(syscall.SYS_SCHED_GETAFFINITY, &all); err != nil {
		return err
	}
	var cores []int
	for i := range len(all) * 64 {
		if all[i/64]>>(i%64)&1 == 1 {
			cores = append(cores, i)
		}
	}
	core := cores[number%len(cores)]
	one[core/64] = 1 << (core % 64)
	if err := affinity(syscall.SYS_SCHED_SETAFFINITY, &one); err != nil {
		return err
	}
	defer func() { _ = affinity(syscall.SYS_SCHED_SETAFFINITY, &all) }() // it was so before
	return start()
}
