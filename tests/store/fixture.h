#ifndef MP_TESTS_STORE_FIXTURE_H
#define MP_TESTS_STORE_FIXTURE_H

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

extern "C" {
#include "raft/raft_record.h"
#include "store/store_internal.h"
}

namespace fs = std::filesystem;

/* One call of store_saved_cb. */
struct Report {
	uint64_t ticket;
	bool ok;
	std::string reason;
};

/* A temporary data folder, an event loop and the store's reports. */
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
		if (handle != nullptr)
			close();
		uv_loop_close(&loop);
		fs::remove_all(folder);
	}
	static void
	on_saved(void *ctx, uint64_t ticket, bool ok, const char *reason)
	{
		static_cast<Store *>(ctx)->reports.push_back(
		    {ticket, ok, reason == nullptr ? "" : reason});
	}
	static void
	on_closed(void *ctx)
	{
		static_cast<Store *>(ctx)->handle = nullptr;
	}
	int
	open(const store_files *files = &store_files_default)
	{
		return store_open_with(&handle, files, &loop, folder.c_str(),
		    on_saved, this, &disk, &err);
	}
	void
	close()
	{
		store_close(handle, on_closed, this);
		uv_run(&loop, UV_RUN_DEFAULT);
		ASSERT_EQ(handle, nullptr);
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
		store_save(handle, &s);
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
		store_save(handle, &s);
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
		store_save(handle, &s);
	}
	void
	run()
	{
		uv_run(&loop, UV_RUN_DEFAULT);
	}
	/* Returns the data of the records in disk. */
	std::vector<std::string>
	recovered_records()
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
		if (handle != nullptr)
			close();
		ASSERT_EQ(open(), MP_OK) << err.message;
	}

	std::string folder;
	uv_loop_t loop;
	struct store *handle = nullptr;
	const node_disk *disk = nullptr;
	mp_error err = {};
	uint64_t ticket = 0;
	std::vector<Report> reports;
};

using Strings = std::vector<std::string>;

/* Returns the path of the last log segment. */
inline std::string
last_segment(const std::string &folder)
{
	std::string best;

	for (const auto &e : fs::directory_iterator(folder)) {
		std::string name = e.path().filename();

		if (name.rfind("log-", 0) == 0 && e.path().string() > best)
			best = e.path();
	}
	return best;
}

inline std::string
read_file(const std::string &path)
{
	std::ifstream in(path, std::ios::binary);

	return std::string(std::istreambuf_iterator<char>(in), {});
}

inline void
write_file(const std::string &path, const std::string &content)
{
	std::ofstream out(path, std::ios::binary | std::ios::trunc);

	out << content;
}

#endif
