#include <gtest/gtest.h>

#include <map>
#include <string>

#include "doc/doc.h"
#include "doc/doc_delta.h"
#include "util/rng.h"

static std::string
text_of(const char *team, const std::string &hash, int n)
{
	return std::string("{\"team\":\"") + team + "\",\"tokens\":[" +
	    (hash.empty() ? "" : "\"" + hash + "\"") +
	    "],\"kinds\":{\"k\":{\"maxTokens\":" + std::to_string(n) + "}}}";
}

static size_t put_bytes; /* size of the latest change in the log */

/* Encodes a change, checks that it decodes to the same text, applies it. */
static struct doc_result
put(struct doc_table *table, uint64_t index, const char *team, uint64_t base,
    const char *change, const std::string &text)
{
	Wire__DocPut wire = WIRE__DOC_PUT__INIT;
	struct buf decoded = {};
	struct doc_result r;

	wire.team = (char *)team;
	wire.base_revision = base;
	wire.body = {text.size(), (uint8_t *)text.data()};
	doc_delta_encode(table, &wire);
	put_bytes = wire__doc_put__get_packed_size(&wire);
	struct doc_text out = doc_delta_decode(table, &wire, &decoded);
	EXPECT_EQ(std::string(out.data, out.len), text);
	doc_table_apply(table, index, team, base, change, "op", index * 10,
	    out.data, out.len, &r);
	doc_delta_free(&wire);
	buf_free(&decoded);
	return r;
}

static std::string
save(const struct doc_table *table)
{
	struct buf out = {};

	doc_table_save(table, &out);
	std::string s(out.data, out.len);
	buf_free(&out);
	return s;
}

/* Destroys a table and returns one restored from its snapshot. */
static struct doc_table *
save_and_restore(struct doc_table *table)
{
	std::string bytes = save(table);
	struct doc_table *restored_table = doc_table_create();

	EXPECT_EQ(doc_table_restore(
		      restored_table, bytes.data(), bytes.size(), nullptr),
	    MP_OK);
	EXPECT_EQ(save(restored_table), bytes);
	doc_table_destroy(table);
	return restored_table;
}

/*
 * Of two changes to the same base revision one is accepted. A repeated change
 * id gets its first result, also after later changes and a restart; otherwise
 * a retry would report another outcome than the change had.
 */
TEST(doc_table, one_change_per_base_revision_and_stable_results)
{
	struct doc_table *table = doc_table_create();
	struct doc_result r;

	for (int restored = 0; restored < 2; restored++) {
		if (restored)
			table = save_and_restore(table);
		r = put(table, 10, "t", 0, "first", text_of("t", "", 1));
		EXPECT_EQ(r.verdict, DOC_ACCEPTED);
		EXPECT_EQ(r.revision, 1u);
		EXPECT_EQ(r.index, 10u);
		EXPECT_EQ(r.is_repeated, restored != 0);
		r = put(table, 11, "t", 0, "rival", text_of("t", "", 2));
		EXPECT_EQ(r.verdict, DOC_CONFLICT);
		EXPECT_EQ(r.revision, 1u);
		r = put(table, 12, "t", 1, "second", text_of("t", "", 3));
		EXPECT_EQ(r.verdict, DOC_ACCEPTED);
		EXPECT_EQ(r.revision, 2u);
		/* Its base revision is current now, but the id has a result. */
		r = put(table, 13, "t", 2, "rival", text_of("t", "", 4));
		EXPECT_EQ(r.verdict, DOC_CONFLICT);
		EXPECT_EQ(r.revision, 1u);
		EXPECT_TRUE(r.is_repeated);
		EXPECT_TRUE(doc_table_find_change(table, "t", "first", &r));
		EXPECT_EQ(r.index, 10u);
		EXPECT_FALSE(doc_table_find_change(table, "t", "other", &r));
		EXPECT_FALSE(doc_table_find_change(table, "u", "first", &r));
		EXPECT_EQ(doc_table_find(table, "t")->revision, 2u);
		EXPECT_EQ(doc_table_find(table, "t")->index, 12u);
	}
	doc_table_destroy(table);
}

/*
 * Committed changes that are no valid document of the team leave the table as
 * it is: no JSON, the document of another team, a token of another team.
 */
TEST(doc_table, invalid_changes_are_rejected)
{
	struct doc_table *table = doc_table_create();
	std::string a(64, 'a');
	struct {
		const char *team;
		std::string text;
	} cases[] = {
	    {"t", "not json"},
	    {"t", text_of("other", "", 1)},
	    {"u", text_of("u", a, 1)},
	};

	EXPECT_EQ(put(table, 1, "t", 0, "c", text_of("t", a, 1)).verdict,
	    DOC_ACCEPTED);
	for (auto &c : cases)
		EXPECT_EQ(
		    put(table, 2, c.team, 0, "d", c.text).verdict, DOC_INVALID);
	EXPECT_EQ(doc_table_count(table), 1u);
	/* The id of an invalid change may be used again. */
	EXPECT_EQ(put(table, 3, "t", 1, "d", text_of("t", a, 2)).verdict,
	    DOC_ACCEPTED);
	doc_table_destroy(table);
}

/*
 * A token that the current document no longer lists gives no access, also
 * after a restore, and another team may list it.
 */
TEST(doc_table, tokens_belong_to_the_current_document)
{
	struct doc_table *table = doc_table_create();
	char one[65], two[65];

	doc_hash_token(one, "secret-1");
	doc_hash_token(two, "secret-2");
	put(table, 1, "t", 0, "a", text_of("t", one, 1));
	EXPECT_EQ(doc_table_find_by_token(table, "secret-1"),
	    doc_table_find(table, "t"));
	put(table, 2, "t", 1, "b", text_of("t", two, 1));
	EXPECT_EQ(doc_table_find_by_token(table, "secret-1"), nullptr);
	table = save_and_restore(table);
	EXPECT_EQ(doc_table_find_by_token(table, "secret-2"),
	    doc_table_find(table, "t"));
	EXPECT_EQ(doc_table_find_by_token(table, "secret-1"), nullptr);
	put(table, 3, "u", 0, "a", text_of("u", one, 1));
	EXPECT_STREQ(doc_table_find_by_token(table, "secret-1")->team, "u");
	doc_table_destroy(table);
}

/*
 * A request holds a reference to its document while it runs: a change or the
 * end of the table must not free the document.
 */
TEST(doc_table, referenced_documents_outlive_changes)
{
	struct doc_table *table = doc_table_create();
	struct doc *referenced;

	put(table, 1, "t", 0, "a", text_of("t", "", 1));
	referenced = doc_ref(doc_table_find(table, "t"));
	put(table, 2, "t", 1, "b", text_of("t", "", 2));
	doc_table_destroy(table);
	EXPECT_EQ(referenced->revision, 1u);
	EXPECT_EQ(doc_find_kind(referenced, "k")->max_tokens, 1u);
	doc_unref(referenced);
}

/* A team retains 8192 change ids and 32 revisions; its state is bounded. */
TEST(doc_table, history_and_change_ids_are_bounded)
{
	struct doc_table *table = doc_table_create();
	struct buf out = {};
	struct doc_result r;
	int n = 8192 + 5;

	for (int i = 0; i < n; i++)
		put(table, i + 1, "t", i, ("c" + std::to_string(i)).c_str(),
		    text_of("t", "", i + 1));
	table = save_and_restore(table);
	EXPECT_FALSE(doc_table_find_change(table, "t", "c4", &r));
	EXPECT_TRUE(doc_table_find_change(table, "t", "c5", &r));
	EXPECT_EQ(r.revision, 6u);
	doc_table_print_history(table, "t", &out);
	std::string json(out.data, out.len);
	size_t texts = 0, at = 0;
	while ((at = json.find("\"document\":", at)) != std::string::npos) {
		texts++;
		at++;
	}
	EXPECT_EQ(texts, 32u);
	EXPECT_EQ(json.find("[{\"revision\":" + std::to_string(n) + ","), 0u);
	buf_free(&out);
	doc_table_destroy(table);
}

/*
 * Random changes have the results that a simple model predicts, with snapshots
 * and restores in between.
 */
TEST(doc_table, random_changes_match_a_model)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		std::map<std::string, struct doc_result> answered;
		std::map<std::string, uint64_t> revision;
		struct doc_table *table = doc_table_create();
		struct rng rng;

		rng_seed(&rng, seed);
		for (uint64_t index = 1; index <= 300; index++) {
			std::string team(1, (char)('a' + rng_below(&rng, 3)));
			std::string id = std::to_string(rng_below(&rng, 150));
			uint64_t base = revision[team] - rng_below(&rng, 2);
			struct doc_result r = put(table, index, team.c_str(),
			    base, id.c_str(), text_of(team.c_str(), "", index));
			auto seen = answered.find(team + id);
			if (seen != answered.end()) {
				EXPECT_TRUE(r.is_repeated);
				EXPECT_EQ(r.verdict, seen->second.verdict);
				EXPECT_EQ(r.revision, seen->second.revision);
				EXPECT_EQ(r.index, seen->second.index);
			} else {
				EXPECT_EQ(r.verdict,
				    base == revision[team] ? DOC_ACCEPTED
							   : DOC_CONFLICT);
				if (r.verdict == DOC_ACCEPTED)
					revision[team]++;
				EXPECT_EQ(r.revision, revision[team]);
				answered[team + id] = r;
			}
			if (rng_below(&rng, 40) == 0)
				table = save_and_restore(table);
		}
		doc_table_destroy(table);
	}
}

/*
 * A change that adds, removes or updates up to two of about 300 adapters is
 * encoded in fewer than 400 bytes, so that the log does not carry the whole
 * document.
 */
TEST(doc_table, a_small_change_has_a_small_delta)
{
	struct doc_table *table = doc_table_create();
	std::map<int, int> versions;
	struct rng rng;

	rng_seed(&rng, 1);
	for (int i = 0; i < 300; i++)
		versions[i] = 1;
	for (uint64_t index = 1; index <= 200; index++) {
		std::string text = text_of("t", "", (int)index), lines;
		for (uint32_t n = rng_below(&rng, 3); n > 0; n--) {
			int i = (int)rng_below(&rng, 320);
			if (rng_below(&rng, 3) == 0)
				versions.erase(i);
			else
				versions[i]++;
		}
		for (auto &[i, version] : versions)
			lines += (lines.empty() ? "\"a" : ",\"a") +
			    std::to_string(i) + "\":{\"version\":\"" +
			    std::to_string(version) +
			    "\",\"baseModel\":\"base\",\"kind\":\"k\"}";
		text.insert(text.size() - 1, ",\"adapters\":{" + lines + "}");
		struct doc_result r = put(table, index, "t", index - 1,
		    std::to_string(index).c_str(), text);
		ASSERT_EQ(r.verdict, DOC_ACCEPTED);
		EXPECT_LT(put_bytes, index == 1 ? 20000u : 400u) << index;
		if (index % 50 == 0)
			table = save_and_restore(table);
	}
	doc_table_destroy(table);
}

/*
 * A delta whose base revision is unknown, whose range exceeds the old text or
 * whose hash differs gives no text. Applied without a text, a change is a
 * conflict if its base revision is not current, and else invalid.
 */
TEST(doc_table, a_delta_that_does_not_decode_is_not_accepted)
{
	struct doc_table *table = doc_table_create();
	Wire__DocPiece piece = WIRE__DOC_PIECE__INIT, *pieces[] = {&piece};
	Wire__DocPut wire = WIRE__DOC_PUT__INIT;
	struct doc_result r;
	struct buf decoded = {};

	(void)put(table, 1, "t", 0, "1", text_of("t", "", 1));
	wire.team = (char *)"t";
	wire.n_pieces = 1;
	wire.pieces = pieces;
	for (uint64_t base : {0, 1})
		for (uint32_t from : {0U, 5U, UINT32_MAX}) {
			wire.base_revision = base;
			piece.from = from;
			piece.length = 10;
			EXPECT_EQ(doc_delta_decode(table, &wire, &decoded).data,
			    nullptr);
			buf_clear(&decoded);
		}
	doc_table_apply(table, 2, "t", 1, "2", "op", 0, nullptr, 0, &r);
	EXPECT_EQ(r.verdict, DOC_INVALID);
	doc_table_apply(table, 3, "t", 7, "3", "op", 0, nullptr, 0, &r);
	EXPECT_EQ(r.verdict, DOC_CONFLICT);
	EXPECT_EQ(r.revision, 1u);
	EXPECT_TRUE(doc_table_find_change(table, "t", "3", &r));
	EXPECT_FALSE(doc_table_find_change(table, "t", "2", &r));
	buf_free(&decoded);
	doc_table_destroy(table);
}

/*
 * A snapshot with a wrong byte or a missing end is rejected and leaves the
 * table empty rather than partly restored.
 */
TEST(doc_table, corrupt_snapshots_leave_the_table_empty)
{
	struct doc_table *table = doc_table_create();
	struct mp_error err = {};

	put(table, 1, "t", 0, "a", text_of("t", "", 1));
	std::string bytes = save(table);
	for (size_t i = 0; i < bytes.size(); i++) {
		std::string bad = bytes;
		bad[i] ^= 0x20;
		EXPECT_EQ(
		    doc_table_restore(table, bad.data(), bad.size(), &err),
		    MP_ERR_CORRUPT);
		EXPECT_EQ(err.layer, MP_LAYER_DOC);
		EXPECT_EQ(doc_table_count(table), 0u);
		EXPECT_EQ(doc_table_restore(table, bytes.data(), i, nullptr),
		    MP_ERR_CORRUPT);
	}
	EXPECT_EQ(doc_table_restore(table, bytes.data(), bytes.size(), nullptr),
	    MP_OK);
	EXPECT_EQ(doc_table_count(table), 1u);
	doc_table_destroy(table);
}
