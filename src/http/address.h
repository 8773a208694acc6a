#ifndef MP_HTTP_ADDRESS_H
#define MP_HTTP_ADDRESS_H

#include <netinet/in.h>

/*
 * Parse an IPv4 address and port, "ip:port".
 *
 * out: the address; its content is undefined on error.
 * text: zero-terminated.
 * Errors: MP_ERR_INVALID.
 */
int address_parse(struct sockaddr_in *out, const char *text);

#endif
