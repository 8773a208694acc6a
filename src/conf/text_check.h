#ifndef MP_CONF_TEXT_CHECK_H
#define MP_CONF_TEXT_CHECK_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Checks of strings in settings. Each returns whether s has the stated form. */

/* 1 to 64 letters, digits, '-', '_' or '.'. */
bool text_check_name(const char *s);

/* A client account: a name, or "*" for all. */
bool text_check_team(const char *s);

/* "ip:port": an IPv4 address in decimal and a port from 1 to 65535. */
bool text_check_address(const char *s);

/* An address whose host is "0.0.0.0", which no other host can connect to. */
bool text_check_wildcard_address(const char *s);

/* A CURVE key: 40 characters of Z85. */
bool text_check_z85(const char *s);

/* A SHA-256 hash: 64 hexadecimal digits in lower case. */
bool text_check_hash(const char *s);

/* A file name: any string but the empty one. */
bool text_check_file(const char *s);

#ifdef __cplusplus
}
#endif

#endif
