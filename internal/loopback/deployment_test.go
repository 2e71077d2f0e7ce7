package loopback

import "time"

// defaultControllers is the number of controllers of a deployment that does not set it.
const defaultControllers = 3

// deployment describes the controllers, the machines and the jobs of a test or benchmark.
type deployment struct {
	zones           []string
	machines        int     // maximum number of machines of the cloud
	cpu             float64 // cores of a controller in the settings; the tests do not enforce this limit
	memoryMB        float64
	heartbeatPeriod time.Duration // time between two heartbeats of a worker
	workerLeaseS    float64
	cancelTimeoutS  float64
	writeRPS        float64       // the store's limit on writes
	initialArrays   int           // job arrays that are submitted at the start
	tasksPerArray   int           // number of tasks of each job array
	arrayInterval   time.Duration // time between submissions of further job arrays
	taskDuration    time.Duration // mean run time of a task of a job array
	services        int           // services that are submitted at the start
	replicas        int           // number of replicas of each service

	controllerCount     int           // 0: defaultControllers
	operatorProperties  string        // settings of the operator; empty: none
	detectionProperties string        // settings of failure detection; empty: off
	drainingProperties  string        // settings of drains and disruption budgets; empty: off
	controllerLeaseTTL  time.Duration // duration of a controller's lease; 0: the test does not use it
	canPartition        bool          // links between controllers and to the store can be cut
	earlierProgram      string        // program of an earlier version that the first controller runs; empty: none
}

// numControllers returns the number of controllers.
func (d deployment) numControllers() int {
	if d.controllerCount == 0 {
		return defaultControllers
	}
	return d.controllerCount
}

// useDefaultTimes replaces the short times of a test by those of the default settings.
func (d *deployment) useDefaultTimes() {
	d.heartbeatPeriod = 3 * time.Second
	d.workerLeaseS = 26
	d.cancelTimeoutS = 56
	d.controllerLeaseTTL = 3500 * time.Millisecond
	d.operatorProperties = ""
}

// The deployments of the benchmarks: one with many heartbeats and short tasks, one with
// more machines.
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
