/* Parser of IPv4 addresses with a port. */

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "http/address.h"
#include "mulberrypath/error.h"

#define ADDRESS_HOST_MAX_BYTES 64 /* with the terminating zero */

int
address_parse(struct sockaddr_in *out, const char *text)
{
	char host[ADDRESS_HOST_MAX_BYTES], *end;
	const char *colon = strrchr(text, ':');
	unsigned long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host) ||
	    colon[1] < '0' || colon[1] > '9')
		return MP_ERR_INVALID;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || port > UINT16_MAX ||
	    uv_ip4_addr(host, (int)port, out) != 0)
		return MP_ERR_INVALID;
	return MP_OK;
}
