#ifndef MP_GATE_GATE_UPDATE_INTERNAL_H
#define MP_GATE_GATE_UPDATE_INTERNAL_H

#include "gate/gate_update.h"

/* Declarations shared by the files of configuration updates. */

/* Elements of one kind. */
struct gw_list {
	void **items;
	size_t count, cap;
};

/* Elements that replace others at one place of the configuration's array. */
struct gw_splice {
	size_t at; /* in the array before the update */
	size_t nremoved, nadded;
};
struct gw_splices {
	struct gw_splice *items;
	size_t count, cap;
};

struct gw_update {
	struct gw_config *config;
	/* the members that the configuration does not have at this time: the
	 * new ones until the update is applied, then the earlier ones; the
	 * arrays of elements stay in the configuration */
	struct gw_config other;
	/* in the order of the splices */
	struct gw_list added[GW_ELEMENT_KINDS], removed[GW_ELEMENT_KINDS];
	struct gw_splices splices[GW_ELEMENT_KINDS];
	struct gw_update_cursor *cursor; /* NULL once all is decoded */
	bool is_applied;
	bool has_priorities;
	struct gw_update_work work;
};

/* Appends items to a list. */
void gw_list_add(struct gw_list *list, void *const *items, size_t count);

/* Frees the state of the decoding. NULL is allowed. */
void gw_update_cursor_destroy(struct gw_update_cursor *cursor);

#endif
