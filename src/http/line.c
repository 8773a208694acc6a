#include "http/line.h"

bool
line_ends_are_strict(const char *head, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (head[i] == '\n')
			return false;
		if (head[i] != '\r')
			continue;
		if (i + 1 == len || head[i + 1] != '\n')
			return false;
		i++;
	}
	return true;
}
