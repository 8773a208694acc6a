#include <string.h>

#include "node/node_gate.h"

/*
 * Client accounts of callers' requests. A request keeps the name of its account
 * and the hash of its key; the key itself is used in one step only.
 */

/* gw_request.quota_unit_plus_one of a request of the account. */
static int
get_quota_unit(const struct gw_account *account)
{
	return account->quota.units_per_s == 0 ? 0
					       : (int)account->quota.unit + 1;
}

static void
set_account(struct gw_request *request, const struct gw_account *account)
{
	request->quota_unit_plus_one = get_quota_unit(account);
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
	n->gate->codec->remove_account_headers(request, n->fx);
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

/*
 * Whether the request is charged by another unit than the account's requests
 * are now. Then it is treated as one of a renamed account.
 */
static bool
has_other_unit(
    const struct gw_request *request, const struct gw_account *account)
{
	int unit = get_quota_unit(account);

	return unit != 0 && request->quota_unit_plus_one != 0 &&
	    unit != request->quota_unit_plus_one;
}

/* Whether the request's key still has the account that it had. */
static enum forward_verdict
check_account(const struct node *n, const struct gw_request *request,
    const struct gw_route *route, enum gate_config_trust trust,
    const char **reason)
{
	const struct gw_config *config = n->gate->config;
	const struct gw_account *account;

	if (request->has_accounts != config->has_accounts)
		return FORWARD_OUTDATED;
	if (!config->has_accounts ||
	    (request->account == NULL && route->is_public))
		return FORWARD_SEND;
	account = request->account == NULL
	    ? NULL
	    : gw_config_find_account_by_hash(config, &request->key_hash);
	if (account == NULL)
		return trust == GATE_CONFIG_CONFIRMED && !route->is_public
		    ? FORWARD_UNAUTHORIZED
		    : FORWARD_OUTDATED;
	if (strcmp(account->name, request->account) != 0)
		return FORWARD_OUTDATED;
	if (!has_other_unit(request, account))
		return FORWARD_SEND;
	*reason = "quota-unit-changed";
	return FORWARD_OUTDATED;
}

static bool
has_service(const struct gw_route *route, const char *service)
{
	size_t i;

	for (i = 0; i < route->ntargets; i++)
		if (strcmp(route->targets[i].service, service) == 0)
			return true;
	return false;
}

/* Checks route and account against the configuration in force. */
static enum forward_verdict
check_config(struct node *n, struct forward_check *check)
{
	enum gate_config_trust trust = gate_config_get_trust(n);
	const struct gw_config *config = n->gate->config;
	const struct gw_route *route;

	check->retry_after_ms = GATE_RETRY_AFTER_MS;
	if (trust == GATE_CONFIG_UNUSABLE) {
		check->reason = "config-out-of-date";
		return FORWARD_OUTDATED;
	}
	if (check->config_version == config->version)
		return FORWARD_SEND;
	route = gw_config_find_route(config, check->request->host, check->path);
	if (route == NULL || !has_service(route, check->service)) {
		check->reason = "route-changed";
		return route == NULL && trust == GATE_CONFIG_CONFIRMED
		    ? FORWARD_NO_ROUTE
		    : FORWARD_OUTDATED;
	}
	check->reason = "key-changed";
	return check_account(n, check->request, route, trust, &check->reason);
}

enum forward_verdict
gate_account_check(
    void *ctx, struct forward_check *check, struct node_effects *fx)
{
	struct node *n = ctx;
	enum forward_verdict verdict = check_config(n, check);

	(void)fx;
	if (verdict == FORWARD_NO_ROUTE || verdict == FORWARD_UNAUTHORIZED)
		check->retry_after_ms = 0;
	if (verdict != FORWARD_SEND || check->endpoint == NULL)
		return verdict;
	return gate_notice_allows(n, check->ask, check->endpoint,
		   check->born_ms, &check->retry_after_ms)
	    ? FORWARD_SEND
	    : FORWARD_ENDPOINT_DECLINES;
}

/*
 * Requests may wait for seconds, so those of a revoked key are not left until
 * they are granted. Without accounts they are checked when they are sent.
 */
void
gate_account_tick(struct node *n)
{
	struct node_gate *g = n->gate;
	bool had_accounts = g->checked_accounts;

	if (g->config == NULL || g->checked_version == g->config->version ||
	    gate_config_get_trust(n) != GATE_CONFIG_CONFIRMED)
		return;
	g->checked_version = g->config->version;
	g->checked_accounts = g->config->has_accounts;
	if (had_accounts || g->checked_accounts)
		forward_refuse_outdated(g->forward, n->now, n->fx);
}
