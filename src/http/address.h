#ifndef MP_HTTP_ADDRESS_H
#define MP_HTTP_ADDRESS_H

#include <netinet/in.h>

/*
 * Read "ip:port" (IPv4).
 *
 * out: the address.
 * text: zero-terminated.
 * Errors: MP_ERR_INVALID.
 */
int address_parse(struct sockaddr_in *out, const char *text);

#endif
