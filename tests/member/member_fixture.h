#ifndef MEMBER_FIXTURE_H
#define MEMBER_FIXTURE_H

#include <string>

#include "member/member.h"
#include "member/member_guard.h"

static const uint64_t kMs = 1000;

static inline Wire__MemberInfo
info_of(uint32_t id, uint64_t incarnation, const char *region = "r",
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

/* A view of members 1 to n, incarnation = 10 * id, epoch n. */
static inline struct member_view *
view_of(uint32_t n)
{
	struct member_view *v = member_view_create();

	for (uint32_t id = 1; id <= n; id++) {
		Wire__MemberInfo info = info_of(id, id * 10);
		member_view_apply_up(v, id, &info);
	}
	return v;
}

static inline std::string
view_save(const struct member_view *v)
{
	struct buf out = {};

	member_view_save(v, &out);
	std::string s(out.data, out.len);
	buf_free(&out);
	return s;
}

#endif
