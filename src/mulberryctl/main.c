#include <stdio.h>
#include <string.h>

#include "mulberryctl/ctl.h"

int
main(int argc, char **argv)
{
	uv_loop_t loop;
	int code;

	if (argc == 2 && strcmp(argv[1], "--version") == 0) {
		(void)puts("mulberryctl " MP_VERSION);
		return CTL_EXIT_DONE;
	}
	if (uv_loop_init(&loop) != 0)
		return CTL_EXIT_NO_SERVER;
	code = ctl_main(argc, argv, &loop, stdout, stderr);
	(void)uv_loop_close(&loop);
	return code;
}
