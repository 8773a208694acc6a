/* Reason phrases of the HTTP status codes in use. */

#include <stddef.h>

#include "http/status.h"

const char *
http_status_reason(int status)
{
	static const struct {
		int status;
		const char *reason;
	} reasons[] = {{200, "OK"}, {201, "Created"}, {202, "Accepted"},
	    {204, "No Content"}, {400, "Bad Request"}, {401, "Unauthorized"},
	    {403, "Forbidden"}, {404, "Not Found"}, {405, "Method Not Allowed"},
	    {408, "Request Timeout"}, {409, "Conflict"},
	    {412, "Precondition Failed"}, {413, "Payload Too Large"},
	    {421, "Misdirected Request"}, {422, "Unprocessable Entity"},
	    {429, "Too Many Requests"},
	    {431, "Request Header Fields Too Large"},
	    {500, "Internal Server Error"}, {501, "Not Implemented"},
	    {502, "Bad Gateway"}, {503, "Service Unavailable"},
	    {504, "Gateway Timeout"}, {505, "HTTP Version Not Supported"}};
	size_t i;

	for (i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++)
		if (reasons[i].status == status)
			return reasons[i].reason;
	return "Unknown";
}
