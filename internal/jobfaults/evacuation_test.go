package jobfaults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/owner"
)

// assignZones puts the instances with even numbers into zone z1, the others and the spare ones
// into z2.
func (d *deployment) assignZones() {
	for i := range 8 {
		d.in.Fleet.SetZone(owner.InstanceID(fmt.Sprintf("i%d", i)), fmt.Sprintf("z%d", 1+i%2))
	}
	for i := range 2 {
		d.in.Fleet.SetZone(owner.InstanceID(fmt.Sprintf("spare%d", i)), "z2")
	}
}

// TestAnEvacuatedZoneGetsNoTasks: neither the current owner nor the next one starts tasks in an
// evacuated zone until the evacuation ends. Running tasks continue.
func TestAnEvacuatedZoneGetsNoTasks(t *testing.T) {
	simulate(t, func(d *deployment) {
		d.assignZones()
		longRunning := longRunningJob(900)
		d.submit(ordersPrefix, longRunning)
		d.submitBatchJobs(0, 4)
		d.in.Evacuate("z1")
		d.in.Evacuate("nowhere")
		d.submitBatchJobs(4, 6)
		assert.Less(t, d.in.Checker.LastStartInEvacuatedZone(), time.Second)
		first := d.in.Owner()
		require.NotNil(t, first)
		d.in.Kill(first.Name)
		d.submitBatchJobs(10, 6)
		d.awaitCompletion(20 * time.Second)
		d.checkAllRunning(longRunning)
		assert.Less(t, d.in.Checker.LastStartInEvacuatedZone(), time.Second)

		d.in.EndEvacuation("z1")
		d.in.Evacuate("z2")
		time.Sleep(time.Second)
		d.submitBatchJobs(16, 6)
		d.awaitCompletion(20 * time.Second)
		assert.Less(t, d.in.Checker.LastStartInEvacuatedZone(), time.Second)
	})
}

// TestAllZonesEvacuated: accepted jobs wait, and complete once a zone is available again.
func TestAllZonesEvacuated(t *testing.T) {
	simulate(t, func(d *deployment) {
		d.assignZones()
		d.in.Evacuate("z1")
		d.in.Evacuate("z2")
		time.Sleep(time.Second)
		starts := d.in.Checker.Starts()
		d.submitBatchJobs(0, 4)
		time.Sleep(5 * time.Second)
		assert.Equal(t, starts, d.in.Checker.Starts())
		d.in.EndEvacuation("z2")
		d.awaitCompletion(20 * time.Second)
	})
}

// TestEvacuationsEndedAtOnce: evacuations that are requested twice and ended immediately have no
// lasting effect.
func TestEvacuationsEndedAtOnce(t *testing.T) {
	simulate(t, func(d *deployment) {
		d.assignZones()
		for range 3 {
			d.in.Evacuate("z1")
			d.in.Evacuate("z1")
			d.in.EndEvacuation("z1")
		}
		d.in.Store.CompactHistory()
		d.in.Evacuate("z2")
		d.in.EndEvacuation("z2")
		time.Sleep(time.Second)
		d.submitBatchJobs(0, 6)
		d.awaitCompletion(10 * time.Second)
	})
}

// storeOutageExtension is how much longer a request written to the store may take if the store
// fails meanwhile.
const storeOutageExtension = 5 * time.Second

// TestEvacuationsUnderFaults evacuates two zones one after the other and ends the evacuations,
// with each kind of fault at some steps.
func TestEvacuationsUnderFaults(t *testing.T) {
	for _, f := range allFaults() {
		for _, s := range []struct {
			op string
			n  int
		}{{"watch", 4}, {"start", 3}, {"hold", 20}, {"commit", 8}} {
			t.Run(fmt.Sprintf("%s at %s %d", f.name, s.op, s.n), func(t *testing.T) {
				simulate(t, func(d *deployment) {
					d.assignZones()
					d.in.Checker.ExtendEvacuationBound(storeOutageExtension)
					longRunning := longRunningJob(900)
					d.submit(ordersPrefix, longRunning)
					d.injectAt(s.op, s.n, f)
					d.submitBatchJobs(0, 3)
					d.in.Evacuate("z1")
					d.in.RequestWave(owner.WaveRequest{Wave: 1, Instances: []owner.InstanceID{"i0", "i3"}, Within: 20 * time.Second, MaxDown: 2})
					d.submitBatchJobs(3, 3)
					time.Sleep(12 * time.Second)
					d.submitBatchJobs(6, 3)
					d.in.EndEvacuation("z1")
					d.in.Evacuate("z2")
					time.Sleep(12 * time.Second)
					d.submitBatchJobs(9, 3)
					d.in.EndEvacuation("z2")
					d.awaitCompletion(30 * time.Second)
					d.checkAllRunning(longRunning)
				})
			})
		}
	}
}

// TestAZoneIsLostWhileAnotherIsEvacuated: all workers of z2 crash while z1 is evacuated, and the
// owner is killed meanwhile. Batch jobs, gangs and a long-running job wait for z2; nothing starts in z1.
func TestAZoneIsLostWhileAnotherIsEvacuated(t *testing.T) {
	simulate(t, func(d *deployment) {
		d.assignZones()
		longRunning := longRunningJob(900)
		d.submit(ordersPrefix, longRunning)
		d.in.Evacuate("z1")
		d.submitBatchJobs(0, 4)
		for i := 1; i < 8; i += 2 {
			d.in.Fleet.Crash(owner.InstanceID(fmt.Sprintf("i%d", i)), 4*time.Second)
		}
		first := d.in.Owner()
		require.NotNil(t, first)
		d.in.Kill(first.Name)
		gang := batchJob(100)
		gang.Steps[0].Gang, gang.Steps[0].SameRack = true, true
		d.submit(ordersPrefix, gang)
		d.submitBatchJobs(4, 4)
		d.awaitCompletion(20 * time.Second)
		d.checkAllRunning(longRunning)
		assert.Less(t, d.in.Checker.LastStartInEvacuatedZone(), time.Second)
	})
}
