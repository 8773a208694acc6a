/* A holder and a lessor that exchange renewals, for the tests of src/member. */
#ifndef LEASE_FIXTURE_H
#define LEASE_FIXTURE_H

#include "member_fixture.h"

/* A holder, a lessor and the view that both have applied. */
struct lease_fixture {
	struct member_view *v;
	struct member_holder *h;
	struct member_lessor *ls;
	uint64_t authority_until_us = UINT64_MAX;

	explicit lease_fixture(uint32_t n)
	{
		v = make_view(n);
		h = member_holder_create(1, 10);
		ls = member_lessor_create(8, 5000);
		member_holder_on_view(h, v);
	}
	~lease_fixture()
	{
		member_view_destroy(v);
		member_holder_destroy(h);
		member_lessor_destroy(ls);
	}
	/*
	 * The reply to a renewal of the holder, sent and received at these
	 * times; the holder has not received it.
	 */
	Wire__LeaseReply
	renew(
	    uint64_t sent, uint64_t received, uint64_t applied, uint64_t commit)
	{
		Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
		Wire__LeaseReply reply;
		member_holder_fill_renew(
		    h, sent, applied, member_view_epoch(v), &r);
		member_lessor_on_renew(ls, v, received, authority_until_us, 1,
		    10, commit, &r, &reply);
		return reply;
	}
	/* The reply to a renewal of another member, with no promise running. */
	Wire__LeaseReply
	renew_other(uint64_t now, uint32_t id, uint64_t incarnation,
	    uint64_t applied, uint64_t commit, Wire__MemberInfo *self = nullptr,
	    bool leaving = false)
	{
		Wire__LeaseRenew r = WIRE__LEASE_RENEW__INIT;
		Wire__LeaseReply reply;
		r.sent_us = now;
		r.applied = applied;
		r.epoch = member_view_epoch(v);
		r.promise_over = true;
		r.self = self;
		r.leaving = leaving;
		member_lessor_on_renew(ls, v, now, authority_until_us, id,
		    incarnation, commit, &r, &reply);
		return reply;
	}
};

#endif
