package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixHashes appends the chained hash of each whole block of the prompt to dst.
// The hash of a block covers all blocks before it, so that hash i identifies the
// first i+1 blocks. A block has PrefixBlockBytes bytes; a shorter remainder has no hash.
func PrefixHashes(dst []uint64, prompt string) []uint64 {
	var seed [8]byte
	digest := xxhash.New()
	for len(prompt) >= PrefixBlockBytes {
		digest.Reset()
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(prompt[:PrefixBlockBytes])
		hash := digest.Sum64()
		dst = append(dst, hash)
		binary.LittleEndian.PutUint64(seed[:], hash)
		prompt = prompt[PrefixBlockBytes:]
	}
	return dst
}
