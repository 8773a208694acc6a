/* What the simulation measures and models by bytes: memory and links. */

#include <algorithm>
#include <cstddef>

#include "gateway_sim.h"

#ifdef __SANITIZE_ADDRESS__
/* Part of the sanitizer's runtime; not every compiler installs its header. */
extern "C" size_t __sanitizer_get_current_allocated_bytes();
#else
#include <malloc.h>
#endif

int64_t
GatewaySim::allocated_bytes() const
{
	if (!counts_memory)
		return 0;
#ifdef __SANITIZE_ADDRESS__
	return (int64_t)__sanitizer_get_current_allocated_bytes();
#else
	struct mallinfo2 info = mallinfo2();

	return (int64_t)(info.uordblks + info.hblkhd);
#endif
}

/* The time until the connection has carried what was sent before and this. */
uint64_t
GatewaySim::transfer_delay(int from, int to, const struct node_send &send)
{
	uint64_t &free_us = link_free_us[{from, to, send.bulk}];

	if (link_byte_us == 0)
		return 0;
	free_us = std::max(free_us, now_us) +
	    (uint64_t)((double)send.bytes.len * link_byte_us);
	return free_us - now_us;
}
