#ifndef MP_MULBERRYCTL_CHECK_H
#define MP_MULBERRYCTL_CHECK_H

#include <stdint.h>

#include "gate/gate_text.h"
#include "mulberrypath/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Checks of a gateway configuration's text: errors, by which an instance
 * refuses it; warnings, of values that have no effect or contradict each other;
 * and differences to another one. No finding contains an API key.
 */

enum check_level {
	CHECK_ERROR,
	CHECK_WARNING,
	CHECK_DIFFERENCE
};

struct check_finding {
	enum check_level level;
	const char *rule; /* short name, static */
	char *path; /* JSON path, "$" for the whole */
	char *text;
};

struct check_findings {
	struct check_finding *items;
	size_t count;
};

/* Settings of the instances that the configuration is meant for. */
struct check_settings {
	uint32_t retry_extra; /* "retryExtra" */
};
#define CHECK_RETRY_EXTRA_DEFAULT 10u

/* An element of a top-level array that can be decoded. */
struct check_element {
	void *item; /* struct gw_route, gw_service or gw_account */
	size_t index; /* in its array */
	struct node_bytes text;
};

struct check_list {
	struct check_element *items;
	size_t count;
	bool is_incomplete; /* others can't be decoded */
};

/* A configuration of which single elements may be invalid. */
struct check_config {
	struct gw_text *text; /* NULL: not even an object */
	struct check_list lists[GW_ELEMENT_KINDS];
	struct gw_config *config; /* of the elements in the lists */
};

/*
 * Decodes a text and adds all errors to findings. check_config_destroy() frees
 * the result, which is never NULL.
 */
struct check_config *check_config_read(
    struct node_bytes text, struct check_findings *findings);
void check_config_destroy(struct check_config *c);

/* Adds the warnings. */
void check_config_warn(const struct check_config *c,
    const struct check_settings *settings, struct check_findings *findings);

/* Adds the differences of a configuration to an older one. */
void check_config_compare(const struct check_config *old,
    const struct check_config *fresh, struct check_findings *findings);

/* The JSON path of an element's array, "$.routes". */
const char *check_list_path(enum gw_element_kind kind);

/* path: is taken over. */
void check_findings_add(struct check_findings *findings, enum check_level level,
    const char *rule, char *path, const char *format, ...)
    __attribute__((format(printf, 5, 6)));
/* Returns a text that the caller frees. */
char *check_format(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
size_t check_findings_count(
    const struct check_findings *findings, enum check_level level);
void check_findings_free(struct check_findings *findings);

#ifdef __cplusplus
}
#endif

#endif
