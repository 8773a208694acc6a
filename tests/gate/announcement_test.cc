#include <gtest/gtest.h>

#include <string>

#include "mulberrypath/gateway.h"

static gw_announcement
proper()
{
	gw_announcement a = {};

	a.id = "i-1";
	a.service = "s";
	a.address = "10.1.0.9:8080";
	a.data_centre = "z";
	a.born_ms = 1700000000123;
	a.sequence = 12;
	a.slots = 64;
	return a;
}

/*
 * Guards against an entry in the table of endpoints that another writer left
 * there: it names no endpoint that can be called, or keeps later ones out.
 */
TEST(Announcement, odd_values_are_refused)
{
	static const std::string long_text(100000, 'x');
	static const struct {
		const char *path;
		void (*spoil)(gw_announcement &a);
	} rows[] = {
	    {"id", [](gw_announcement &a) { a.id = ""; }},
	    {"id", [](gw_announcement &a) { a.id = long_text.c_str(); }},
	    {"id", [](gw_announcement &a) { a.id = "a\nb"; }},
	    {"service", [](gw_announcement &a) { a.service = ""; }},
	    {"service",
		[](gw_announcement &a) { a.service = long_text.c_str(); }},
	    {"data centre",
		[](gw_announcement &a) { a.data_centre = long_text.c_str(); }},
	    {"address", [](gw_announcement &a) { a.address = ""; }},
	    {"address", [](gw_announcement &a) { a.address = "10.1.0.1"; }},
	    {"address", [](gw_announcement &a) { a.address = "10.1.0.1:"; }},
	    {"address",
		[](gw_announcement &a) { a.address = "10.1.0.1:99999"; }},
	    {"address",
		[](gw_announcement &a) { a.address = "10.1.0.9:65536"; }},
	    {"address",
		[](gw_announcement &a) {
			a.address = "10.1.0.9:18446744073709551617";
		}},
	    {"address", [](gw_announcement &a) { a.address = "10.1.0.1:0"; }},
	    {"address", [](gw_announcement &a) { a.address = "10.1.0.1:8x"; }},
	    {"address", [](gw_announcement &a) { a.address = "999.1.1.1:80"; }},
	    {"address", [](gw_announcement &a) { a.address = "1:80"; }},
	    {"address", [](gw_announcement &a) { a.address = "1.2.3:80"; }},
	    {"address", [](gw_announcement &a) { a.address = "1.2.3.4.5:80"; }},
	    {"address", [](gw_announcement &a) { a.address = "1..2.3:80"; }},
	    {"address", [](gw_announcement &a) { a.address = "host:80"; }},
	    {"slots", [](gw_announcement &a) { a.slots = 0; }},
	    {"slots", [](gw_announcement &a) { a.slots = UINT32_MAX; }},
	    {"sequence", [](gw_announcement &a) { a.sequence = INT64_MAX; }},
	    {"start", [](gw_announcement &a) { a.born_ms = INT64_MAX; }},
	};
	mp_error err = {};
	gw_announcement a = proper();

	EXPECT_EQ(gw_announcement_check(&a, &err), MP_OK) << err.message;
	for (auto &row : rows) {
		a = proper();
		row.spoil(a);
		EXPECT_EQ(gw_announcement_check(&a, &err), MP_ERR_INVALID)
		    << row.path;
		EXPECT_NE(
		    std::string(err.message).find(row.path), std::string::npos)
		    << err.message;
	}
}

TEST(Announcement, bounds_are_accepted)
{
	mp_error err = {};
	gw_announcement a = proper();

	for (const char *address :
	    {"0.0.0.1:1", "255.255.255.255:65535", "10.0.0.1:080"}) {
		a.address = address;
		EXPECT_EQ(gw_announcement_check(&a, &err), MP_OK) << address;
	}
	a.data_centre = "";
	EXPECT_EQ(gw_announcement_check(&a, &err), MP_OK);
	a.born_ms = 0; /* not given */
	EXPECT_EQ(gw_announcement_check(&a, &err), MP_OK);
	a.slots = 65536;
	EXPECT_EQ(gw_announcement_check(&a, &err), MP_OK);
}
