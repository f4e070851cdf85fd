/* Measurement of the configuration: its memory part.  */

#ifndef TESTS_MEASURE_CONFIG_H
#define TESTS_MEASURE_CONFIG_H

#include "fleet.h"

/* Prints the resident memory of a router and of an agent that were restarted
   with ACCOUNTS accounts, without any load.  */
bool measure_print_memory (unsigned accounts);

#endif
