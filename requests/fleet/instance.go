package fleet

// InstanceID identifies one instance (machine) of the fleet.
type InstanceID string

// AvailabilityZone names a failure domain that consists of racks.
type AvailabilityZone string

// Rack names a failure domain inside an availability zone.
type Rack string

// Resources are the capacity of a worker or the needs of a job.
type Resources struct {
	Slots        int // concurrent requests
	Connections  int // TCP connections from all entry daemons together
	CPUMilli     int // millicores
	MemoryMB     int
	Accelerators int
}

// Fits reports whether need fits into r. Connections are not compared: they bound
// request traffic, not tasks.
func (r Resources) Fits(need Resources) bool {
	return need.Slots <= r.Slots &&
		need.CPUMilli <= r.CPUMilli &&
		need.MemoryMB <= r.MemoryMB &&
		need.Accelerators <= r.Accelerators
}

// Sub returns r minus used.
func (r Resources) Sub(used Resources) Resources {
	return Resources{
		Slots:        r.Slots - used.Slots,
		Connections:  r.Connections - used.Connections,
		CPUMilli:     r.CPUMilli - used.CPUMilli,
		MemoryMB:     r.MemoryMB - used.MemoryMB,
		Accelerators: r.Accelerators - used.Accelerators,
	}
}

// Add returns the sum of r and more.
func (r Resources) Add(more Resources) Resources {
	return r.Sub(Resources{}.Sub(more))
}

// InstanceState is the state in which the platform reports an instance.
type InstanceState string

// States of an instance, as the platform's instance list reports them.
const (
	InstanceReady     InstanceState = "ready"     // serves requests and tasks
	InstanceDraining  InstanceState = "draining"  // finishes its work, accepts no more
	InstanceDrained   InstanceState = "drained"   // up, empty and out of service
	InstanceRebooting InstanceState = "rebooting" // down, expected back
	InstanceFailed    InstanceState = "failed"    // down, not expected back
)

// Instance is one machine as the platform last reported it. The report lags behind
// the actual state.
type Instance struct {
	ID    InstanceID
	Zone  AvailabilityZone
	Rack  Rack
	Addr  string // IP:port of the worker's HTTP listener
	State InstanceState
	// Generation counts the instance's restarts and the commands that the platform
	// has carried out on it. A command names the generation it expects, so that a
	// late duplicate is refused.
	Generation int64
	// LastCommand is the ID of the command that led to Generation.
	LastCommand CommandID
	Capacity    Resources
}

// Serving reports whether the instance can take requests and tasks.
func (i Instance) Serving() bool { return i.State == InstanceReady }

// CommandID identifies one command to the platform or from an operator.
type CommandID string

// Action is what a command asks the platform to do with an instance.
type Action string

// Actions the platform offers on an instance.
const (
	ActionDrain  Action = "drain"
	ActionReboot Action = "reboot"
	ActionReturn Action = "return"
)

// Command is one recorded command to the platform. It is sent at least once; ID and
// Generation ensure that it takes effect at most once.
type Command struct {
	ID         CommandID
	Action     Action
	Generation int64
}
