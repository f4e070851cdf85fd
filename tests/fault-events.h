/* The time line's events of a run's processes, for the judgement of a failure:
   objects with "wall_ms", "kind", "request", "endpoint" and "detail", oldest
   first, as the admin address answers.  */

#ifndef TESTS_FAULT_EVENTS_H
#define TESTS_FAULT_EVENTS_H

#include "fault-run.h"
#include <json-glib/json-glib.h>

/* All events of one process; they live as long as PARSER.  */
JsonArray *fault_fetch_events (const fault_run_t *run, fleet_sort_t sort,
                               unsigned index, JsonParser *parser);
/* How many events of KIND an agent has.  */
unsigned fault_count_agent_events (const fault_run_t *run, unsigned agent,
                                   const char *kind);
/* Adds to PLACES how many of a router's retries went to the agent that had
   just failed the request ([0]), and to another ([1]).  Each step of a retried
   request is printed.  */
void fault_count_retries (JsonArray *all, unsigned places[2]);

#endif
