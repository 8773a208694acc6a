#ifndef MP_HTTP_STATUS_H
#define MP_HTTP_STATUS_H

/*
 * Return the reason phrase of an HTTP status code; "Unknown" for codes that
 * are not in the table. The string is static.
 */
const char *http_status_reason(int status);

#endif
