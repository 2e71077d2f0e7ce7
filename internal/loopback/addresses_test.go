package loopback

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
)

// Loopback tests of two runs on one machine failed on each other's ports ("a stand-in at
// 127.0.0.1:23790: bind: address already in use", at once when two runs were started
// together): each used the addresses of site 0. Each process now takes a site that no other
// one holds, and keeps it until it ends.

// site lets several test processes run on one machine: each site has addresses of its own.
var site = flag.Int("loopback.site", anySite, "which of the machine's deployments this is, 0 to 9; -1: the first one that no other process holds")

// anySite stands for the first site that no other process holds.
const anySite = -1

// fleetCount is the number of fleets that this process has started. Stand-ins serve until
// the process ends, so each further fleet has the addresses of a site that no process holds.
var fleetCount int

// siteCount is the number of sites that processes can hold.
const siteCount = 10

// Ports. Those below portsPerSite count from the first port of the site.
const (
	firstPort       = 23700
	portsPerSite    = 100
	serverPort      = 0  // of the first controller
	peerPort        = 20 // of the first controller
	storePort       = 90
	cloudPort       = 91
	reservationPort = 99   // open for as long as a process holds the site
	workerPort      = 9000 // of every worker, on an address of its own
)

// workersPerSubnet is the number of workers in one /24 subnet of 127.0.0.0/8.
const workersPerSubnet = 250

// reservedSite is the site that this process holds, and the open port by which others see that.
type reservedSite struct {
	number   int
	listener net.Listener
}

// reserveSite takes a site and keeps it until release is called or the process ends. wanted is
// its number, or anySite.
func reserveSite(wanted int) (reservedSite, error) {
	first, last := wanted, wanted
	if wanted == anySite {
		first, last = 0, siteCount-1
	}
	for number := first; number <= last; number++ {
		listener, err := net.Listen("tcp4", siteAddress(number, reservationPort))
		if err == nil {
			return reservedSite{number, listener}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return reservedSite{}, err
		}
	}
	return reservedSite{}, fmt.Errorf("other processes hold the sites %d to %d", first, last)
}

func (h reservedSite) release() { _ = h.listener.Close() }

// processSite is the site of this process, which it takes at the first fleet.
var processSite = sync.OnceValues(func() (reservedSite, error) { return reserveSite(*site) })

// nextSite gives the next fleet of this process its addresses.
func nextSite(tb testing.TB) {
	tb.Helper()
	if _, err := processSite(); err != nil {
		tb.Fatal(err)
	}
	fleetCount++
}

// currentSite returns the site of the latest fleet.
func currentSite() int {
	reserved, err := processSite()
	if err != nil {
		panic(err) // takeSite comes first
	}
	return reserved.number + siteCount*(fleetCount-1)
}

func siteAddress(site, port int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+site*portsPerSite+port)
}

func localAddress(port int) string { return siteAddress(currentSite(), port) }

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

// A site is one process's until it is released: nobody else gets it meanwhile, and whoever
// asks for any gets another one.
func TestSiteIsHeldByOne(t *testing.T) {
	first, err := reserveSite(anySite)
	if err != nil {
		t.Fatal(err)
	}
	second, err := reserveSite(anySite)
	if err != nil {
		t.Fatal(err)
	}
	defer second.release()
	if first.number == second.number {
		t.Errorf("both hold site %d", first.number)
	}
	if third, err := reserveSite(first.number); err == nil {
		third.release()
		t.Errorf("site %d is taken a second time", first.number)
	}
	first.release()
	reacquired, err := reserveSite(first.number)
	if err != nil {
		t.Fatalf("site %d was released, and cannot be taken: %v", first.number, err)
	}
	reacquired.release()
}
