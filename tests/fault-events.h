/* Timeline events of the processes of a run, for checks of a fault case.  An
   event is an object with "wall_ms", "kind", "request", "endpoint" and
   "detail"; events come oldest first, as served at the admin address.  */

#ifndef TESTS_FAULT_EVENTS_H
#define TESTS_FAULT_EVENTS_H

#include "fault-run.h"
#include <json-glib/json-glib.h>

/* Fetches all events of one process.  PARSER owns them.  */
JsonArray *fault_fetch_events (const fault_run_t *run, fleet_role_t role,
                               unsigned index, JsonParser *parser);
/* Counts the events of KIND of one agent.  */
unsigned fault_count_agent_events (const fault_run_t *run, unsigned agent,
                                   const char *kind);
/* Adds to PLACES the number of a router's retries that went to the agent where
   the request had just failed ([0]) and to another agent ([1]).  Prints each
   event of a retried request, and the end of each that failed.  */
void fault_count_retries (JsonArray *events, unsigned places[2]);

#endif
