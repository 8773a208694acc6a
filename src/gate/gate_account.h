#ifndef MP_GATE_GATE_ACCOUNT_H
#define MP_GATE_GATE_ACCOUNT_H

#include <stdint.h>

#include "mulberrypath/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Client accounts of a configuration. Keys are kept and looked up by a keyed
 * hash with a secret of the process, so that a dump of the memory or a timing
 * of look-ups tells no key.
 */

/* Length of the secret of the hash. */
#define GW_KEY_SECRET_BYTES 16

/*
 * Replaces the readable keys of all accounts by hashes, wipes them, and builds
 * the index of the accounts. Called again after a change of the accounts, with
 * the same secret; accounts that have hashes already keep them.
 */
void gw_config_hash_keys(
    struct gw_config *config, const uint8_t secret[GW_KEY_SECRET_BYTES]);

/*
 * Does the same with the secret of the last call, if there was one: after
 * accounts were added or removed.
 */
void gw_config_index_accounts(struct gw_config *config);

/*
 * A number that grows whenever an account is added, removed or changed; 0
 * before gw_config_hash_keys().
 */
uint64_t gw_config_accounts_number(const struct gw_config *config);

/*
 * Finds an account, or NULL. Before gw_config_hash_keys() none is found.
 *
 * hash: receives the hash of the key, whether or not there is an account.
 */
const struct gw_account *gw_config_find_account_by_key(
    const struct gw_config *config, const char *key, struct gw_key_hash *hash);
const struct gw_account *gw_config_find_account_by_hash(
    const struct gw_config *config, const struct gw_key_hash *hash);
const struct gw_account *gw_config_find_account_by_name(
    const struct gw_config *config, const char *name);

/*
 * Checks that names are distinct and can stand in a header, and that no two
 * accounts have the same key, before or after gw_config_hash_keys(). Part of
 * gw_config_check().
 * Errors: MP_ERR_INVALID; the message names JSON paths and no key.
 */
int gw_config_check_accounts(
    const struct gw_config *config, struct mp_error *err);

/* Wipes the readable keys and frees all that the account holds. */
void gw_account_clear(struct gw_account *account);
/* NULL is allowed. */
void gw_account_index_destroy(struct gw_account_index *index);

#ifdef __cplusplus
}
#endif

#endif
