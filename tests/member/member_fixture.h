/* Members and views that the tests of src/member share. */
#ifndef MEMBER_FIXTURE_H
#define MEMBER_FIXTURE_H

#include <string>

#include "member/member.h"
#include "member/member_guard.h"

static const uint64_t kMs = 1000;

/* A member that is as others but for these fields. */
static inline Wire__MemberInfo
make_info(uint32_t id, uint64_t incarnation, const char *region = "r",
    uint64_t voter = 1)
{
	Wire__MemberInfo info = WIRE__MEMBER_INFO__INIT;

	info.id = id;
	info.incarnation = incarnation;
	info.name = (char *)"n";
	info.data_centre = (char *)"dc";
	info.region = (char *)region;
	info.http = (char *)"127.0.0.1:1";
	info.bus = (char *)"127.0.0.1:2";
	info.voter = voter;
	return info;
}

/* A view of epoch n with members 1 to n; the incarnation is 10 * id. */
static inline struct member_view *
make_view(uint32_t n)
{
	struct member_view *v = member_view_create();

	for (uint32_t id = 1; id <= n; id++) {
		Wire__MemberInfo info = make_info(id, id * 10);
		member_view_apply_up(v, id, &info);
	}
	return v;
}

static inline std::string
save_view(const struct member_view *v)
{
	struct buf out = {};

	member_view_save(v, &out);
	std::string s(out.data, out.len);
	buf_free(&out);
	return s;
}

#endif
