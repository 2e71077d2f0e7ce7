package loopback

import (
	"flag"
	"fmt"
)

// site lets several test processes run on one machine: each site has addresses of its own.
var site = flag.Int("loopback.site", 0, "which of the machine's deployments this is, 0 to 9")

// fleetCount is the number of fleets that this process has started. Stand-ins serve until
// the process ends, so each further fleet has the addresses of a site that no flag names.
var fleetCount int

// siteCount is the number of sites that the flag can name.
const siteCount = 10

// currentSite returns the site of the latest fleet.
func currentSite() int { return *site + siteCount*(fleetCount-1) }

// Ports. Those below portsPerSite count from the first port of the site.
const (
	firstPort    = 23700
	portsPerSite = 100
	serverPort   = 0  // of the first controller
	peerPort     = 20 // of the first controller
	storePort    = 90
	cloudPort    = 91
	workerPort   = 9000 // of every worker, on an address of its own
)

// workersPerSubnet is the number of workers in one /24 subnet of 127.0.0.0/8.
const workersPerSubnet = 250

func localAddress(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+currentSite()*portsPerSite+port)
}

func storeAddr() string { return localAddress(storePort) }

func cloudAddr() string { return localAddress(cloudPort) }

// serverAddress returns the address for users and workers of a controller, by its index.
func serverAddress(controller int) string { return localAddress(serverPort + controller) }

// peerAddress returns the address for other controllers of a controller, by its index.
func peerAddress(controller int) string { return localAddress(peerPort + controller) }

// workerAddress returns the address of the n-th worker.
func workerAddress(n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+currentSite(), n/workersPerSubnet, n%workersPerSubnet+1, workerPort)
}
