#include <gtest/gtest.h>

#include "fixture.h"

/*
 * A crash during a write can leave any part of the last record in the file,
 * also with zeroes up to the full length. The record was never acknowledged,
 * so this must not count as damage, and later records must be readable.
 */
TEST_F(Store, TornTailIsTruncatedAtEveryByte)
{
	ASSERT_EQ(open(), MP_OK);
	snapshot(1, 1, "config");
	append(2, {"first"});
	run();
	size_t valid_size = read_file(last_segment(folder)).size();

	append(3, {"second"});
	run();
	close();
	std::string path = last_segment(folder);
	std::string intact = read_file(path);
	/* Without the marker which states that the record is synced. */
	size_t end = intact.size() - RAFT_RECORD_HEADER_BYTES;

	for (size_t size = valid_size; size < end; size++) {
		for (char fill : {0, 1}) {
			std::string torn = intact.substr(0, size);

			/* Truncated, or with zeroes up to the full length. */
			if (fill != 0)
				torn.resize(end, 0);
			write_file(path, torn);
			reopen();
			EXPECT_FALSE(disk->damaged) << size;
			ASSERT_EQ(recovered_records(), (Strings{"first"}))
			    << size;
			close();
			EXPECT_EQ(fs::file_size(path), valid_size);
		}
	}
	/* A record appended after the truncation is recovered. */
	reopen();
	append(3, {"third"});
	run();
	reopen();
	EXPECT_EQ(recovered_records(), (Strings{"first", "third"}));
}

/*
 * If damage of synced records were taken for a torn write, acknowledged
 * records would be lost without notice.
 */
TEST_F(Store, InvalidByteBeforeSyncedRecordIsDamage)
{
	ASSERT_EQ(open(), MP_OK);
	snapshot(1, 1, "config");
	append(2, {"first"});
	run();
	append(3, {"second"});
	run();
	close();
	std::string path = last_segment(folder);
	std::string intact = read_file(path);

	/* Includes the last record: the marker after it states its sync. */
	for (size_t at = 0; at < intact.size() - RAFT_RECORD_HEADER_BYTES;
	     at++) {
		std::string copy = folder + "/copy";
		std::string corrupted = intact;

		fs::create_directory(copy);
		for (const char *name : {"identity", "state", "snapshot"})
			fs::copy_file(folder + "/" + name, copy + "/" + name);
		corrupted[at] ^= 0x20;
		write_file(
		    copy + "/" + fs::path(path).filename().string(), corrupted);
		std::string original = folder;

		folder = copy;
		ASSERT_EQ(open(), MP_OK);
		EXPECT_TRUE(disk->damaged) << at;
		EXPECT_EQ(disk->record_count, 0U);
		close();
		folder = original;
		fs::remove_all(copy);
	}
}

/* A change of the folder and the expected flags of struct node_disk. */
struct DamageCase {
	const char *name;
	void (*damage_folder)(const std::string &folder);
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
flip_bit(const std::string &path, size_t at)
{
	std::string content = read_file(path);

	content[at] ^= 1;
	write_file(path, content);
}

/*
 * A missing or corrupted file must be reported as damage and the folder
 * initialised again with a new incarnation, as the instance has lost its
 * acknowledged state. Remains of an interrupted write are no damage.
 */
TEST_P(StoreDamage, IsReportedAndMovedAside)
{
	const DamageCase &c = GetParam();

	ASSERT_EQ(open(), MP_OK);
	uint64_t incarnation = disk->incarnation;

	state(4, 9);
	snapshot(5, 3, "config");
	append(6, {"a", "b"}, 4);
	run();
	close();
	c.damage_folder(folder);
	reopen();
	EXPECT_EQ(disk->damaged, c.damaged);
	EXPECT_EQ(disk->fresh, c.fresh);
	if (c.damaged) {
		EXPECT_NE(disk->incarnation, incarnation);
		EXPECT_EQ(disk->term, 0U);
		EXPECT_EQ(disk->snapshot_index, 0U);
		EXPECT_TRUE(fs::exists(folder + "/damaged-1"));
		/* The new incarnation persists. */
		uint64_t renewed = disk->incarnation;

		snapshot(1, 1, "new");
		run();
		reopen();
		EXPECT_FALSE(disk->damaged);
		EXPECT_EQ(disk->incarnation, renewed);
		EXPECT_EQ(disk->snapshot_index, 1U);
	} else if (!c.fresh) {
		EXPECT_EQ(recovered_records(), (Strings{"a", "b"}));
	}
}

INSTANTIATE_TEST_SUITE_P(Table, StoreDamage,
    ::testing::Values(
	DamageCase{"Nothing", [](const std::string &) {}, false, false},
	DamageCase{"StateMissing",
	    [](const std::string &f) { fs::remove(f + "/state"); }, true,
	    false},
	DamageCase{"StateCorrupted",
	    [](const std::string &f) { flip_bit(f + "/state", 10); }, true,
	    false},
	DamageCase{"StateEmpty",
	    [](const std::string &f) { write_file(f + "/state", ""); }, true,
	    false},
	DamageCase{"IdentityMissing",
	    [](const std::string &f) { fs::remove(f + "/identity"); }, true,
	    false},
	DamageCase{"IdentityCorrupted",
	    [](const std::string &f) { flip_bit(f + "/identity", 9); }, true,
	    false},
	DamageCase{"SnapshotMissing",
	    [](const std::string &f) { fs::remove(f + "/snapshot"); }, true,
	    false},
	DamageCase{"SnapshotCorrupted",
	    [](const std::string &f) { flip_bit(f + "/snapshot", 45); }, true,
	    false},
	DamageCase{"LogMissing",
	    [](const std::string &f) { fs::remove(last_segment(f)); }, true,
	    false},
	DamageCase{"TemporaryFileLeft",
	    [](const std::string &f) { write_file(f + "/new.tmp", "x"); },
	    false, false},
	DamageCase{"InitialisationInterrupted",
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
