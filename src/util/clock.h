#ifndef MP_UTIL_CLOCK_H
#define MP_UTIL_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The clock of a program, in microseconds: it never goes back, and also counts
 * while the process is stopped or the machine is suspended, since leases that
 * others count run out meanwhile.
 */
uint64_t clock_now_us(void);

#ifdef __cplusplus
}
#endif

#endif
