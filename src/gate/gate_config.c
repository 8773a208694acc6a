#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "gate/gate_account.h"
#include "gate/gate_config.h"
#include "util/mem.h"

/*
 * The gateway's configuration: lookup of routes and services, and the checks
 * that do not depend on the wire format.
 */

/* ---- memory ------------------------------------------------------------- */

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
	free(r);
}

static void
service_free(struct gw_service *s)
{
	size_t i;

	for (i = 0; i < s->engine.nmodels; i++)
		free(s->engine.models[i].name);
	free(s->engine.models);
	free(s->name);
	free(s);
}

static void
account_free(struct gw_account *a)
{
	gw_account_clear(a);
	free(a);
}

void
gw_element_destroy(enum gw_element_kind kind, void *element)
{
	if (element == NULL)
		return;
	if (kind == GW_ELEMENT_ROUTE)
		route_free(element);
	else if (kind == GW_ELEMENT_SERVICE)
		service_free(element);
	else if (kind == GW_ELEMENT_ACCOUNT)
		account_free(element);
}

void
gw_config_destroy(struct gw_config *config)
{
	size_t i;

	if (config == NULL)
		return;
	for (i = 0; i < config->nroutes; i++)
		gw_element_destroy(GW_ELEMENT_ROUTE, config->routes[i]);
	for (i = 0; i < config->nservices; i++)
		gw_element_destroy(GW_ELEMENT_SERVICE, config->services[i]);
	for (i = 0; i < config->naccounts; i++)
		gw_element_destroy(GW_ELEMENT_ACCOUNT, config->accounts[i]);
	free(config->routes);
	free(config->services);
	free(config->accounts);
	gw_config_index_destroy(config->index);
	gw_account_index_destroy(config->account_index);
	free(config);
}

void **
gw_config_get_elements(
    const struct gw_config *config, enum gw_element_kind kind, size_t *count)
{
	if (kind == GW_ELEMENT_ROUTE) {
		*count = config->nroutes;
		return (void **)config->routes;
	}
	if (kind == GW_ELEMENT_SERVICE) {
		*count = config->nservices;
		return (void **)config->services;
	}
	*count = kind == GW_ELEMENT_ACCOUNT ? config->naccounts : 0;
	return kind == GW_ELEMENT_ACCOUNT ? (void **)config->accounts : NULL;
}

void
gw_config_set_elements(struct gw_config *config, enum gw_element_kind kind,
    void **elements, size_t count)
{
	if (kind == GW_ELEMENT_ROUTE) {
		config->routes = (struct gw_route **)elements;
		config->nroutes = count;
	} else if (kind == GW_ELEMENT_SERVICE) {
		config->services = (struct gw_service **)elements;
		config->nservices = count;
	} else if (kind == GW_ELEMENT_ACCOUNT) {
		config->accounts = (struct gw_account **)elements;
		config->naccounts = count;
	}
}

struct gw_config_index *
gw_config_index_create(void)
{
	struct gw_config_index *index = mem_alloc(1, sizeof(*index));

	index->routes = gw_route_index_create();
	index->services = map_create();
	index->priorities = map_create();
	return index;
}

void
gw_config_index_destroy(struct gw_config_index *index)
{
	if (index == NULL)
		return;
	gw_route_index_destroy(index->routes);
	map_destroy(index->services);
	map_destroy(index->priorities);
	free(index);
}

bool
gw_config_index_count_priority(
    struct gw_config_index *index, const struct gw_route *route, int change)
{
	uintptr_t before =
	    (uintptr_t)map_get_u64(index->priorities, route->priority);
	uintptr_t count = before + (uintptr_t)change;

	if (count == 0)
		(void)map_remove_u64(index->priorities, route->priority);
	else
		(void)map_set_u64(
		    index->priorities, route->priority, (void *)count);
	return before == 0 || count == 0;
}

void
gw_config_index_services(struct gw_config *config)
{
	struct map *services = map_create();
	size_t i;

	for (i = 0; i < config->nservices; i++)
		if (map_get_str(services, config->services[i]->name) == NULL)
			(void)map_set_str(services, config->services[i]->name,
			    config->services[i]);
	map_destroy(config->index->services);
	config->index->services = services;
}

/* ---- look-up ------------------------------------------------------------ */

/* Finds a route of a configuration that has not been checked. */
static const struct gw_route *
search_route(const struct gw_config *config, const char *host, const char *path)
{
	const struct gw_route *best = NULL, *r;
	size_t i, len, longest = 0;

	for (i = 0; i < config->nroutes; i++) {
		r = config->routes[i];
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

const struct gw_route *
gw_config_find_route(
    const struct gw_config *config, const char *host, const char *path)
{
	return config->index == NULL
	    ? search_route(config, host, path)
	    : gw_route_index_find(config->index->routes, host, path);
}

const struct gw_service *
gw_config_find_service(const struct gw_config *config, const char *name)
{
	size_t i;

	if (config->index != NULL)
		return map_get_str(config->index->services, name);
	for (i = 0; i < config->nservices; i++)
		if (strcmp(config->services[i]->name, name) == 0)
			return config->services[i];
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

int
gw_config_check_route(const struct gw_config *config, struct gw_route *r,
    size_t index, struct mp_error *err)
{
	if (r->timeout_ms == 0)
		return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
		    "$.routes[%zu]: the timeout must not be 0", index);
	return check_targets(config, r, index, err);
}

static int
refuse_same(const struct gw_config *config, size_t index,
    const struct gw_route *other, struct mp_error *err)
{
	size_t i = 0;

	while (config->routes[i] != other)
		i++;
	return mp_error_set(err, MP_LAYER_GATE, MP_ERR_INVALID,
	    "$.routes[%zu]: the same host and prefix as $.routes[%zu]", index,
	    i);
}

static int
check_routes(struct gw_config *config, struct mp_error *err)
{
	const struct gw_route *other;
	size_t i;
	int rc = MP_OK;

	for (i = 0; i < config->nroutes && rc == MP_OK; i++) {
		rc = gw_config_check_route(config, config->routes[i], i, err);
		if (rc != MP_OK)
			break;
		other = gw_route_index_add(
		    config->index->routes, config->routes[i]);
		if (other != NULL)
			rc = refuse_same(config, i, other, err);
		(void)gw_config_index_count_priority(
		    config->index, config->routes[i], 1);
	}
	return rc;
}

int
gw_config_check(struct gw_config *config, struct mp_error *err)
{
	int rc;

	gw_config_index_destroy(config->index);
	config->index = gw_config_index_create();
	gw_config_index_services(config);
	rc = check_routes(config, err);
	if (rc != MP_OK) {
		gw_config_index_destroy(config->index);
		config->index = NULL;
	}
	if (rc == MP_OK)
		rc = gw_config_check_accounts(config, err);
	return rc;
}
