/* Internals of the claim table, shared by claim.c and claim_save.c. */

#ifndef MP_CLAIM_TABLE_H
#define MP_CLAIM_TABLE_H

#include <sys/queue.h>

#include "claim/claim.h"
#include "util/map.h"

TAILQ_HEAD(claim_queue, claim_entry);

/* A process that runs calls. */
struct claim_process {
	struct claim_queue running; /* in the order of their starts */
};

/* A claim in the table. */
struct claim_entry {
	struct claim claim; /* first, so that it casts to its entry */
	struct claim_process *process; /* NULL unless running */
	uint64_t ended_ms; /* age_ms of the table at the end */
	TAILQ_ENTRY(claim_entry) link; /* in its process, then in ended */
};

struct claim_table {
	struct map *entries; /* by team and key; owns them */
	struct map *processes; /* that run a call */
	struct claim_queue ended; /* in the order of ended_ms, oldest first */
	uint64_t age_ms; /* sum of the advances: the clock of expiry */
};

/* Removes all claims and resets the clock. */
void claim_table_clear(struct claim_table *t);

/* Frees an entry, which must not be in the table. */
void claim_entry_destroy(struct claim_entry *e);

/* Adds an entry; false if its key exists, the caller owns the entry then. */
bool claim_table_add(struct claim_table *t, struct claim_entry *e);

/* Appends an added entry to the running claims of its process. */
void claim_table_add_running(struct claim_table *t, struct claim_entry *e);

#endif
