#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "gate/gate_account.h"
#include "mulberrypath/gateway.h"

/*
 * The gateway's configuration: lookup of routes and services, and the checks
 * that do not depend on the wire format.
 */

static void
route_free(struct gw_route *r)
{
	size_t i;

	for (i = 0; i < r->ntargets; i++)
		free(r->targets[i].service);
	free(r->targets);
	free(r->name);
	free(r->host);
	free(r->prefix);
}

static void
service_free(struct gw_service *s)
{
	size_t i;

	for (i = 0; i < s->engine.nmodels; i++)
		free(s->engine.models[i].name);
	free(s->engine.models);
	free(s->name);
}

void
gw_config_destroy(struct gw_config *config)
{
	size_t i;

	if (config == NULL)
		return;
	for (i = 0; i < config->nroutes; i++)
		route_free(&config->routes[i]);
	for (i = 0; i < config->nservices; i++)
		service_free(&config->services[i]);
	for (i = 0; i < config->naccounts; i++)
		gw_account_clear(&config->accounts[i]);
	gw_account_index_destroy(config->account_index);
	free(config->routes);
	free(config->services);
	free(config->accounts);
	free(config);
}

const struct gw_route *
gw_config_find_route(
    const struct gw_config *config, const char *host, const char *path)
{
	const struct gw_route *best = NULL, *r;
	size_t i, len, longest = 0;

	for (i = 0; i < config->nroutes; i++) {
		r = &config->routes[i];
		len = strlen(r->prefix);
		if ((best != NULL && len <= longest) ||
		    strcasecmp(r->host, host) != 0 ||
		    strncmp(r->prefix, path, len) != 0)
			continue;
		best = r;
		longest = len;
	}
	return best;
}

const struct gw_service *
gw_config_find_service(const struct gw_config *config, const char *name)
{
	size_t i;

	for (i = 0; i < config->nservices; i++)
		if (strcmp(config->services[i].name, name) == 0)
			return &config->services[i];
	return NULL;
}

const char *
gw_route_select_service(const struct gw_route *route, uint64_t number)
{
	uint64_t offset = number % route->weight;
	size_t i;

	for (i = 0; i + 1 < route->ntargets; i++) {
		if (offset < route->targets[i].weight)
			break;
		offset -= route->targets[i].weight;
	}
	return route->targets[i].service;
}

static int
check_targets(const struct gw_config *config, struct gw_route *r, size_t index,
    struct mp_error *err)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < r->ntargets; i++) {
		if (gw_config_find_service(config, r->targets[i].service) ==
		    NULL)
			return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
			    "$.routes[%zu]: unknown service \"%s\"", index,
			    r->targets[i].service);
		sum += r->targets[i].weight;
	}
	if (sum == 0 || sum > UINT32_MAX)
		return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
		    "$.routes[%zu]: the weights must add up to more than 0",
		    index);
	r->weight = (uint32_t)sum;
	return MP_OK;
}

static int
check_distinct(
    const struct gw_config *config, size_t index, struct mp_error *err)
{
	const struct gw_route *r = &config->routes[index], *other;
	size_t i;

	for (i = 0; i < index; i++) {
		other = &config->routes[i];
		if (strcasecmp(r->host, other->host) == 0 &&
		    strcmp(r->prefix, other->prefix) == 0)
			return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
			    "$.routes[%zu]: the same host and prefix as "
			    "$.routes[%zu]",
			    index, i);
	}
	return MP_OK;
}

int
gw_config_check(struct gw_config *config, struct mp_error *err)
{
	size_t i;
	int rc;

	for (i = 0; i < config->nroutes; i++) {
		if (config->routes[i].timeout_ms == 0)
			return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
			    "$.routes[%zu]: the timeout must not be 0", i);
		rc = check_targets(config, &config->routes[i], i, err);
		if (rc == MP_OK)
			rc = check_distinct(config, i, err);
		if (rc != MP_OK)
			return rc;
	}
	return gw_config_check_accounts(config, err);
}
