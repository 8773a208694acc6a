/*
 * Test control: POST /fake/set injects faults, GET /fake/state returns
 * counters.
 */

#include "fakes/endpoint.h"

bool
control_is_silent(const struct endpoint *e, uint64_t request)
{
	uint64_t connection;

	if (e->faults.silent_all)
		return true;
	connection = http_server_get_connection(e->server, request);
	return connection != 0 &&
	    connection <= e->faults.silent_until_connection;
}

/*
 * Expects {"silent": bool, "silentAll": bool, "breakStreamsAfter": N,
 * "failLoads": probability, "wrongModel": bool, "dropAnnounce": bool}. Absent
 * members leave the setting unchanged; they keep the value -1 here.
 */
void
control_set(struct endpoint *e, const struct node_request *r)
{
	json_t *body = json_loadb(r->body.data, r->body.len, 0, NULL);
	int silent_wanted = -1, silent_all_wanted = -1, break_after_wanted = -1,
	    wrong_model_wanted = -1, drop_announce_wanted = -1;
	double fail_loads_wanted = -1;

	if (json_unpack(body, "{s?b, s?b, s?i, s?F, s?b, s?b !}", "silent",
		&silent_wanted, "silentAll", &silent_all_wanted,
		"breakStreamsAfter", &break_after_wanted, "failLoads",
		&fail_loads_wanted, "wrongModel", &wrong_model_wanted,
		"dropAnnounce", &drop_announce_wanted) != 0) {
		json_decref(body);
		fake_reply_error(e->server, r->request, 400, "bad-body");
		return;
	}
	json_decref(body);
	if (silent_wanted >= 0)
		e->faults.silent_until_connection =
		    silent_wanted ? e->newest_connection : 0;
	if (silent_all_wanted >= 0)
		e->faults.silent_all = silent_all_wanted;
	if (break_after_wanted >= 0)
		e->faults.break_after = (unsigned)break_after_wanted;
	if (fail_loads_wanted >= 0)
		e->faults.fail_loads = fail_loads_wanted;
	if (wrong_model_wanted >= 0)
		e->faults.wrong_model = wrong_model_wanted;
	if (drop_announce_wanted >= 0)
		e->faults.drop_announce = drop_announce_wanted;
	fake_reply(e->server, r->request, 200, json_pack("{}"));
}

static json_t *
counters_to_json(const struct map *m)
{
	json_t *result = json_object();
	size_t i;

	for (i = 0; i < map_count(m); i++)
		(void)json_object_set_new(result, map_key_at(m, i, NULL),
		    json_integer(*(unsigned *)map_at(m, i)));
	return result;
}

static json_t *
adapters_to_json(const struct endpoint *e)
{
	json_t *result = json_array();
	size_t i;

	for (i = 0; i < (size_t)e->slot_count; i++)
		if (e->slots[i].key != NULL)
			(void)json_array_append_new(
			    result, json_string(e->slots[i].key));
	return result;
}

static double
mean_per_step(uint64_t sum, uint64_t steps)
{
	return steps == 0 ? 0 : (double)sum / (double)steps;
}

void
control_state(struct endpoint *e, const struct node_request *r)
{
	const struct counts *c = &e->counts;
	json_t *state = json_pack("{s:s, s:I, s:s, s:b, s:I, s:I, s:o}", "id",
	    e->id, "incarnation", (json_int_t)e->incarnation, "role", e->role,
	    "leaving", e->leaving, "running", (json_int_t)e->nrunning, "queued",
	    (json_int_t)e->nqueued, "adapters", adapters_to_json(e));
	const struct {
		const char *name;
		uint64_t value;
	} numbers[] = {{"loads", c->loads}, {"failedLoads", c->failed_loads},
	    {"evictions", c->evictions},
	    {"evictionsInUse", c->evictions_in_use}, {"steps", c->steps},
	    {"tokens", c->tokens}, {"cancelled", c->cancelled},
	    {"gone", c->gone}, {"refused", c->refused},
	    {"staleOrders", c->stale_orders}, {"staleRuns", c->stale_runs},
	    {"newestFence", e->newest_fence}};
	size_t i;

	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++)
		(void)json_object_set_new(state, numbers[i].name,
		    json_integer((json_int_t)numbers[i].value));
	(void)json_object_set_new(state, "meanBatch",
	    json_real(mean_per_step(c->sequences, c->steps)));
	(void)json_object_set_new(state, "meanAdapters",
	    json_real(mean_per_step(c->adapters, c->steps)));
	(void)json_object_set_new(
	    state, "runsById", counters_to_json(e->runs_by_id));
	(void)json_object_set_new(
	    state, "callsByKey", counters_to_json(e->calls_by_key));
	fake_reply(e->server, r->request, 200, state);
}
