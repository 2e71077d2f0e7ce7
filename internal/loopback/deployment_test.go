package loopback

import "time"

// deployment is what is measured.
type deployment struct {
	zones           []string
	machines        int
	cpu             float64 // share of a core, as the settings say; it is not enforced here
	memoryMB        float64
	heartbeatPeriod time.Duration // between two reports of a machine
	workerLeaseS    float64
	cancelTimeoutS  float64
	writeRPS        float64
	initialArrays   int           // jobs at the start
	tasksPerArray   int           // of each
	arrayInterval   time.Duration // between two more of them
	taskDuration    time.Duration // how long each task runs
	services        int           // jobs at the start
	replicas        int           // of each

	controllerCount     int           // controllers; 0: three
	operatorProperties  string        // operators' own settings
	detectionProperties string        // settings of failure detection; empty: none
	drainingProperties  string        // settings of drains and budgets; empty: none
	controllerLeaseTTL  time.Duration // of the controllers; 0: as they come
	canPartition        bool          // what passes between controllers, and to the state service, can be cut
	earlierProgram      string        // program that the first controller runs instead; empty: none
}

// numControllers is how many there are.
func (d deployment) numControllers() int {
	if d.controllerCount == 0 {
		return 3
	}
	return d.controllerCount
}

// The fleets that are measured: many reports of short tasks, and more machines.
var (
	manyHeartbeats = deployment{
		zones: []string{"a", "b", "c"}, machines: 1200, cpu: 0.1, memoryMB: 150,
		heartbeatPeriod: 5 * time.Second, workerLeaseS: 25, cancelTimeoutS: 60, writeRPS: 20,
		initialArrays: 50, tasksPerArray: 80, arrayInterval: 1200 * time.Millisecond, taskDuration: 20 * time.Second,
		services: 200, replicas: 6,
	}
	manyMachines = deployment{
		zones: []string{"a", "b"}, machines: 2000, cpu: 0.1, memoryMB: 200,
		heartbeatPeriod: 8 * time.Second, workerLeaseS: 40, cancelTimeoutS: 80, writeRPS: 80,
		initialArrays: 100, tasksPerArray: 25, arrayInterval: 1200 * time.Millisecond, taskDuration: 60 * time.Second,
		services: 400, replicas: 7,
	}
)
