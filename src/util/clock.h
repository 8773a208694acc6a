#ifndef MP_UTIL_CLOCK_H
#define MP_UTIL_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Returns the time of a monotonic clock in microseconds. The clock also
 * advances while the process is stopped or the machine is suspended, because
 * leases that other instances count expire during that time.
 */
uint64_t clock_now_us(void);

#ifdef __cplusplus
}
#endif

#endif
