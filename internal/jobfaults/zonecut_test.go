package jobfaults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/standin/jobfleet"
)

// zoneInstances are the instances of the zone that is cut off: three of eight, of both pools. Idle pools shrink to
// i3 and i7.
var zoneInstances = []string{"i3", "i4", "spare0"}

// zoneWithOwner selects the owner, another daemon and zoneInstances.
func (d *deployment) zoneWithOwner() (*jobfleet.Daemon, jobfleet.Members) {
	o := d.in.Owner()
	require.NotNil(d.t, o)
	names := append([]string{o.Name}, zoneInstances...)
	for _, dm := range d.in.Daemons() {
		if dm != o {
			names = append(names, dm.Name)
			break
		}
	}
	return o, jobfleet.Only(names...)
}

// cutBoth drops all messages between two groups for duration.
func (d *deployment) cutBoth(a, b jobfleet.Members, duration time.Duration) {
	d.in.Cut(a, b, duration)
	d.in.Cut(b, a, duration)
}

// submitMixedJobs submits jobs with tasks of 200 ms to 14 s to both queues, so that some tasks
// outlast every lease, and some end during it.
func (d *deployment) submitMixedJobs(from int) {
	for i, estimate := range []time.Duration{200, 1500, 4000, 9000, 14000, 3000, 700, 2000} {
		j := batchJob(from + i)
		j.Steps[0].Count = 6
		j.Steps[0].Need = job.Resources{CPUMilli: 1300, MemMB: 100} // together all workers of the pools
		j.Steps[0].Estimate = estimate * time.Millisecond
		prefix := ordersPrefix
		if i%2 == 1 {
			prefix = reportsPrefix
		}
		d.submit(prefix, j)
	}
}

// stutter freezes the daemon for 400 ms of each 500 ms.
func stutter(o *jobfleet.Daemon, duration time.Duration) {
	for at := time.Duration(0); at < duration; at += 500 * time.Millisecond {
		time.AfterFunc(at, func() { o.Gate.Freeze(400 * time.Millisecond) })
	}
}

// TestAZoneIsCutOffWithTheOwner: no task runs twice if the owner is separated from the store and
// from some of the workers, but still reaches the others. The old owner must not conclude from the
// end of a lease that it granted that the runs have ended, as the new owner may have renewed the
// lease; and the new owner must not start what the old one keeps alive.
func TestAZoneIsCutOffWithTheOwner(t *testing.T) {
	both := func(d *deployment, zone jobfleet.Members, cut time.Duration) {
		d.cutBoth(zone, jobfleet.Except(zone), cut)
	}
	for _, c := range []struct {
		name   string
		inject func(d *deployment, o *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration)
	}{
		{"cut", func(d *deployment, _ *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) { both(d, zone, cut) }},
		{"store away", func(d *deployment, _ *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			both(d, zone, cut)
			time.AfterFunc(time.Second, func() { failStoreFor(d, jobfleet.RequestLost, 3*time.Second) })
		}},
		{"store away throughout", func(d *deployment, _ *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			both(d, zone, cut)
			failStoreFor(d, jobfleet.RequestLost, cut+time.Second)
		}},
		{"store away for all, no cut", func(d *deployment, _ *jobfleet.Daemon, _ jobfleet.Members, cut time.Duration) {
			failStoreFor(d, jobfleet.RequestLost, cut)
		}},
		{"slow owner", func(d *deployment, o *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			both(d, zone, cut)
			stutter(o, cut)
		}},
		{"frozen owner", func(d *deployment, o *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			both(d, zone, cut)
			time.AfterFunc(cut/8, func() { o.Gate.Freeze(cut / 2) })
		}},
		{"suspended owner", func(d *deployment, o *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			both(d, zone, cut)
			time.AfterFunc(cut/8, func() { o.Gate.Suspend(cut / 2) })
		}},
		{"outgoing only", func(d *deployment, _ *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			d.in.Cut(zone, jobfleet.Except(zone), cut)
		}},
		{"incoming only", func(d *deployment, _ *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			d.in.Cut(jobfleet.Except(zone), zone, cut)
		}},
		{"connections refused", func(d *deployment, _ *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			d.in.CutRefusing(zone, jobfleet.Except(zone), cut)
		}},
		{"owner stops, its release is not answered", func(d *deployment, o *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			d.in.Cut(jobfleet.Except(zone), zone, cut)
			go d.in.Stop(o.Name)
			for range 500 { // until the next owner is elected, before it calls workers
				time.Sleep(time.Millisecond)
				if d.in.Owner() != nil {
					break
				}
			}
			d.in.Cut(zone, jobfleet.Except(zone), cut)
		}},
		{"twice", func(d *deployment, _ *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			both(d, zone, cut)
			time.AfterFunc(cut+1500*time.Millisecond, func() { both(d, zone, cut) })
		}},
		{"then the zone of the new owner", func(d *deployment, o *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			both(d, zone, cut)
			time.AfterFunc(3*time.Second, func() {
				for _, dm := range d.in.Daemons() {
					if dm != o && dm.Node.IsOwner() {
						second := jobfleet.Only(dm.Name, "i2", "i7")
						both(d, second, cut)
					}
				}
			})
		}},
		{"two zones, the owner in the first", func(d *deployment, o *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			d.cutBoth(zone, d.otherZone(o), cut)
		}},
		{"two zones and the store, the owner in the first", func(d *deployment, o *jobfleet.Daemon, zone jobfleet.Members, cut time.Duration) {
			other := d.otherZone(o)
			d.cutBoth(zone, func(name string) bool { return other(name) || name == jobfleet.StoreMember }, cut)
		}},
	} {
		for _, cut := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second, 15 * time.Second} {
			t.Run(fmt.Sprintf("%s for %s", c.name, cut), func(t *testing.T) {
				simulate(t, func(d *deployment) {
					time.Sleep(time.Second) // until the daemons have read the member list
					d.submitMixedJobs(0)
					time.Sleep(5 * time.Second) // until the pools have grown
					d.submitMixedJobs(50)
					time.Sleep(600 * time.Millisecond)
					o, zone := d.zoneWithOwner()
					c.inject(d, o, zone, cut)
					time.Sleep(cut / 3)
					d.submitBatchJobs(100, 6)
					time.Sleep(cut)
					d.submitMixedJobs(200)
					d.awaitCompletion(90 * time.Second)
				})
			})
		}
	}
}

// otherZone selects two daemons other than the owner o, and three instances.
func (d *deployment) otherZone(o *jobfleet.Daemon) jobfleet.Members {
	names := []string{"i2", "i6", "i7"}
	daemons := d.in.Daemons()
	for i := len(daemons) - 1; len(names) < 5; i-- {
		if daemons[i] != o {
			names = append(names, daemons[i].Name)
		}
	}
	return jobfleet.Only(names...)
}
