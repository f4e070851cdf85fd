#include "libcoltsfootdrum.h"

int
main (int argc, char **argv)
{
  return cfd_ctl_main (argc, argv);
}
