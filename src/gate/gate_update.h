#ifndef MP_GATE_GATE_UPDATE_H
#define MP_GATE_GATE_UPDATE_H

#include "gate/gate_text.h"
#include "mulberrypath/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Changes a configuration in place from one text to another: decodes the
 * elements that are new, removes those that are gone, and checks only what may
 * have become invalid. Kept elements keep their addresses.
 *
 * An update is prepared, which changes nothing; applied; and then either
 * reverted or left. gw_update_destroy() frees the elements that the
 * configuration does not have then.
 */
struct gw_update;

/* Work that an update did. */
struct gw_update_work {
	size_t decoded; /* elements */
	size_t decoded_bytes; /* of these, and of the text between elements */
	size_t checked; /* routes */
};

/* Returns a configuration without elements, that of a NULL text. */
struct gw_config *gw_config_create(void);

/*
 * Decodes what changes.
 *
 * base: the text of the configuration; NULL: it has none yet.
 * next, delta: the new text, and how it differs from base.
 * Errors: MP_ERR_INVALID: an element or the rest can't be decoded.
 */
int gw_update_prepare(struct gw_update **out, const struct gw_codec *codec,
    struct gw_config *config, const struct gw_text *base,
    const struct gw_text *next, const struct gw_text_delta *delta,
    struct mp_error *err);
/*
 * The same in steps, between which other work can be done. Until all is
 * decoded, the configuration must not change, and the texts and the difference
 * must not be freed.
 */
int gw_update_begin(struct gw_update **out, const struct gw_codec *codec,
    struct gw_config *config, const struct gw_text *base,
    const struct gw_text *next, const struct gw_text_delta *delta,
    struct mp_error *err);
/*
 * Decodes elements of about this many bytes. After an error the update can only
 * be destroyed.
 *
 * done: set to whether all is decoded.
 */
int gw_update_continue(
    struct gw_update *update, size_t bytes, bool *done, struct mp_error *err);
/* The version of the configuration after the update. */
uint64_t gw_update_version(const struct gw_update *update);
/*
 * Changes the configuration. Errors: MP_ERR_INVALID, as gw_config_check(); the
 * change is made also then.
 */
int gw_update_apply(struct gw_update *update, struct mp_error *err);
/* Undoes the change. */
void gw_update_revert(struct gw_update *update);
/* Whether services are added or removed. */
bool gw_update_has_services(const struct gw_update *update);
/*
 * Whether, by an update that was applied, accounts change, or a priority gets
 * its first route or loses its last one.
 */
bool gw_update_has_priorities(const struct gw_update *update);
struct gw_update_work gw_update_get_work(const struct gw_update *update);
void gw_update_destroy(struct gw_update *update);

#ifdef __cplusplus
}
#endif

#endif
