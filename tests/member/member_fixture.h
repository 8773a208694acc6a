/* Members and views that the tests of src/member share. */
#ifndef MEMBER_FIXTURE_H
#define MEMBER_FIXTURE_H

#include <string>
#include <vector>

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

/* As make_info(), of a process that can read a MemberChanges. */
static inline Wire__MemberInfo
make_capable_info(uint32_t id, uint64_t incarnation)
{
	Wire__MemberInfo info = make_info(id, incarnation);

	info.capabilities = MEMBER_CAN_MANY_CHANGES;
	return info;
}

/* The command that a proposed change of any type stands for. */
struct many_changes {
	std::vector<Wire__MemberDown> downs;
	std::vector<Wire__MemberInfo> ups;
	std::vector<Wire__MemberLeave> leaves;
	std::vector<Wire__MemberDown *> down;
	std::vector<Wire__MemberInfo *> up;
	std::vector<Wire__MemberLeave *> leave;

	void
	add(enum member_change_type type, uint32_t id, uint64_t incarnation,
	    uint32_t capabilities = MEMBER_CAN_MANY_CHANGES)
	{
		Wire__MemberDown d = WIRE__MEMBER_DOWN__INIT;
		Wire__MemberLeave l = WIRE__MEMBER_LEAVE__INIT;
		Wire__MemberInfo u = make_info(id, incarnation);

		u.capabilities = capabilities;
		d.id = l.id = id;
		d.incarnation = l.incarnation = incarnation;
		if (type == MEMBER_CHANGE_DOWN)
			downs.push_back(d);
		else if (type == MEMBER_CHANGE_UP)
			ups.push_back(u);
		else
			leaves.push_back(l);
	}
	bool
	apply(struct member_view *v, uint64_t index)
	{
		Wire__MemberChanges c = WIRE__MEMBER_CHANGES__INIT;

		down.clear();
		up.clear();
		leave.clear();
		for (auto &d : downs)
			down.push_back(&d);
		for (auto &u : ups)
			up.push_back(&u);
		for (auto &l : leaves)
			leave.push_back(&l);
		c.down = down.data();
		c.n_down = down.size();
		c.up = up.data();
		c.n_up = up.size();
		c.leave = leave.data();
		c.n_leave = leave.size();
		return member_view_apply_changes(v, index, &c);
	}
};

/* Applies a proposed change as the log would. */
static inline bool
apply_change(
    struct member_view *v, uint64_t index, const struct member_change *c)
{
	struct many_changes many;

	switch (c->type) {
	case MEMBER_CHANGE_UP:
		return member_view_apply_up(v, index, c->info);
	case MEMBER_CHANGE_DOWN:
		return member_view_apply_down(v, index, c->id, c->incarnation);
	case MEMBER_CHANGE_LEAVE:
		return member_view_apply_leave(v, index, c->id, c->incarnation);
	case MEMBER_CHANGE_MANY:
		break;
	}
	for (size_t i = 0; i < c->nmany; i++)
		many.add(c->many[i].type, c->many[i].id, c->many[i].incarnation,
		    c->many[i].info == nullptr ? 0
					       : c->many[i].info->capabilities);
	return many.apply(v, index);
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
