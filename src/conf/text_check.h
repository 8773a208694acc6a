#ifndef MP_CONF_TEXT_CHECK_H
#define MP_CONF_TEXT_CHECK_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Checks of single texts in settings; each says whether s is allowed. */

/* 1 to 64 letters, digits, '-', '_' or '.'. */
bool text_check_name(const char *s);

/* A name, or "*". */
bool text_check_team(const char *s);

/* "ip:port": an IPv4 number and a port from 1 to 65535. */
bool text_check_address(const char *s);

/* Whether an address names no single host: "0.0.0.0". */
bool text_check_wildcard_address(const char *s);

/* A CURVE key: 40 characters of Z85. */
bool text_check_z85(const char *s);

/* 64 hexadecimal digits in lower case. */
bool text_check_hash(const char *s);

/* Not empty. */
bool text_check_file(const char *s);

#ifdef __cplusplus
}
#endif

#endif
