#include <stdlib.h>
#include <string.h>

#include "http/address.h"
#include "http/client_internal.h"
#include "util/mem.h"

#define POOL_CONNECTIONS 64
#define POOL_IDLE_MS	 30000

struct pool *
pool_get(struct http_client *c, const char *address)
{
	struct pool *p = map_get_str(c->pools, address);
	struct sockaddr_in sin;

	if (p != NULL)
		return p;
	if (address_parse(&sin, address) != MP_OK)
		return NULL;
	p = mem_alloc(1, sizeof(*p));
	p->client = c;
	p->address = mem_string(address);
	h2o_socketpool_init_by_address(&p->sockets, (struct sockaddr *)&sin,
	    sizeof(sin), 0, POOL_CONNECTIONS);
	h2o_socketpool_set_timeout(&p->sockets, c->loop, POOL_IDLE_MS);
	(void)uv_timer_init(c->loop, &p->release);
	p->release.data = p;
	c->open_handles++;
	(void)map_set_str(c->pools, address, p);
	return p;
}

static void
on_pool_closed(uv_handle_t *handle)
{
	struct pool *p = handle->data;
	struct http_client *c = p->client;

	free(p->address);
	free(p);
	client_release(c);
}

static void
on_pool_release(uv_timer_t *timer)
{
	uv_close((uv_handle_t *)timer, on_pool_closed);
}

/* h2o closes its timer in the pool's memory during this turn of the loop. */
void
pool_destroy(struct pool *p)
{
	(void)map_remove_str(p->client->pools, p->address);
	h2o_socketpool_dispose(&p->sockets);
	(void)uv_timer_start(&p->release, on_pool_release, 0, 0);
}
