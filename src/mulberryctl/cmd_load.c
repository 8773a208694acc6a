#include "mulberryctl/ctl.h"
int
ctl_load(struct ctl *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	ctl_complain(c, "soon");
	return CTL_EXIT_USAGE;
}
