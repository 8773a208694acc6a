#ifndef MP_TESTS_FUZZ_NODE_HARNESS_H
#define MP_TESTS_FUZZ_NODE_HARNESS_H

#include "mulberrypath/node.h"

/* One reducer for fuzz targets: its disk never fails, time is virtual. */
struct harness {
	struct settings *settings;
	struct node *node;
	struct node_effects *fx;
	uint64_t now_us;
	uint64_t requests;
	int last_status; /* of the answers that the last step gave, or 0 */
};

/* A target's entry point, called by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* disk: what the data folder holds; false when the node refuses it. */
bool harness_create(struct harness *h, const struct node_disk *disk);
/* A leader with team "t1" (token "caller"), an engine and a service. */
void harness_create_serving(struct harness *h);
void harness_destroy(struct harness *h);

/* Step once, and again for each save that is reported as synced. */
void harness_step(struct harness *h, const struct node_event *ev);
void harness_ticks(struct harness *h, unsigned count);

/* A request; the texts are copied into blocks of their exact size. */
void harness_request(
    struct harness *h, const char *const texts[5], struct node_bytes body);

#endif
