#include "util/clock.h"

#include <time.h>

#define US_PER_S  1000000ULL
#define NS_PER_US 1000ULL

uint64_t
clock_now_us(void)
{
	struct timespec t = {0, 0};

	(void)clock_gettime(CLOCK_BOOTTIME, &t);
	return (uint64_t)t.tv_sec * US_PER_S + (uint64_t)t.tv_nsec / NS_PER_US;
}
