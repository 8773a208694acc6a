#ifndef MP_CLAIM_TABLE_H
#define MP_CLAIM_TABLE_H

#include <sys/queue.h>

#include "claim/claim.h"
#include "util/map.h"

/* Inside of the claim table, shared with its saving. */

TAILQ_HEAD(claim_queue, claim_entry);

/* One process of an instance, with what it runs in order of start. */
struct claim_process {
	struct claim_queue running;
};

struct claim_entry {
	struct claim claim; /* first: a claim of the table is an entry's */
	struct claim_process *process; /* while running */
	uint64_t ended_ms; /* the table's time then */
	TAILQ_ENTRY(claim_entry) link; /* of the owner, then of the ended */
};

struct claim_table {
	struct map *entries; /* by team and key */
	struct map *processes; /* by instance and incarnation */
	struct claim_queue ended; /* ended_ms never falls along it */
	uint64_t age_ms; /* of the cluster, as its leaders told */
};

void claim_table_clear(struct claim_table *t);

void claim_entry_destroy(struct claim_entry *e);

/* Give an entry to the table; false, and not taken, when its key is there. */
bool claim_table_add(struct claim_table *t, struct claim_entry *e);

/* Put an added entry among the running claims of its instance. */
void claim_table_add_running(struct claim_table *t, struct claim_entry *e);

#endif
