#ifndef MP_BENCH_CLAIM_BENCH_H
#define MP_BENCH_CLAIM_BENCH_H

#include <stddef.h>

/*
 * Whole claims of one voter that owns a service which answers at once: from
 * the request to its answer, which is two commits. Prints one line.
 *
 * folder: the data folder, made by this.
 * at_once: requests open at a time, at most CLAIM_BENCH_MOST.
 */
#define CLAIM_BENCH_MOST 64
void bench_claims(const char *folder, size_t at_once, double seconds);

#endif
