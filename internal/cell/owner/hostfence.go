package owner

import "github.com/medlarpulley/medlarpulley/internal/cell/registry"

// hostFence is the fencing token for the calls to one host. It rises with each restart of the
// host that is heard of, so that the present lifetime refuses the calls that were sent to a
// former one: a call without an answer may be carried out seconds later, by whatever lifetime
// is there then, and nothing else in it names the lifetime. The owner's lock guards it.
type hostFence struct {
	token, last int64
	// lifetime is the one that was heard of last; zero if none was.
	lifetime int64
}

// newHostFence returns the fence of a host that is called for the first time in a term, or that
// was removed and forgotten. The host may have seen tokens up to floor.
func newHostFence(ownerToken, floor int64) hostFence {
	return hostFence{token: max(ownerToken, floor), last: ownerToken + registry.TokensPerTerm - 1}
}

// heardOf records that a lifetime has answered. Once the term's tokens are used up, the token
// stays as it is.
func (f *hostFence) heardOf(startedMs int64) {
	if f.lifetime != 0 && f.lifetime != startedMs && f.token < f.last {
		f.token++
	}
	f.lifetime = startedMs
}
