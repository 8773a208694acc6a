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

/* A change as it stands in the log; its size is noted. */
static size_t put_bytes;

static struct doc_result
put(struct doc_table *b, uint64_t index, const char *team, uint64_t base,
    const char *change, const std::string &text)
{
	Wire__DocPut wire = WIRE__DOC_PUT__INIT;
	struct buf made = {};
	struct doc_result r;

	wire.team = (char *)team;
	wire.base_revision = base;
	wire.body = {text.size(), (uint8_t *)text.data()};
	doc_delta_encode(b, &wire);
	put_bytes = wire__doc_put__get_packed_size(&wire);
	struct doc_text out = doc_delta_decode(b, &wire, &made);
	EXPECT_EQ(std::string(out.data, out.len), text);
	doc_table_apply(b, index, team, base, change, "op", index * 10,
	    out.data, out.len, &r);
	doc_delta_free(&wire);
	buf_free(&made);
	return r;
}

static std::string
save(const struct doc_table *b)
{
	struct buf out = {};

	doc_table_save(b, &out);
	std::string s(out.data, out.len);
	buf_free(&out);
	return s;
}

/* Destroy a book and give one restored from what it saved. */
static struct doc_table *
reborn(struct doc_table *b)
{
	std::string bytes = save(b);
	struct doc_table *again = doc_table_create();

	EXPECT_EQ(doc_table_restore(again, bytes.data(), bytes.size(), nullptr),
	    MP_OK);
	EXPECT_EQ(save(again), bytes);
	doc_table_destroy(b);
	return again;
}

TEST(doc_table, one_winner_and_first_answers_again)
{
	struct doc_table *b = doc_table_create();
	struct doc_result r;

	for (int restored = 0; restored < 2; restored++) {
		if (restored)
			b = reborn(b);
		r = put(b, 10, "t", 0, "first", text_of("t", "", 1));
		EXPECT_EQ(r.verdict, DOC_ACCEPTED);
		EXPECT_EQ(r.revision, 1u);
		EXPECT_EQ(r.index, 10u);
		EXPECT_EQ(r.is_repeated, restored != 0);
		r = put(b, 11, "t", 0, "rival", text_of("t", "", 2));
		EXPECT_EQ(r.verdict, DOC_CONFLICT);
		EXPECT_EQ(r.revision, 1u);
		r = put(b, 12, "t", 1, "second", text_of("t", "", 3));
		EXPECT_EQ(r.verdict, DOC_ACCEPTED);
		EXPECT_EQ(r.revision, 2u);
		/* Resent after later changes, even if now it would fit. */
		r = put(b, 13, "t", 2, "rival", text_of("t", "", 4));
		EXPECT_EQ(r.verdict, DOC_CONFLICT);
		EXPECT_EQ(r.revision, 1u);
		EXPECT_TRUE(r.is_repeated);
		EXPECT_TRUE(doc_table_find_change(b, "t", "first", &r));
		EXPECT_EQ(r.index, 10u);
		EXPECT_FALSE(doc_table_find_change(b, "t", "other", &r));
		EXPECT_FALSE(doc_table_find_change(b, "u", "first", &r));
		EXPECT_EQ(doc_table_find(b, "t")->revision, 2u);
		EXPECT_EQ(doc_table_find(b, "t")->index, 12u);
	}
	doc_table_destroy(b);
}

TEST(doc_table, refuses_what_no_proposer_should_send)
{
	struct doc_table *b = doc_table_create();
	std::string a(64, 'a');
	struct {
		const char *team;
		std::string text;
	} cases[] = {
	    {"t", "not json"},
	    {"t", text_of("other", "", 1)},
	    {"u", text_of("u", a, 1)},
	};

	EXPECT_EQ(
	    put(b, 1, "t", 0, "c", text_of("t", a, 1)).verdict, DOC_ACCEPTED);
	for (auto &c : cases)
		EXPECT_EQ(
		    put(b, 2, c.team, 0, "d", c.text).verdict, DOC_INVALID);
	EXPECT_EQ(doc_table_count(b), 1u);
	/* A refused change id stays free. */
	EXPECT_EQ(
	    put(b, 3, "t", 1, "d", text_of("t", a, 2)).verdict, DOC_ACCEPTED);
	doc_table_destroy(b);
}

TEST(doc_table, tokens_follow_the_current_document)
{
	struct doc_table *b = doc_table_create();
	char one[65], two[65];

	doc_hash_token(one, "secret-1");
	doc_hash_token(two, "secret-2");
	put(b, 1, "t", 0, "a", text_of("t", one, 1));
	EXPECT_EQ(
	    doc_table_find_by_token(b, "secret-1"), doc_table_find(b, "t"));
	put(b, 2, "t", 1, "b", text_of("t", two, 1));
	EXPECT_EQ(doc_table_find_by_token(b, "secret-1"), nullptr);
	b = reborn(b);
	EXPECT_EQ(
	    doc_table_find_by_token(b, "secret-2"), doc_table_find(b, "t"));
	EXPECT_EQ(doc_table_find_by_token(b, "secret-1"), nullptr);
	put(b, 3, "u", 0, "a", text_of("u", one, 1));
	EXPECT_STREQ(doc_table_find_by_token(b, "secret-1")->team, "u");
	doc_table_destroy(b);
}

/* A request that holds a reference keeps its document. */
TEST(doc_table, referenced_documents_outlive_changes)
{
	struct doc_table *b = doc_table_create();
	struct doc *held;

	put(b, 1, "t", 0, "a", text_of("t", "", 1));
	held = doc_ref(doc_table_find(b, "t"));
	put(b, 2, "t", 1, "b", text_of("t", "", 2));
	doc_table_destroy(b);
	EXPECT_EQ(held->revision, 1u);
	EXPECT_EQ(doc_find_kind(held, "k")->max_tokens, 1u);
	doc_unref(held);
}

TEST(doc_table, bounds_on_history_and_changes)
{
	struct doc_table *b = doc_table_create();
	struct buf out = {};
	struct doc_result r;
	int n = 8192 + 5;

	for (int i = 0; i < n; i++)
		put(b, i + 1, "t", i, ("c" + std::to_string(i)).c_str(),
		    text_of("t", "", i + 1));
	b = reborn(b);
	EXPECT_FALSE(doc_table_find_change(b, "t", "c4", &r));
	EXPECT_TRUE(doc_table_find_change(b, "t", "c5", &r));
	EXPECT_EQ(r.revision, 6u);
	doc_table_print_history(b, "t", &out);
	std::string json(out.data, out.len);
	size_t texts = 0, at = 0;
	while ((at = json.find("\"document\":", at)) != std::string::npos) {
		texts++;
		at++;
	}
	EXPECT_EQ(texts, 32u);
	EXPECT_EQ(json.find("[{\"revision\":" + std::to_string(n) + ","), 0u);
	buf_free(&out);
	doc_table_destroy(b);
}

/* Seeded changes against a plain model, with saves in between. */
TEST(doc_table, seeded_against_a_model)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		std::map<std::string, struct doc_result> answered;
		std::map<std::string, uint64_t> revision;
		struct doc_table *b = doc_table_create();
		struct rng rng;

		rng_seed(&rng, seed);
		for (uint64_t index = 1; index <= 300; index++) {
			std::string team(1, (char)('a' + rng_below(&rng, 3)));
			std::string id = std::to_string(rng_below(&rng, 150));
			uint64_t base = revision[team] - rng_below(&rng, 2);
			struct doc_result r = put(b, index, team.c_str(), base,
			    id.c_str(), text_of(team.c_str(), "", index));
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
				b = reborn(b);
		}
		doc_table_destroy(b);
	}
}

/* One adapter more or less, or of another version: not the whole text. */
TEST(doc_table, a_change_is_told_by_what_differs)
{
	struct doc_table *b = doc_table_create();
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
		struct doc_result r = put(b, index, "t", index - 1,
		    std::to_string(index).c_str(), text);
		ASSERT_EQ(r.verdict, DOC_ACCEPTED);
		EXPECT_LT(put_bytes, index == 1 ? 20000u : 400u) << index;
		if (index % 50 == 0)
			b = reborn(b);
	}
	doc_table_destroy(b);
}

/* What cannot be made anew is a conflict, or else nothing. */
TEST(doc_table, a_difference_to_another_text_changes_nothing)
{
	struct doc_table *b = doc_table_create();
	Wire__DocPiece piece = WIRE__DOC_PIECE__INIT, *pieces[] = {&piece};
	Wire__DocPut wire = WIRE__DOC_PUT__INIT;
	struct doc_result r;
	struct buf made = {};

	(void)put(b, 1, "t", 0, "1", text_of("t", "", 1));
	wire.team = (char *)"t";
	wire.n_pieces = 1;
	wire.pieces = pieces;
	for (uint64_t base : {0, 1})
		for (uint32_t from : {0U, 5U, UINT32_MAX}) {
			wire.base_revision = base;
			piece.from = from;
			piece.length = 10;
			EXPECT_EQ(
			    doc_delta_decode(b, &wire, &made).data, nullptr);
			buf_clear(&made);
		}
	doc_table_apply(b, 2, "t", 1, "2", "op", 0, nullptr, 0, &r);
	EXPECT_EQ(r.verdict, DOC_INVALID);
	doc_table_apply(b, 3, "t", 7, "3", "op", 0, nullptr, 0, &r);
	EXPECT_EQ(r.verdict, DOC_CONFLICT);
	EXPECT_EQ(r.revision, 1u);
	EXPECT_TRUE(doc_table_find_change(b, "t", "3", &r));
	EXPECT_FALSE(doc_table_find_change(b, "t", "2", &r));
	buf_free(&made);
	doc_table_destroy(b);
}

TEST(doc_table, corrupt_saves_leave_the_book_empty)
{
	struct doc_table *b = doc_table_create();
	struct mp_error err = {};

	put(b, 1, "t", 0, "a", text_of("t", "", 1));
	std::string bytes = save(b);
	for (size_t i = 0; i < bytes.size(); i++) {
		std::string bad = bytes;
		bad[i] ^= 0x20;
		EXPECT_EQ(doc_table_restore(b, bad.data(), bad.size(), &err),
		    MP_ERR_CORRUPT);
		EXPECT_EQ(err.layer, MP_LAYER_DOC);
		EXPECT_EQ(doc_table_count(b), 0u);
		EXPECT_EQ(doc_table_restore(b, bytes.data(), i, nullptr),
		    MP_ERR_CORRUPT);
	}
	EXPECT_EQ(
	    doc_table_restore(b, bytes.data(), bytes.size(), nullptr), MP_OK);
	EXPECT_EQ(doc_table_count(b), 1u);
	doc_table_destroy(b);
}
