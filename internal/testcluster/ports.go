package testcluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// The ports lie below the range of ephemeral ports. Otherwise an outgoing connection
	// could take a port after it was selected and before a process listens on it.
	firstPort = 12_000
	// blockSize is the number of ports of a block, more than all fleets use that one test
	// process runs at the same time.
	blockSize  = 1_000
	blockCount = 20
)

// portBlock is a range of ports that belongs to one test process while that runs. A program
// that was killed listens on the same ports when it starts again, so they must not be taken
// by another test process in between.
type portBlock struct {
	claim net.Listener // on the first port of the block
	first uint32
	used  atomic.Uint32
}

// claimPortBlock claims a block that no process has claimed. The operating system releases
// the claim when the process ends.
func claimPortBlock() (*portBlock, error) {
	for _, i := range rand.Perm(blockCount) {
		first := uint32(firstPort + i*blockSize)
		if claim, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return &portBlock{claim: claim, first: first}, nil
		}
	}
	return nil, errors.New("other processes use all blocks of ports")
}

// ownPorts is the block of this process.
var ownPorts = sync.OnceValues(claimPortBlock)

// freeAddress returns a loopback address whose TCP and UDP ports were free when it was
// checked. An address is returned again only after all others of the block.
func (b *portBlock) freeAddress() (string, error) {
	const usable = blockSize - 1
	for range usable {
		address := fmt.Sprintf("127.0.0.1:%d", b.first+1+(b.used.Add(1)-1)%usable)
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// freeAddress returns an address from the block of this process.
func freeAddress() (string, error) {
	ports, err := ownPorts()
	if err != nil {
		return "", err
	}
	return ports.freeAddress()
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close() //nolint:errcheck // only the address is needed
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return packets.Close() == nil
}
