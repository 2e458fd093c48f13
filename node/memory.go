package node

// The parts of the memory limit for what the node remembers of clients that have left, as divisors, and the memory that
// one of them takes.
const (
	affinityMemoryPart = 8
	affinityBytes      = 512 // with a key of the maximum length
	idMemoryPart       = 32
	idBytes            = 48 // in each of two generations
)

// maxRememberedIDs returns the number of ended requests whose IDs are remembered. It is 0, which means the default,
// without a memory limit.
func (l *Limits) maxRememberedIDs() int { return int(l.MemoryMB << 20 / idMemoryPart / idBytes) }

// maxAffinities returns the number of clients whose server is remembered, at most maxOpen unless that is 0. It is 0
// without a memory limit, which means no limit of its own.
func (l *Limits) maxAffinities(maxOpen int) int {
	fits := int(l.MemoryMB << 20 / affinityMemoryPart / affinityBytes)
	if maxOpen > 0 && l.MemoryMB > 0 {
		return min(fits, maxOpen)
	}
	return fits
}
