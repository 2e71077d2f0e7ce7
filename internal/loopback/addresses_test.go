package loopback

import (
	"flag"
	"fmt"
)

// site lets several deployments stand on one machine: each has ports and machines of
// its own.
var site = flag.Int("loopback.site", 0, "which of the machine's deployments this is, 0 to 9")

// fleetCount is how many fleets this process has started: stand-ins serve until it ends, so
// each fleet has addresses of its own, those of a site that no flag names.
var fleetCount int

// siteCount is how many sites the flag can name.
const siteCount = 10

// currentSite is the site of the latest fleet.
func currentSite() int { return *site + siteCount*(fleetCount-1) }

// Ports of a site: the stand-ins', and the first of the controllers'.
const (
	firstPort    = 23700
	portsPerSite = 100 // of one site
	storePort    = 90
	cloudPort    = 91
	serverPort   = 0
	peerPort     = 20
)

func localAddress(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+currentSite()*portsPerSite+port)
}

func storeAddr() string { return localAddress(storePort) }

func cloudAddr() string { return localAddress(cloudPort) }

func serverAddress(node int) string { return localAddress(serverPort + node) }

func peerAddress(node int) string { return localAddress(peerPort + node) }

func workerAddress(n int) string {
	return fmt.Sprintf("127.%d.%d.%d:9000", 1+currentSite(), n/250, n%250+1)
}
