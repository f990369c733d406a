package main

import "time"

const (
	// largeGang and smallGang are the members of the gang with and without the disruption.
	largeGang = 1300
	smallGang = 1000
)

// gang hands in one job whose step is a gang, to an idle deployment with room for it four times
// over, and then asks for the job.
func (d *drill) gang() {
	w := d.w
	members := smallGang
	if d.trouble {
		members = largeGang
	}
	j := d.newJob(0, &step{Count: members, Cpu: 500, MemMb: 128, EstimatedMs: 2000, Gang: true, workMS: 2000})
	if !d.r.handIn(j, jobsPrefix) {
		w.log("the job is not accepted")
		return
	}
	time.Sleep(30 * time.Second)
	w.log("GET %s: %q", j.id, d.r.state(j, 10))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log("the gang has %d members, all done: %v", members, j.allDone())
}
