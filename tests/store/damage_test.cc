#include <gtest/gtest.h>

#include "fixture.h"

TEST_F(Store, TornTailIsCutAtEveryByte)
{
	ASSERT_EQ(open(), MP_OK);
	snapshot(1, 1, "config");
	append(2, {"first"});
	run();
	size_t kept = read_file(last_segment(folder)).size();

	append(3, {"second"});
	run();
	close();
	std::string path = last_segment(folder);
	std::string whole = read_file(path);
	/* Without the marker that tells that the record was synced. */
	size_t end = whole.size() - RAFT_RECORD_HEADER_BYTES;

	for (size_t size = kept; size < end; size++) {
		for (char fill : {0, 1}) {
			std::string torn = whole.substr(0, size);

			/* Cut short, or with zeroes up to the length. */
			if (fill != 0)
				torn.resize(end, 0);
			write_file(path, torn);
			reopen();
			EXPECT_FALSE(disk->damaged) << size;
			ASSERT_EQ(found(), (Strings{"first"})) << size;
			close();
			EXPECT_EQ(fs::file_size(path), kept);
		}
	}
	/* What is appended after the cut is found again. */
	reopen();
	append(3, {"third"});
	run();
	reopen();
	EXPECT_EQ(found(), (Strings{"first", "third"}));
}

TEST_F(Store, BadByteBeforeSyncedRecordIsDamage)
{
	ASSERT_EQ(open(), MP_OK);
	snapshot(1, 1, "config");
	append(2, {"first"});
	run();
	append(3, {"second"});
	run();
	close();
	std::string path = last_segment(folder);
	std::string whole = read_file(path);

	/* Even the last record: the marker after it says it was synced. */
	for (size_t at = 0; at < whole.size() - RAFT_RECORD_HEADER_BYTES;
	     at++) {
		std::string copy = folder + "/copy";
		std::string bad = whole;

		fs::create_directory(copy);
		for (const char *name : {"identity", "state", "snapshot"})
			fs::copy_file(folder + "/" + name, copy + "/" + name);
		bad[at] ^= 0x20;
		write_file(
		    copy + "/" + fs::path(path).filename().string(), bad);
		std::string kept = folder;

		folder = copy;
		ASSERT_EQ(open(), MP_OK);
		EXPECT_TRUE(disk->damaged) << at;
		EXPECT_EQ(disk->record_count, 0U);
		close();
		folder = kept;
		fs::remove_all(copy);
	}
}

/* What was done to the folder, and whether that is damage. */
struct DamageCase {
	const char *name;
	void (*harm)(const std::string &folder);
	bool damaged;
	bool fresh;
};

void
PrintTo(const DamageCase &c, std::ostream *out)
{
	*out << c.name;
}

class StoreDamage : public Store,
		    public ::testing::WithParamInterface<DamageCase> {};

static void
flip(const std::string &path, size_t at)
{
	std::string content = read_file(path);

	content[at] ^= 1;
	write_file(path, content);
}

TEST_P(StoreDamage, IsToldAndSetAside)
{
	const DamageCase &c = GetParam();

	ASSERT_EQ(open(), MP_OK);
	uint64_t incarnation = disk->incarnation;

	state(4, 9);
	snapshot(5, 3, "config");
	append(6, {"a", "b"}, 4);
	run();
	close();
	c.harm(folder);
	reopen();
	EXPECT_EQ(disk->damaged, c.damaged);
	EXPECT_EQ(disk->fresh, c.fresh);
	if (c.damaged) {
		EXPECT_NE(disk->incarnation, incarnation);
		EXPECT_EQ(disk->term, 0U);
		EXPECT_EQ(disk->snapshot_index, 0U);
		EXPECT_TRUE(fs::exists(folder + "/damaged-1"));
		/* It goes on as a new one, and stays so. */
		uint64_t renewed = disk->incarnation;

		snapshot(1, 1, "new");
		run();
		reopen();
		EXPECT_FALSE(disk->damaged);
		EXPECT_EQ(disk->incarnation, renewed);
		EXPECT_EQ(disk->snapshot_index, 1U);
	} else if (!c.fresh) {
		EXPECT_EQ(found(), (Strings{"a", "b"}));
	}
}

INSTANTIATE_TEST_SUITE_P(Table, StoreDamage,
    ::testing::Values(
	DamageCase{"Nothing", [](const std::string &) {}, false, false},
	DamageCase{"StateLost",
	    [](const std::string &f) { fs::remove(f + "/state"); }, true,
	    false},
	DamageCase{"StateBad",
	    [](const std::string &f) { flip(f + "/state", 10); }, true, false},
	DamageCase{"StateEmpty",
	    [](const std::string &f) { write_file(f + "/state", ""); }, true,
	    false},
	DamageCase{"IdentityLost",
	    [](const std::string &f) { fs::remove(f + "/identity"); }, true,
	    false},
	DamageCase{"IdentityBad",
	    [](const std::string &f) { flip(f + "/identity", 9); }, true,
	    false},
	DamageCase{"SnapshotLost",
	    [](const std::string &f) { fs::remove(f + "/snapshot"); }, true,
	    false},
	DamageCase{"SnapshotBad",
	    [](const std::string &f) { flip(f + "/snapshot", 45); }, true,
	    false},
	DamageCase{"LogLost",
	    [](const std::string &f) { fs::remove(last_segment(f)); }, true,
	    false},
	DamageCase{"HalfWrittenFile",
	    [](const std::string &f) { write_file(f + "/new.tmp", "x"); },
	    false, false},
	DamageCase{"FoundingCutShort",
	    [](const std::string &f) {
		    buf b = {};
		    raft_record r = {0, 0, RAFT_RECORD_STATE, {"", 0}};

		    for (const char *name : {"identity", "snapshot"})
			    fs::remove(f + "/" + name);
		    fs::remove(last_segment(f));
		    raft_record_pack(&b, &r);
		    write_file(f + "/state", std::string(b.data, b.len));
		    buf_free(&b);
	    },
	    false, true}),
    [](const auto &info) { return info.param.name; });
