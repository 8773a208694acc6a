#include <ctype.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "gate/gate_account.h"
#include "util/mem.h"

/* Hashing of keys, and the index and the checks of client accounts. */

_Static_assert(
    crypto_shorthash_siphashx24_KEYBYTES == GW_KEY_SECRET_BYTES, "secret");
_Static_assert(crypto_shorthash_siphashx24_BYTES == sizeof(struct gw_key_hash),
    "size of a hash");

/* A name is forwarded in a header. */
#define NAME_MAX_BYTES 256u

/* An account by one of its keys, or by its name. */
struct key_item {
	struct gw_key_hash hash;
	size_t account; /* position in gw_config.accounts */
};
struct name_item {
	const char *name; /* owned by the account */
	size_t account;
};

/* Both lists are sorted; items that compare equal by their account. */
struct gw_account_index {
	uint8_t secret[GW_KEY_SECRET_BYTES];
	struct key_item *keys;
	struct name_item *names;
	size_t nkeys, nnames;
	uint64_t number; /* of indexes that the configuration has had */
};

static struct gw_key_hash
hash_key(const uint8_t secret[GW_KEY_SECRET_BYTES], const char *key)
{
	struct gw_key_hash hash;

	(void)crypto_shorthash_siphashx24(
	    hash.bytes, (const uint8_t *)key, strlen(key), secret);
	return hash;
}

static int
compare_positions(size_t a, size_t b)
{
	return a < b ? -1 : a > b;
}

static int
compare_keys(const void *a, const void *b)
{
	const struct key_item *x = a, *y = b;
	int order = memcmp(&x->hash, &y->hash, sizeof(x->hash));

	return order != 0 ? order : compare_positions(x->account, y->account);
}

static int
compare_names(const void *a, const void *b)
{
	const struct name_item *x = a, *y = b;
	int order = strcmp(x->name, y->name);

	return order != 0 ? order : compare_positions(x->account, y->account);
}

static struct gw_key_hash
get_hash(const struct gw_account *a, size_t i,
    const uint8_t secret[GW_KEY_SECRET_BYTES])
{
	return a->plain_keys == NULL ? a->keys[i]
				     : hash_key(secret, a->plain_keys[i]);
}

static void
fill_index(struct gw_account_index *index, const struct gw_config *config)
{
	const struct gw_account *a;
	size_t i, k;

	for (i = 0; i < config->naccounts; i++) {
		a = config->accounts[i];
		if (a->name != NULL)
			index->names[index->nnames++] =
			    (struct name_item){a->name, i};
		for (k = 0; k < a->nkeys; k++)
			index->keys[index->nkeys++] =
			    (struct key_item){get_hash(a, k, index->secret), i};
	}
}

static struct gw_account_index *
create_index(
    const struct gw_config *config, const uint8_t secret[GW_KEY_SECRET_BYTES])
{
	struct gw_account_index *index = mem_alloc(1, sizeof(*index));
	size_t i, nkeys = 0;

	for (i = 0; i < config->naccounts; i++)
		nkeys += config->accounts[i]->nkeys;
	memcpy(index->secret, secret, sizeof(index->secret));
	index->keys = mem_alloc(nkeys + 1, sizeof(*index->keys));
	index->names = mem_alloc(config->naccounts + 1, sizeof(*index->names));
	fill_index(index, config);
	qsort(index->keys, index->nkeys, sizeof(*index->keys), compare_keys);
	qsort(
	    index->names, index->nnames, sizeof(*index->names), compare_names);
	return index;
}

void
gw_account_index_destroy(struct gw_account_index *index)
{
	if (index == NULL)
		return;
	free(index->keys);
	free(index->names);
	sodium_memzero(index->secret, sizeof(index->secret));
	free(index);
}

static void
wipe_plain_keys(struct gw_account *a)
{
	size_t i;

	for (i = 0; a->plain_keys != NULL && i < a->nkeys; i++) {
		if (a->plain_keys[i] != NULL)
			sodium_memzero(
			    a->plain_keys[i], strlen(a->plain_keys[i]));
		free(a->plain_keys[i]);
	}
	free(a->plain_keys);
	a->plain_keys = NULL;
}

void
gw_account_clear(struct gw_account *account)
{
	wipe_plain_keys(account);
	free(account->keys);
	free(account->name);
	memset(account, 0, sizeof(*account));
}

static void
hash_account(struct gw_account *a, const uint8_t secret[GW_KEY_SECRET_BYTES])
{
	size_t i;

	if (a->plain_keys == NULL)
		return;
	free(a->keys);
	a->keys = mem_alloc(a->nkeys + 1, sizeof(*a->keys));
	for (i = 0; i < a->nkeys; i++)
		a->keys[i] = hash_key(secret, a->plain_keys[i]);
	wipe_plain_keys(a);
}

void
gw_config_hash_keys(
    struct gw_config *config, const uint8_t secret[GW_KEY_SECRET_BYTES])
{
	uint64_t number = gw_config_accounts_number(config);
	size_t i;

	for (i = 0; i < config->naccounts; i++)
		hash_account(config->accounts[i], secret);
	gw_account_index_destroy(config->account_index);
	config->account_index = create_index(config, secret);
	config->account_index->number = number + 1;
}

uint64_t
gw_config_accounts_number(const struct gw_config *config)
{
	return config->account_index == NULL ? 0
					     : config->account_index->number;
}

void
gw_config_index_accounts(struct gw_config *config)
{
	uint8_t secret[GW_KEY_SECRET_BYTES];

	if (config->account_index == NULL)
		return;
	memcpy(secret, config->account_index->secret, sizeof(secret));
	gw_config_hash_keys(config, secret);
	sodium_memzero(secret, sizeof(secret));
}

/* ---- look-up ------------------------------------------------------------ */

const struct gw_account *
gw_config_find_account_by_hash(
    const struct gw_config *config, const struct gw_key_hash *hash)
{
	const struct gw_account_index *index = config->account_index;
	size_t low = 0, high = index == NULL ? 0 : index->nkeys, middle;
	int order;

	while (low < high) {
		middle = low + (high - low) / 2;
		order = memcmp(&index->keys[middle].hash, hash,
		    sizeof(struct gw_key_hash));
		if (order == 0)
			return config->accounts[index->keys[middle].account];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

const struct gw_account *
gw_config_find_account_by_key(
    const struct gw_config *config, const char *key, struct gw_key_hash *hash)
{
	if (config->account_index == NULL)
		return NULL;
	*hash = hash_key(config->account_index->secret, key);
	return gw_config_find_account_by_hash(config, hash);
}

/* Without an index. */
static const struct gw_account *
search_account(const struct gw_config *config, const char *name)
{
	size_t i;

	for (i = 0; i < config->naccounts; i++)
		if (strcmp(config->accounts[i]->name, name) == 0)
			return config->accounts[i];
	return NULL;
}

const struct gw_account *
gw_config_find_account_by_name(const struct gw_config *config, const char *name)
{
	const struct gw_account_index *index = config->account_index;
	size_t low = 0, high = index == NULL ? 0 : index->nnames, middle;
	int order;

	if (index == NULL)
		return search_account(config, name);
	while (low < high) {
		middle = low + (high - low) / 2;
		order = strcmp(index->names[middle].name, name);
		if (order == 0)
			return config->accounts[index->names[middle].account];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

/* ---- checks ------------------------------------------------------------- */

static int
check_name(const struct gw_config *config, size_t account, struct mp_error *err)
{
	const char *name = config->accounts[account]->name;
	size_t len = name == NULL ? 0 : strnlen(name, NAME_MAX_BYTES + 1), i;

	if (len == 0 || len > NAME_MAX_BYTES)
		return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
		    "$.tenants[%zu].name: must have 1 to %u bytes", account,
		    NAME_MAX_BYTES);
	for (i = 0; i < len; i++)
		if (iscntrl((unsigned char)name[i]))
			return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
			    "$.tenants[%zu].name: has a control character",
			    account);
	return MP_OK;
}

static int
check_distinct_names(const struct gw_account_index *index, struct mp_error *err)
{
	const struct name_item *item;
	size_t i;

	for (i = 1; i < index->nnames; i++) {
		item = &index->names[i];
		if (strcmp(item[-1].name, item->name) == 0)
			return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
			    "$.tenants[%zu]: the same name as $.tenants[%zu]",
			    item->account, item[-1].account);
	}
	return MP_OK;
}

static int
check_distinct_keys(const struct gw_account_index *index, struct mp_error *err)
{
	const struct key_item *item;
	size_t i;

	for (i = 1; i < index->nkeys; i++) {
		item = &index->keys[i];
		if (memcmp(&item[-1].hash, &item->hash, sizeof(item->hash)) ==
			0 &&
		    item[-1].account != item->account)
			return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
			    "$.tenants[%zu]: the same key as $.tenants[%zu]",
			    item->account, item[-1].account);
	}
	return MP_OK;
}

int
gw_config_check_accounts(const struct gw_config *config, struct mp_error *err)
{
	/* While no key is hashed, any secret tells which are equal. */
	static const uint8_t no_secret[GW_KEY_SECRET_BYTES];
	struct gw_account_index *index;
	size_t i;
	int rc = MP_OK;

	for (i = 0; i < config->naccounts && rc == MP_OK; i++)
		rc = check_name(config, i, err);
	if (rc != MP_OK || config->naccounts == 0)
		return rc;
	index = create_index(config,
	    config->account_index == NULL ? no_secret
					  : config->account_index->secret);
	rc = check_distinct_names(index, err);
	if (rc == MP_OK)
		rc = check_distinct_keys(index, err);
	gw_account_index_destroy(index);
	return rc;
}
