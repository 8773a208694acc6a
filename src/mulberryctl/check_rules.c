#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "mulberryctl/check.h"
#include "platform/platform.h"
#include "util/buf.h"
#include "util/map.h"
#include "util/mem.h"

/* Warnings of a gateway configuration, see check.h. */

/* Of forward.c: attempts after the first, and when the next one begins. */
#define RETRIES_MAX	     4u
#define CALL_TIMEOUT_TARGETS 2u
/* A placer uses this part of the retry budget, see place_budget.c. */
#define BUDGET_DIVISOR 2u

struct rules {
	const struct check_config *c;
	const struct check_settings *settings;
	struct check_findings *findings;
};

/* Returns the path of an element's member; the caller frees it. */
static char *
path_of(enum gw_element_kind kind, const struct check_element *e,
    enum platform_field field)
{
	return check_format("%s[%zu].%s", check_list_path(kind), e->index,
	    platform_field_name(field));
}

#define WARN(r, rule, path, ...)                                               \
	check_findings_add(                                                    \
	    (r)->findings, CHECK_WARNING, rule, path, __VA_ARGS__)

/* ---- routes ------------------------------------------------------------- */

/* A request's host has no port, and its path begins with a slash. */
static void
check_match(const struct rules *r, const struct check_element *e)
{
	const struct gw_route *route = e->item;

	if (*route->host == '\0' || strpbrk(route->host, ":/ \t") != NULL)
		WARN(r, "never-matches",
		    path_of(GW_ELEMENT_ROUTE, e, PLATFORM_FIELD_HOST),
		    "no request has this host: a name without port is "
		    "compared");
	if (*route->prefix != '/' || strpbrk(route->prefix, "?# \t") != NULL)
		WARN(r, "never-matches",
		    path_of(GW_ELEMENT_ROUTE, e, PLATFORM_FIELD_PREFIX),
		    "no request has a path with this prefix: a path begins "
		    "with a slash, and has no white space, query or fragment");
}

static void
check_targets(const struct rules *r, const struct check_element *e)
{
	const struct gw_route *route = e->item;
	size_t i;

	for (i = 0; i < route->ntargets; i++)
		if (route->targets[i].weight == 0 && route->ntargets > 1)
			WARN(r, "never-selected",
			    check_format("$.routes[%zu].%s[%zu]", e->index,
				platform_field_name(PLATFORM_FIELD_SPLIT), i),
			    "service \"%s\" has the weight 0 and gets no "
			    "request",
			    route->targets[i].service);
}

static void
check_times(const struct rules *r, const struct check_element *e)
{
	const struct gw_route *route = e->item;

	if (route->target_ms > route->timeout_ms)
		WARN(r, "deadline-below-objective",
		    path_of(GW_ELEMENT_ROUTE, e, PLATFORM_FIELD_TIMEOUT),
		    "%u ms is less than the objective, %u ms",
		    route->timeout_ms, route->target_ms);
	if (route->max_event_gap_ms > route->timeout_ms)
		WARN(r, "deadline-below-objective",
		    path_of(GW_ELEMENT_ROUTE, e, PLATFORM_FIELD_TIMEOUT),
		    "%u ms is less than the longest pause between events, "
		    "%u ms",
		    route->timeout_ms, route->max_event_gap_ms);
}

static void
check_attempts(const struct rules *r, const struct check_element *e)
{
	const struct gw_route *route = e->item;
	bool is_repeatable = route->kind == GW_IDEMPOTENT ||
	    (route->kind == GW_STREAM && route->resumable);
	uint32_t repeats =
	    route->max_attempts == 0 ? 0 : route->max_attempts - 1;
	uint32_t budget = r->settings->retry_extra / BUDGET_DIVISOR;
	uint64_t last_ms =
	    (uint64_t)repeats * route->target_ms * CALL_TIMEOUT_TARGETS;
	char *path;

	if (repeats == 0)
		return;
	path = path_of(GW_ELEMENT_ROUTE, e, PLATFORM_FIELD_ATTEMPTS);
	if (!is_repeatable)
		WARN(r, "attempts-without-effect", path,
		    "%u attempts are allowed, but a request of this type may "
		    "run only once",
		    route->max_attempts);
	else if (repeats > RETRIES_MAX)
		WARN(r, "attempts-over-budget", path,
		    "%u attempts are allowed, but a request gets at most %u",
		    route->max_attempts, RETRIES_MAX + 1);
	else if (repeats > budget)
		WARN(r, "attempts-over-budget", path,
		    "%u attempts are allowed, but without other requests the "
		    "retry budget covers %u repeats (half of %u further ones "
		    "in a window)",
		    route->max_attempts, budget, r->settings->retry_extra);
	else if (route->kind == GW_IDEMPOTENT && last_ms >= route->timeout_ms)
		WARN(r, "attempts-over-deadline", path,
		    "if the others get no answer, attempt %u begins after "
		    "%llu ms; the deadline is %u ms",
		    route->max_attempts, (unsigned long long)last_ms,
		    route->timeout_ms);
	else
		free(path);
}

static void
check_route(const struct rules *r, const struct check_element *e)
{
	check_match(r, e);
	check_targets(r, e);
	check_times(r, e);
	check_attempts(r, e);
}

/* ---- services ----------------------------------------------------------- */

static double
to_mb(uint64_t kb)
{
	return (double)kb / 1000;
}

static void
check_model(const struct rules *r, const struct check_element *e, size_t index)
{
	const struct gw_engine *engine =
	    &((const struct gw_service *)e->item)->engine;
	const struct gw_model *m = &engine->models[index];
	uint64_t left = engine->memory_kb - m->weights_kb;

	if (!engine->has_memory)
		return;
	if (m->weights_kb > engine->memory_kb)
		WARN(r, "does-not-fit",
		    check_format("$.services[%zu].engine.models[%zu].%s",
			e->index, index,
			platform_field_name(PLATFORM_FIELD_ENGINE_WEIGHTS)),
		    "model \"%s\" needs %.3f MB, an engine of the service "
		    "has %.3f MB",
		    m->name, to_mb(m->weights_kb), to_mb(engine->memory_kb));
	else if (m->adapter_kb > left)
		WARN(r, "does-not-fit",
		    check_format("$.services[%zu].engine.models[%zu].%s",
			e->index, index,
			platform_field_name(PLATFORM_FIELD_ADAPTER_SIZE)),
		    "an adapter of model \"%s\" needs %.3f MB, an engine of "
		    "the service has %.3f MB beside the model",
		    m->name, to_mb(m->adapter_kb), to_mb(left));
}

static void
check_service(const struct rules *r, const struct check_element *e)
{
	const struct gw_service *s = e->item;
	size_t i;

	for (i = 0; i < s->engine.nmodels; i++) {
		check_model(r, e, i);
		if (s->engine.models[i].adapter_count > 0 &&
		    s->engine.adapter_slots == 0)
			WARN(r, "does-not-fit",
			    check_format("$.services[%zu].engine.%s", e->index,
				platform_field_name(
				    PLATFORM_FIELD_ADAPTER_SLOTS)),
			    "model \"%s\" has %u adapters, and no engine has "
			    "a slot for one",
			    s->engine.models[i].name,
			    s->engine.models[i].adapter_count);
	}
}

/* Services that no route names get no request. */
static void
check_used_services(const struct rules *r)
{
	const struct check_list *routes = &r->c->lists[GW_ELEMENT_ROUTE];
	const struct check_list *services = &r->c->lists[GW_ELEMENT_SERVICE];
	struct map *used = map_create(), *seen = map_create();
	const struct check_element *first;
	const struct gw_route *route;
	const struct gw_service *s;
	size_t i, k;

	for (i = 0; i < routes->count; i++) {
		route = routes->items[i].item;
		for (k = 0; k < route->ntargets; k++)
			(void)map_set_str(
			    used, route->targets[k].service, (void *)route);
	}
	for (i = 0; i < services->count; i++) {
		s = services->items[i].item;
		first = map_get_str(seen, s->name);
		if (first != NULL)
			WARN(r, "never-selected",
			    path_of(GW_ELEMENT_SERVICE, &services->items[i],
				PLATFORM_FIELD_NAME),
			    "the same name as $.services[%zu], which is used",
			    first->index);
		else if (map_get_str(used, s->name) == NULL &&
		    !routes->is_incomplete)
			WARN(r, "never-selected",
			    path_of(GW_ELEMENT_SERVICE, &services->items[i],
				PLATFORM_FIELD_NAME),
			    "no route names service \"%s\"", s->name);
		if (first == NULL)
			(void)map_set_str(seen, s->name, &services->items[i]);
	}
	map_destroy(used);
	map_destroy(seen);
}

/* ---- accounts ----------------------------------------------------------- */

static void
check_quota(const struct rules *r, const struct check_element *e)
{
	const struct gw_account *a = e->item;
	const struct gw_quota *q = &a->quota;
	const char *unit = q->unit == GW_QUOTA_TOKENS ? "tokens" : "requests";
	/* A quota without a burst may use one second's units at once. */
	uint64_t burst = q->burst == 0 ? q->units_per_s : q->burst;

	if (q->units_per_s == 0) {
		if (q->burst > 0)
			WARN(r, "quota-without-effect",
			    path_of(
				GW_ELEMENT_ACCOUNT, e, PLATFORM_FIELD_BURST),
			    "without a rate the account has no limit");
		return;
	}
	if (burst < q->units_per_s / 2 + q->units_per_s % 2)
		WARN(r, "burst-below-rate",
		    path_of(GW_ELEMENT_ACCOUNT, e, PLATFORM_FIELD_BURST),
		    "%llu %s is less than half a second of the rate, %llu a "
		    "second: groups of requests are refused below the rate",
		    (unsigned long long)burst, unit,
		    (unsigned long long)q->units_per_s);
	if (q->unit == GW_QUOTA_TOKENS && q->default_tokens > burst)
		WARN(r, "charge-above-burst",
		    path_of(
			GW_ELEMENT_ACCOUNT, e, PLATFORM_FIELD_DEFAULT_TOKENS),
		    "a request that names no tokens is charged %u, more than "
		    "the burst, %llu, and always refused",
		    q->default_tokens, (unsigned long long)burst);
	if (q->unit == GW_QUOTA_REQUESTS && q->default_tokens > 0)
		WARN(r, "quota-without-effect",
		    path_of(
			GW_ELEMENT_ACCOUNT, e, PLATFORM_FIELD_DEFAULT_TOKENS),
		    "the quota counts requests");
}

static void
check_account(const struct rules *r, const struct check_element *e)
{
	const struct gw_account *a = e->item;

	if (a->nkeys == 0)
		WARN(r, "never-matches",
		    path_of(GW_ELEMENT_ACCOUNT, e, PLATFORM_FIELD_KEYS),
		    "account \"%s\" has no key", a->name);
	check_quota(r, e);
}

/* ---- near duplicates ---------------------------------------------------- */

/*
 * Returns a name without white space at its ends, in lower case, and, of a
 * prefix, without slashes at its end.
 */
static char *
fold(const char *name, bool is_prefix)
{
	size_t len = strlen(name), start = 0, i;
	char *out;

	while (start < len && isspace((unsigned char)name[start]))
		start++;
	while (len > start &&
	    (isspace((unsigned char)name[len - 1]) ||
		(is_prefix && name[len - 1] == '/')))
		len--;
	out = mem_copy(name + start, len - start);
	for (i = 0; i < len - start; i++)
		out[i] = (char)tolower((unsigned char)out[i]);
	return out;
}

/*
 * Warns if another element has a name that differs only by case or white space.
 *
 * folded: is freed.
 * what: names the text; a key is not shown.
 */
static void
check_near(const struct rules *r, struct map *seen, char *folded,
    enum gw_element_kind kind, const struct check_element *e,
    enum platform_field field, const char *what)
{
	const struct check_element *other = map_get_str(seen, folded);

	if (other == NULL)
		(void)map_set_str(seen, folded, (void *)e);
	else if (other != e)
		WARN(r, "near-duplicate", path_of(kind, e, field),
		    "differs from %s of %s[%zu] only by case, white space or "
		    "a slash at the end",
		    what, check_list_path(kind), other->index);
	free(folded);
}

static void
check_near_routes(const struct rules *r)
{
	const struct check_list *list = &r->c->lists[GW_ELEMENT_ROUTE];
	struct map *seen = map_create();
	const struct gw_route *route;
	char *host, *prefix;
	size_t i;

	for (i = 0; i < list->count; i++) {
		route = list->items[i].item;
		if (gw_config_find_route(
			r->c->config, route->host, route->prefix) != route)
			continue; /* an error already */
		host = fold(route->host, false);
		prefix = fold(route->prefix, true);
		check_near(r, seen, check_format("%s %s", host, prefix),
		    GW_ELEMENT_ROUTE, &list->items[i], PLATFORM_FIELD_PREFIX,
		    "the prefix");
		free(host);
		free(prefix);
	}
	map_destroy(seen);
}

static void
check_near_accounts(const struct rules *r)
{
	const struct check_list *list = &r->c->lists[GW_ELEMENT_ACCOUNT];
	struct map *names = map_create(), *keys = map_create();
	struct map *exact = map_create();
	const struct gw_account *a;
	size_t i, k;

	for (i = 0; i < list->count; i++) {
		a = list->items[i].item;
		if (map_get_str(exact, a->name) == NULL)
			check_near(r, names, fold(a->name, false),
			    GW_ELEMENT_ACCOUNT, &list->items[i],
			    PLATFORM_FIELD_NAME, "the name");
		(void)map_set_str(exact, a->name, (void *)a);
	}
	map_destroy(exact);
	exact = map_create();
	for (i = 0; i < list->count; i++) {
		a = list->items[i].item;
		for (k = 0; k < a->nkeys; k++) {
			if (map_get_str(exact, a->plain_keys[k]) == NULL)
				check_near(r, keys,
				    fold(a->plain_keys[k], false),
				    GW_ELEMENT_ACCOUNT, &list->items[i],
				    PLATFORM_FIELD_KEYS, "a key");
			(void)map_set_str(exact, a->plain_keys[k], (void *)a);
		}
	}
	map_destroy(names);
	map_destroy(keys);
	map_destroy(exact);
}

static void
check_near_services(const struct rules *r)
{
	const struct check_list *list = &r->c->lists[GW_ELEMENT_SERVICE];
	struct map *seen = map_create();
	const struct gw_service *s;
	size_t i;

	for (i = 0; i < list->count; i++) {
		s = list->items[i].item;
		if (gw_config_find_service(r->c->config, s->name) == s)
			check_near(r, seen, fold(s->name, false),
			    GW_ELEMENT_SERVICE, &list->items[i],
			    PLATFORM_FIELD_NAME, "the name");
	}
	map_destroy(seen);
}

/* ---- all ---------------------------------------------------------------- */

void
check_config_warn(const struct check_config *c,
    const struct check_settings *settings, struct check_findings *findings)
{
	static void (*const rules[GW_ELEMENT_KINDS])(const struct rules *r,
	    const struct check_element *e) = {[GW_ELEMENT_ROUTE] = check_route,
	    [GW_ELEMENT_SERVICE] = check_service,
	    [GW_ELEMENT_ACCOUNT] = check_account};
	struct rules r = {c, settings, findings};
	size_t i;
	int kind;

	for (kind = GW_ELEMENT_ROUTE; kind < GW_ELEMENT_KINDS; kind++)
		for (i = 0; i < c->lists[kind].count; i++)
			rules[kind](&r, &c->lists[kind].items[i]);
	check_used_services(&r);
	check_near_routes(&r);
	check_near_services(&r);
	check_near_accounts(&r);
}
