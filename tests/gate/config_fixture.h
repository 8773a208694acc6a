#ifndef MP_TESTS_GATE_CONFIG_FIXTURE_H
#define MP_TESTS_GATE_CONFIG_FIXTURE_H

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "gate/gate_update.h"
#include "platform/platform.h"

inline node_bytes
Bytes(const std::string &s)
{
	return {s.data(), s.size()};
}

inline std::string
Join(const gw_text *text)
{
	struct buf out = {};
	std::string joined;

	gw_text_join(text, &out);
	if (out.len > 0)
		joined.assign(out.data, out.len);
	buf_free(&out);
	return joined;
}

/*
 * A configuration as an instance holds it: changed by differences, and by their
 * new segments alone.
 */
class LiveConfig {
      public:
	gw_text *text = nullptr;
	gw_config *config = gw_config_create();
	mp_error err = {};
	gw_update_work work = {};
	bool has_priorities = false;
	gw_text_work text_work = {}, parse_work = {};
	size_t delta_bytes = 0;

	~LiveConfig()
	{
		gw_text_destroy(text);
		gw_config_destroy(config);
	}

	/* Bytes that are decoded in one step; 0: all at once. */
	size_t step_bytes = 0;

	int
	Prepare(
	    gw_update **update, const gw_text *next, const gw_text_delta *delta)
	{
		bool done = false;
		int rc;

		if (step_bytes == 0)
			return gw_update_prepare(update, &platform_codec,
			    config, text, next, delta, &err);
		rc = gw_update_begin(
		    update, &platform_codec, config, text, next, delta, &err);
		while (rc == MP_OK && !done)
			rc = gw_update_continue(
			    *update, step_bytes, &done, &err);
		if (rc != MP_OK) {
			gw_update_destroy(*update);
			*update = nullptr;
		}
		return rc;
	}

	/* Changes it to another text; on an error it stays as it is. */
	int
	Change(const std::string &to)
	{
		gw_text *parsed = nullptr, *next = nullptr, *alone = nullptr;
		gw_text_delta *delta;
		gw_update *update = nullptr;
		int rc = gw_text_parse(&parsed, Bytes(to), text, &err);

		EXPECT_EQ(gw_text_parse(&alone, Bytes(to), nullptr, &err), rc);
		if (rc != MP_OK)
			return rc;
		parse_work = gw_text_get_work(parsed);
		EXPECT_TRUE(gw_text_is_equal(parsed, alone));
		EXPECT_EQ(gw_text_digest(parsed), gw_text_digest(alone));
		gw_text_destroy(alone);
		EXPECT_EQ(Join(parsed), to);
		delta = gw_text_diff(text, parsed);
		EXPECT_EQ(gw_text_apply(&next, text, delta, &err), MP_OK);
		EXPECT_EQ(Join(next), to);
		EXPECT_TRUE(gw_text_is_equal(parsed, next));
		EXPECT_TRUE(gw_text_is_bytes(next, Bytes(to)));
		EXPECT_EQ(gw_text_digest(parsed), gw_text_digest(next));
		delta_bytes = gw_text_delta_bytes(delta);
		text_work = gw_text_get_work(next);
		rc = Prepare(&update, next, delta);
		if (rc == MP_OK) {
			rc = gw_update_apply(update, &err);
			work = gw_update_get_work(update);
			has_priorities = gw_update_has_priorities(update);
			if (rc != MP_OK)
				gw_update_revert(update);
		}
		gw_text_delta_destroy(delta);
		gw_text_destroy(parsed);
		gw_text_destroy(rc == MP_OK ? text : next);
		if (rc == MP_OK)
			text = next;
		gw_update_destroy(update);
		return rc;
	}
};

/* Decodes and checks a whole text; *out is NULL on error. */
inline int
ReadWhole(gw_config **out, const std::string &text, mp_error *err)
{
	int rc = platform_codec.read_config(out, Bytes(text), err);

	if (rc == MP_OK)
		rc = gw_config_check(*out, err);
	if (rc != MP_OK) {
		gw_config_destroy(*out);
		*out = nullptr;
	}
	return rc;
}

/* The routes and services of a configuration as text, to compare them. */
inline std::string
Describe(const gw_config *c)
{
	std::string out = std::to_string(c->version) + " " +
	    std::to_string(c->limits.body_bytes) + "\n";

	for (size_t i = 0; i < c->nservices; i++)
		out += std::string("service ") + c->services[i]->name + " " +
		    std::to_string(c->services[i]->engine.seats) + "\n";
	for (size_t i = 0; i < c->nroutes; i++) {
		const gw_route *r = c->routes[i];

		out += std::string(r->name == nullptr ? "" : r->name) + " " +
		    r->host + " " + r->prefix + " " +
		    std::to_string(r->timeout_ms) + " " +
		    std::to_string(r->weight);
		for (size_t k = 0; k < r->ntargets; k++)
			out += std::string(" ") + r->targets[k].service + ":" +
			    std::to_string(r->targets[k].weight);
		out += "\n";
	}
	return out;
}

#endif
