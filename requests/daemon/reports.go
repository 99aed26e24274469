package daemon

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/postmount/postmount/operators/api"
	"github.com/postmount/postmount/requests/control"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/slo"
)

// Status returns the daemon's status for the operators' API.
func (d *Daemon) Status() api.Status {
	now := time.Now()
	serving := d.node.ServingStatus()
	snap := d.controller.Snapshot()
	claims, bytes := d.node.Claims.Size()
	counts := &d.store.Counters
	s := api.Status{
		Entry:         string(d.self.ID),
		Zone:          string(d.self.Zone),
		Version:       Version,
		Epoch:         int64(serving.Epoch),
		Serving:       serving.Serving(now),
		Reason:        serving.Reason,
		StoreUp:       d.syncer.Connected.Load(),
		Revision:      int64(snap.State.Revision),
		ListedAt:      snap.ListedAt,
		Instances:     len(snap.Instances),
		InFlight:      d.handler.InFlight(),
		Claims:        claims,
		ClaimBytes:    bytes,
		SlotsSettled:  d.dispatcher.Settled(),
		StoreReads:    counts.Reads.Load(),
		StoreWrites:   counts.Writes.Load(),
		StoreWatches:  counts.Watches.Load(),
		StoreBytesIn:  counts.BytesIn.Load(),
		StoreBytesOut: counts.BytesOut.Load(),
		ControlBytes: counts.BytesIn.Load() + counts.BytesOut.Load() + d.peers.Bytes.In.Load() + d.peers.Bytes.Out.Load() +
			d.platform.BytesIn.Load() + d.platform.BytesOut.Load(),
		Conflicts: d.controller.Counters.Conflicts.Load(),
	}
	for _, m := range d.node.View().Members {
		s.Members = append(s.Members, string(m.ID))
	}
	return s
}

// burnCounts returns this daemon's own request counts by class and window.
func (d *Daemon) burnCounts() port.BurnCounts {
	out := port.BurnCounts{Entry: d.self.ID}
	for _, c := range d.burn.Counts(time.Now()) {
		out.Rows = append(out.Rows, port.BurnRow{Service: c.Service, Class: c.Class, Seconds: int(c.Window.Seconds()), Total: c.Total, Bad: c.Bad})
	}
	return out
}

// burnTimeout bounds the collection of the members' counts.
const burnTimeout = 2 * time.Second

// burnReport collects the request counts of every member and computes the burn
// rates. Members that don't answer are listed as missing.
func (d *Daemon) burnReport(r *http.Request) api.BurnReport {
	ctx, cancel := context.WithTimeout(r.Context(), burnTimeout)
	defer cancel()
	var report api.BurnReport
	sum := map[slo.Key]map[int]port.BurnRow{}
	addCounts(sum, d.burnCounts())
	for _, m := range d.node.View().Members {
		if m.Incarnation == d.self.Incarnation {
			continue
		}
		counts, err := d.peers.Burn(ctx, m.PeerAddr)
		if err != nil {
			report.Missing = append(report.Missing, string(m.ID))
			continue
		}
		addCounts(sum, counts)
	}
	state := d.mirror.State()
	for _, svc := range state.Config.Value.Services {
		for _, class := range svc.Classes {
			report.Rows = append(report.Rows, burnRow(svc.Name, class, sum[slo.Key{Service: svc.Name, Class: class.Name}]))
		}
	}
	return report
}

// addCounts adds the counts of one daemon to sum, whose inner maps are keyed by the
// window's length in seconds.
func addCounts(sum map[slo.Key]map[int]port.BurnRow, c port.BurnCounts) {
	for _, r := range c.Rows {
		k := slo.Key{Service: r.Service, Class: r.Class}
		if sum[k] == nil {
			sum[k] = map[int]port.BurnRow{}
		}
		s := sum[k][r.Seconds]
		s.Total += r.Total
		s.Bad += r.Bad
		sum[k][r.Seconds] = s
	}
}

// burnRow computes the burn rates of one class. counts is keyed by the window's length
// in seconds.
func burnRow(service fleet.ServiceName, class fleet.Class, counts map[int]port.BurnRow) api.BurnRow {
	row := api.BurnRow{Service: string(service), Class: string(class.Name), Objective: class.Objective.Availability}
	rates := map[time.Duration]float64{}
	for _, w := range slo.Windows {
		c := counts[int(w.Seconds())]
		rates[w] = slo.BurnRate(c.Total, c.Bad, class.Objective.Availability)
		row.Windows = append(row.Windows, api.BurnWindow{Seconds: int(w.Seconds()), Total: c.Total, Bad: c.Bad, Rate: rates[w]})
	}
	row.Alert = string(slo.EvaluateAlert(rates))
	return row
}

// waveReport returns the availability of a wave's pools over time. It returns false
// if there is no such wave.
func (d *Daemon) waveReport(name string) (api.WaveReport, bool) {
	snap := d.controller.Snapshot()
	v, ok := snap.State.Waves[fleet.WaveName(name)]
	if !ok {
		return api.WaveReport{}, false
	}
	w := v.Value
	progress := control.ComputeWaveProgress(snap, snap.State.MembersByPool(), w)
	r := api.WaveReport{
		Wave: name, State: string(w.State), Started: w.StartedAt, Ended: w.EndedAt, Deadline: w.Deadline,
		Finished: progress.Finished, Failed: progress.Failed,
	}
	to := w.EndedAt
	if to.IsZero() {
		to = time.Now()
	}
	for _, pool := range w.Pools {
		r.Pools = append(r.Pools, wavePoolReport(pool, d.controller.History.SamplesBetween(pool, w.StartedAt, to)))
	}
	return r, true
}

// wavePoolReport converts the samples of one pool. BudgetExceeded is set if more
// instances were out of service than allowed in any of them.
func wavePoolReport(pool fleet.PoolName, samples []control.Sample) api.WavePool {
	out := api.WavePool{Pool: string(pool)}
	for _, s := range samples {
		if s.Size == 0 {
			continue // the pool had no instances yet
		}
		out.MaxOut = max(out.MaxOut, s.Out)
		out.BudgetExceeded = out.BudgetExceeded || s.Out > s.Allowed
		out.Samples = append(out.Samples, api.PoolSample{
			At: s.At, Available: s.Size - s.Out, Floor: s.Size - s.Allowed, Out: s.Out, Allowed: s.Allowed,
		})
	}
	return out
}

// gaugeInterval is the pause between updates of the gauges.
const gaugeInterval = time.Second

// updateGauges exports counters and state of the components as gauges until ctx
// ends.
func (d *Daemon) updateGauges(ctx context.Context) {
	t := time.NewTicker(gaugeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s := d.Status()
		scope := d.metrics.Scope
		for name, v := range map[string]int64{
			"view_epoch": s.Epoch, "revision": s.Revision, "requests_in_flight": s.InFlight,
			"claims": int64(s.Claims), "claim_bytes": int64(s.ClaimBytes),
			"store_reads": s.StoreReads, "store_writes": s.StoreWrites, "store_watches": s.StoreWatches,
			"store_bytes_in": s.StoreBytesIn, "store_bytes_out": s.StoreBytesOut,
			"control_bytes": s.ControlBytes, "write_conflicts": s.Conflicts, "peer_rejected": d.peerServer.Rejected.Load(), "bad_records": d.mirror.BadRecords.Load(),
			"commands": d.controller.Counters.Commands.Load(), "list_errors": d.controller.Counters.ListErrors.Load(),
		} {
			scope.Gauge(name).Update(float64(v))
		}
		d.updateBurnGauges()
		for _, b := range []struct {
			name string
			on   bool
		}{{"store_up", s.StoreUp}, {"serving", s.Serving}, {"slots_settled", s.SlotsSettled}} {
			scope.Gauge(b.name).Update(float64(slices.Index([]bool{false, true}, b.on))) // 0 or 1
		}
	}
}

// updateBurnGauges exports the burn rates of the error budgets, computed from this
// daemon's requests alone.
func (d *Daemon) updateBurnGauges() {
	config := d.mirror.State().Config.Value
	for _, c := range d.burn.Counts(time.Now()) {
		svc := config.Service(c.Service)
		if svc == nil {
			continue
		}
		class := svc.Class(c.Class)
		if class == nil || class.Objective.Availability == 0 {
			continue
		}
		tags := map[string]string{"service": string(c.Service), "class": string(c.Class), "window": c.Window.String()}
		d.metrics.Scope.Tagged(tags).Gauge("burn_rate").Update(slo.BurnRate(c.Total, c.Bad, class.Objective.Availability))
	}
}
