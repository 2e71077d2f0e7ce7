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

// A site is a set of addresses. Each test process reserves a site of its own until it ends,
// so that several test processes can run on one machine. Without reservations, test runs on
// one machine all used the addresses of site 0 and failed ("127.0.0.1:23790: bind: address
// already in use"), at once when two runs were started together.

// site is the number of the site that this process uses.
var site = flag.Int("loopback.site", anySite, "number of the site whose addresses are used, 0 to 9; -1: the first site that no other process has reserved")

// anySite selects the first site that no other process has reserved.
const anySite = -1

// fleetCount is the number of fleets that this process has started. The fake servers of a
// fleet run until the process ends. Each further fleet therefore uses the addresses of a
// site whose number is too high for any process to reserve.
var fleetCount int

// siteCount is the number of sites that processes can reserve.
const siteCount = 10

// Ports. Those below portsPerSite are offsets from the first port of the site.
const (
	firstPort       = 23700
	portsPerSite    = 100
	serverPort      = 0  // of the first controller
	peerPort        = 20 // of the first controller
	storePort       = 90
	cloudPort       = 91
	reservationPort = 99   // open while a process has the site reserved
	workerPort      = 9000 // of every worker; each worker has its own IP address
)

// workersPerSubnet is the number of workers in one /24 subnet of 127.0.0.0/8.
const workersPerSubnet = 250

// reservedSite is the site that this process has reserved. Other processes cannot listen on
// the site's reservation port while the listener is open.
type reservedSite struct {
	number   int
	listener net.Listener
}

// reserveSite reserves a site until release is called or the process ends. wanted is the
// number of the site, or anySite.
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
	return reservedSite{}, fmt.Errorf("other processes have reserved the sites %d to %d", first, last)
}

func (h reservedSite) release() { _ = h.listener.Close() }

// processSite returns the site of this process, which is reserved for the first fleet.
var processSite = sync.OnceValues(func() (reservedSite, error) { return reserveSite(*site) })

// nextSite selects the site of the next fleet of this process.
func nextSite(tb testing.TB) {
	tb.Helper()
	if _, err := processSite(); err != nil {
		tb.Fatal(err)
	}
	fleetCount++
}

// currentSite returns the number of the latest fleet's site.
func currentSite() int {
	reserved, err := processSite()
	if err != nil {
		panic(err) // newFleet has called nextSite before
	}
	return reserved.number + siteCount*(fleetCount-1)
}

func siteAddress(site, port int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+site*portsPerSite+port)
}

func localAddress(port int) string { return siteAddress(currentSite(), port) }

func storeAddr() string { return localAddress(storePort) }

func cloudAddr() string { return localAddress(cloudPort) }

// serverAddress returns the address at which a controller serves users and workers.
func serverAddress(controller int) string { return localAddress(serverPort + controller) }

// peerAddress returns the address at which a controller serves other controllers.
func peerAddress(controller int) string { return localAddress(peerPort + controller) }

// workerAddress returns the address of the n-th worker.
func workerAddress(n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+currentSite(), n/workersPerSubnet, n%workersPerSubnet+1, workerPort)
}

// A reserved site cannot be reserved a second time until it is released. A process that
// asks for any site gets another one.
func TestSiteIsReservedOnce(t *testing.T) {
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
		t.Errorf("site %d was reserved twice", first.number)
	}
	if third, err := reserveSite(first.number); err == nil {
		third.release()
		t.Errorf("site %d was reserved a second time before its release", first.number)
	}
	first.release()
	reacquired, err := reserveSite(first.number)
	if err != nil {
		t.Fatalf("site %d cannot be reserved after its release: %v", first.number, err)
	}
	reacquired.release()
}
