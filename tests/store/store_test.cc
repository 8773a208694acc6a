#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

extern "C" {
#include "raft/raft_record.h"
#include "store/store_internal.h"
}

namespace fs = std::filesystem;

struct Report {
	uint64_t ticket;
	bool ok;
	std::string reason;
};

/* A folder that is removed at the end, and a loop. */
class Store : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		char name[] = "/tmp/mp_store_XXXXXX";

		folder = mkdtemp(name);
		uv_loop_init(&loop);
	}
	void
	TearDown() override
	{
		if (held != nullptr)
			close();
		uv_loop_close(&loop);
		fs::remove_all(folder);
	}
	static void
	saved(void *ctx, uint64_t ticket, bool ok, const char *reason)
	{
		static_cast<Store *>(ctx)->reports.push_back(
		    {ticket, ok, reason == nullptr ? "" : reason});
	}
	static void
	closed(void *ctx)
	{
		static_cast<Store *>(ctx)->held = nullptr;
	}
	int
	open(const store_files *files = &store_files_default)
	{
		return store_open_with(&held, files, &loop, folder.c_str(),
		    saved, this, &disk, &err);
	}
	void
	close()
	{
		store_close(held, closed, this);
		uv_run(&loop, UV_RUN_DEFAULT);
		ASSERT_EQ(held, nullptr);
	}
	void
	append(uint64_t first, const std::vector<std::string> &data,
	    uint64_t term = 1)
	{
		buf b = {};
		node_save s = {};

		for (size_t i = 0; i < data.size(); i++) {
			raft_record r = {first + i, term, 1,
			    {data[i].data(), data[i].size()}};
			raft_record_pack(&b, &r);
		}
		s.kind = NODE_SAVE_APPEND;
		s.ticket = ++ticket;
		s.index = first;
		s.count = data.size();
		s.data = {b.data, b.len};
		store_save(held, &s);
		buf_free(&b);
	}
	void
	state(uint64_t term, uint64_t vote)
	{
		node_save s = {};

		s.kind = NODE_SAVE_STATE;
		s.ticket = ++ticket;
		s.term = term;
		s.vote = vote;
		store_save(held, &s);
	}
	void
	snapshot(uint64_t index, uint64_t term, const std::string &data)
	{
		node_save s = {};

		s.kind = NODE_SAVE_SNAPSHOT;
		s.ticket = ++ticket;
		s.index = index;
		s.term = term;
		s.data = {data.data(), data.size()};
		store_save(held, &s);
	}
	void
	run()
	{
		uv_run(&loop, UV_RUN_DEFAULT);
	}
	/* The data of the records that were found. */
	std::vector<std::string>
	found()
	{
		std::vector<std::string> out;
		node_bytes rest = disk->records;
		raft_record rec;
		size_t used;

		for (size_t i = 0; i < disk->record_count; i++) {
			if (raft_record_read(&rec, &used, rest) != MP_OK ||
			    rec.index != disk->first_index + i)
				return {"unreadable"};
			out.emplace_back(rec.data.data, rec.data.len);
			rest.data += used;
			rest.len -= used;
		}
		return out;
	}
	void
	reopen()
	{
		if (held != nullptr)
			close();
		ASSERT_EQ(open(), MP_OK) << err.message;
	}

	std::string folder;
	uv_loop_t loop;
	struct store *held = nullptr;
	const node_disk *disk = nullptr;
	mp_error err = {};
	uint64_t ticket = 0;
	std::vector<Report> reports;
};

using Strings = std::vector<std::string>;

TEST_F(Store, RoundTrip)
{
	ASSERT_EQ(open(), MP_OK);
	EXPECT_TRUE(disk->fresh);
	EXPECT_FALSE(disk->damaged);
	uint64_t incarnation = disk->incarnation;

	EXPECT_NE(incarnation, 0U);
	snapshot(1, 1, "config");
	state(3, 77);
	append(2, {"a", "b"});
	append(4, {"", "d"});
	run();
	ASSERT_EQ(reports.size(), 4U);
	for (size_t i = 0; i < reports.size(); i++) {
		EXPECT_EQ(reports[i].ticket, i + 1);
		EXPECT_TRUE(reports[i].ok);
	}
	reopen();
	EXPECT_FALSE(disk->fresh);
	EXPECT_FALSE(disk->damaged);
	EXPECT_EQ(disk->incarnation, incarnation);
	EXPECT_EQ(disk->term, 3U);
	EXPECT_EQ(disk->vote, 77U);
	EXPECT_EQ(disk->snapshot_index, 1U);
	EXPECT_EQ(
	    std::string(disk->snapshot.data, disk->snapshot.len), "config");
	EXPECT_EQ(disk->first_index, 2U);
	EXPECT_EQ(found(), (Strings{"a", "b", "", "d"}));
}
