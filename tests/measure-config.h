/* The two parts of measure-config.  */

#ifndef TESTS_MEASURE_CONFIG_H
#define TESTS_MEASURE_CONFIG_H

#include "fleet.h"

/* Prints the resident memory of a router and of an agent that were started
   anew with so many accounts, without any load.  */
bool measure_print_memory (unsigned accounts);

#endif
