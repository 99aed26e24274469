// Package scaling measures how the cost of the control plane grows with the fleet. The results
// are kept in docs/capacity/points.txt and used in docs/CAPACITY.md:
//
//	go test ./internal/scaling -bench . -benchmem -run '^$'
package scaling

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/postmount/postmount/requests/directory"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/member"
	"github.com/postmount/postmount/requests/mirror"
	"github.com/postmount/postmount/requests/placement"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
	"github.com/postmount/postmount/requests/wave"
)

// sizes are fleet sizes in workers. The largest one is that of the requirements, 13,000 workers
// in 392 pools, which makes 33 workers per pool.
var sizes = []int{50, 500, 5000, 13000}

// poolSize is the number of workers per pool.
const poolSize = 33

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// listing returns the store's records of a fleet of n workers. In each pool, 3 workers are being
// rebooted by a wave and 17 have been maintained.
func listing(n int) port.Listing {
	var l port.Listing
	add := func(key string, v any) {
		data, _ := json.Marshal(v)
		body, _ := json.Marshal(map[string]any{"tokens": make([]string, 16), "data": json.RawMessage(data)})
		l.KVs = append(l.KVs, port.KV{Key: key, Value: body, Revision: fleet.Revision(len(l.KVs) + 1)})
	}
	shards := make([]fleet.MemberShard, fleet.MemberShardCount)
	pools := (n + poolSize - 1) / poolSize
	cfg := fleet.Config{}
	for p := range pools {
		name := fleet.PoolName(fmt.Sprintf("pool-%03d", p))
		service := fleet.ServiceName(fmt.Sprintf("service-%03d", p))
		cfg.Services = append(cfg.Services, fleet.Service{Name: service, Classes: []fleet.Class{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}}})
		cfg.Routes = append(cfg.Routes, fleet.Route{Host: string(service), Prefix: "/", Service: service, Class: "a"})
		pool := fleet.Pool{Name: name, Service: service, Budget: fleet.AvailabilityBudget{MaxUnavailable: 10, Percent: true}}
		for i := range 3 {
			pool.Disruptions = append(pool.Disruptions, fleet.Disruption{Instance: instanceID(p*poolSize + i), Kind: fleet.DisruptByWave, Wave: "w", Phase: fleet.PhaseReboot, Since: t0, PhaseAt: t0})
		}
		for i := 3; i < 20; i++ {
			pool.Maintained = append(pool.Maintained, fleet.MaintenanceResult{Wave: "w", Instance: instanceID(p*poolSize + i)})
		}
		add(record.PoolKey(name), pool)
	}
	for i := range n {
		s := &shards[fleet.ShardOf(instanceID(i))]
		s.Members = append(s.Members, fleet.Membership{Instance: instanceID(i), Pool: fleet.PoolName(fmt.Sprintf("pool-%03d", i/poolSize))})
	}
	for i, s := range shards {
		add(record.ShardKey(i), s)
	}
	add(record.ConfigKey, cfg)
	add(record.WaveKey("w"), fleet.Wave{Name: "w", State: fleet.WaveRunning, Pools: []fleet.PoolName{"pool-000"}})
	l.Revision = fleet.Revision(len(l.KVs))
	return l
}

// instanceID returns the ID of the i-th worker.
func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("instance-%05d", i)) }

// instances returns the instance list of a fleet of n workers.
func instances(n int) map[fleet.InstanceID]fleet.Instance {
	out := make(map[fleet.InstanceID]fleet.Instance, n)
	for i := range n {
		out[instanceID(i)] = fleet.Instance{
			ID: instanceID(i), Zone: fleet.AvailabilityZone(fmt.Sprint("zone-", i%14)), Rack: "rack", Addr: "10.0.0.1:8000", State: fleet.InstanceReady,
			Generation: 5, LastCommand: "0190b0a0-0000-7000-8000-000000000000", Capacity: fleet.Resources{Slots: 8, Connections: 64, CPUMilli: 32000, MemoryMB: 131072, Accelerators: 2},
		}
	}
	return out
}

// newMirror returns a mirror of the records of a fleet of n workers.
func newMirror(n int) *mirror.Mirror {
	m := mirror.New()
	m.Replace(listing(n))
	return m
}

// forSizes runs a benchmark for each fleet size.
func forSizes(b *testing.B, fn func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			fn(b, n)
		})
	}
}

// BenchmarkDirectory measures building the directory used for routing, which is done after each
// change of a record or of the instance list.
func BenchmarkDirectory(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		s, list := newMirror(n).State(), instances(n)
		for b.Loop() {
			directory.Build(s, list)
		}
	})
}

// BenchmarkRecordChange measures applying one changed pool record.
func BenchmarkRecordChange(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		m := newMirror(n)
		l := listing(n)
		rev := l.Revision
		for b.Loop() {
			rev++
			kv := l.KVs[0]
			kv.Revision = rev
			m.Apply([]port.Event{{KV: kv}}, rev)
		}
	})
}

// BenchmarkGroupMembers measures the part of a reconcile round that visits every membership.
func BenchmarkGroupMembers(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		s := newMirror(n).State()
		for b.Loop() {
			s.MembersByPool()
		}
	})
}

// BenchmarkReconcilePool measures the reconciliation of one pool of 33 workers.
func BenchmarkReconcilePool(b *testing.B) {
	s, list := newMirror(poolSize).State(), instances(poolSize)
	in := wave.Input{
		Now: t0, Pool: s.Pools["pool-000"].Value, Members: s.MembersOf("pool-000"), Instances: list, Waves: []*fleet.Wave{s.Waves["w"].Value},
		Membership: s.Membership, NewID: func() fleet.CommandID { return "c" }, Options: wave.Options{RebootTimeout: time.Minute},
	}
	b.ReportAllocs()
	for b.Loop() {
		wave.Reconcile(in)
	}
}

// BenchmarkPlaceJob measures the placement of one urgent job in a pool that contains the whole
// fleet.
func BenchmarkPlaceJob(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		in := placement.Input{Now: t0, Jobs: []fleet.Job{{Name: "j", Urgent: true, State: fleet.JobPending, Need: fleet.Resources{CPUMilli: 1000, MemoryMB: 1024}}}}
		for _, i := range instances(n) {
			in.Workers = append(in.Workers, placement.Worker{ID: i.ID, Capacity: i.Capacity, Usable: true})
		}
		for b.Loop() {
			placement.Plan(in)
		}
	})
}

// BenchmarkStanding measures the decision after one heartbeat.
func BenchmarkStanding(b *testing.B) {
	c := member.New("m0", member.DefaultOptions)
	v := &fleet.View{Epoch: 1}
	for i := range 6 {
		v.Members = append(v.Members, fleet.Entry{Incarnation: fleet.Incarnation(fmt.Sprint("m", i))})
	}
	c.Adopt(t0, v)
	b.ReportAllocs()
	for b.Loop() {
		c.RecordConfirmation(t0, t0, "m1", 1, 1)
		c.ServingStatus(t0)
	}
}

// BenchmarkClaim measures an owner's decision about an unknown key.
func BenchmarkClaim(b *testing.B) {
	v := &fleet.View{Epoch: 1, Members: []fleet.Entry{{Incarnation: "a"}}}
	t := idempotency.NewTable("a", idempotency.DefaultOptions)
	now := time.Now()
	t.SetView(now, v)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		key := idempotency.Key(fmt.Sprintf("%08x-%04x-7000-8000-%012x", now.UnixMilli()>>16, now.UnixMilli()&0xffff, i))
		t.Claim(now, idempotency.ViewStatus{Confirmed: true, Retired: true}, idempotency.Request{Epoch: 1, Key: key, Attempt: "x", Claimer: "a"})
	}
}

// BenchmarkMemory reports the heap size of the mirror, the instance list and the directory of
// a fleet, in bytes.
func BenchmarkMemory(b *testing.B) {
	forSizes(b, func(b *testing.B, n int) {
		before := heapBytes()
		m, list := newMirror(n), instances(n)
		d := directory.Build(m.State(), list)
		used := heapBytes() - before
		for b.Loop() {
			runtime.KeepAlive(d)
		}
		b.ReportMetric(float64(used), "heap-bytes")
		runtime.KeepAlive(m)
		runtime.KeepAlive(list)
	})
}

// heapBytes returns the bytes of the heap in use after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// TestRecordsStayBelowTheStoresLimit checks that every record of the largest fleet takes at most
// half of the store's limit for a value.
func TestRecordsStayBelowTheStoresLimit(t *testing.T) {
	const limit = 1 << 20 // bytes
	for _, kv := range listing(13000).KVs {
		if len(kv.Value) > limit/2 {
			t.Errorf("%s has %d bytes", kv.Key, len(kv.Value))
		}
	}
}
