#ifndef MP_HTTP_STATUS_H
#define MP_HTTP_STATUS_H

/* The reason phrase of a status; "Unknown" for those not in use here. */
const char *http_status_reason(int status);

#endif
