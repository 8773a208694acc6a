#include <string.h>

#include "node/node_gate.h"

/*
 * Client accounts of callers' requests. A request keeps the name of its account
 * and the hash of its key; the key itself is used in one step only.
 */

static void
set_account(struct gw_request *request, const struct gw_account *account)
{
	request->account = account->name;
	request->account_priority = account->priority;
}

const char *
gate_account_identify(
    struct node *n, const struct gw_route *route, struct gw_request *request)
{
	const struct gw_config *config = n->gate->config;
	const struct gw_account *account = NULL;
	bool has_key = request->key != NULL;

	request->has_accounts = config->has_accounts;
	if (!config->has_accounts)
		return NULL;
	if (has_key)
		account = gw_config_find_account_by_key(
		    config, request->key, &request->key_hash);
	request->key = NULL;
	if (account != NULL)
		set_account(request, account);
	if (account != NULL || route->is_public)
		return NULL;
	if (has_key)
		n->gate->account_stats.unknown_keys++;
	else
		n->gate->account_stats.missing_keys++;
	return has_key ? "no account has this key" : "no key of an account";
}
