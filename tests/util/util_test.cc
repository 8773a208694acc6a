#include <gtest/gtest.h>

#include <map>
#include <string>

#include "mulberrypath/error.h"
#include "util/buf.h"
#include "util/hist.h"
#include "util/map.h"
#include "util/mem.h"
#include "util/rng.h"

/* Guards against losing the cause of an error that a higher layer reports. */
TEST(error, wrap_keeps_the_lower_message)
{
	struct mp_error err = {};

	EXPECT_EQ(mp_error_set(&err, MP_LAYER_STORE, MP_ERR_IO, "disk %d", 3),
	    MP_ERR_IO);
	EXPECT_EQ(mp_error_wrap(
		      &err, MP_LAYER_NODE, MP_ERR_UNAVAILABLE, "cannot start"),
	    MP_ERR_UNAVAILABLE);
	EXPECT_STREQ(err.message, "cannot start: disk 3");
	EXPECT_EQ(err.layer, MP_LAYER_NODE);
	EXPECT_STREQ(mp_code_name(MP_ERR_DENIED), "denied");
	EXPECT_STREQ(mp_layer_name(MP_LAYER_CLI), "cli");
}

TEST(buf, json_string_escapes)
{
	struct {
		const char *in, *out;
	} cases[] = {
	    {"plain", "\"plain\""},
	    {"a\"b\\c", "\"a\\\"b\\\\c\""},
	    {"line\nend", "\"line\\nend\""},
	    {"\x01", "\"\\u0001\""},
	};

	for (auto &c : cases) {
		struct buf b = {};

		buf_json_string(&b, c.in);
		EXPECT_STREQ(b.data, c.out);
		buf_free(&b);
	}
}

TEST(buf, consume_keeps_tail)
{
	struct buf b = {};

	buf_printf(&b, "%s-%d", "abc", 7);
	buf_consume(&b, 2);
	EXPECT_STREQ(b.data, "c-7");
	buf_consume(&b, 100);
	EXPECT_EQ(b.len, 0u);
	buf_free(&b);
}

/*
 * Guards against keys that are lost or found in the wrong slot when removals
 * move other entries: random calls are compared with std::map.
 */
TEST(map, agrees_with_a_model_under_random_calls)
{
	struct map *m = map_create();
	std::map<uint64_t, void *> model;
	struct rng r;

	rng_seed(&r, 11);
	for (int i = 0; i < 20000; i++) {
		uint64_t key = rng_below(&r, 500);
		void *value = &model + rng_below(&r, 100);

		if (rng_below(&r, 3) == 0) {
			EXPECT_EQ(map_remove_u64(m, key),
			    model.count(key) ? model[key] : nullptr);
			model.erase(key);
		} else {
			map_set_u64(m, key, value);
			model[key] = value;
		}
		ASSERT_EQ(map_count(m), model.size());
	}
	for (auto &kv : model)
		EXPECT_EQ(map_get_u64(m, kv.first), kv.second);
	map_destroy(m);
}

/* Guards against hidden state, which would make a replay differ. */
TEST(rng, same_seed_same_numbers)
{
	struct rng a, b;

	rng_seed(&a, 5);
	rng_seed(&b, 5);
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(rng_u64(&a), rng_u64(&b));
	EXPECT_LT(rng_below(&a, 3), 3u);
}

TEST(hist, quantile_is_an_upper_bound_within_a_quarter)
{
	struct hist h = {};

	for (uint64_t v = 1; v <= 10000; v++)
		hist_add(&h, v);
	for (double q : {0.1, 0.5, 0.95, 0.99}) {
		double exact = q * 10000;

		EXPECT_GE((double)hist_quantile(&h, q), exact);
		EXPECT_LE((double)hist_quantile(&h, q), exact * 1.25);
	}
	EXPECT_EQ(hist_quantile(&h, 1.0), 10000u);
	EXPECT_DOUBLE_EQ(hist_mean(&h), 5000.5);
}
