/* Platform stand-in: the list of instances, which becomes visible with a
   lag.  */

#ifndef TESTS_SP_LIST_H
#define TESTS_SP_LIST_H

#include "base/clock.h"
#include <json-glib/json-glib.h>
#include <stdbool.h>

typedef struct sp_list sp_list_t;

sp_list_t *sp_list_new (void);
void sp_list_free (sp_list_t *list);
/* Sets the list from a JSON array; false when TEXT is not one.  */
bool sp_list_set (sp_list_t *list, const char *text, cfd_time_t now);
/* Returns JSON {instances} as seen by ZONE (or NULL) LAG_MS ago; free with
   g_free.  */
char *sp_list_format (sp_list_t *list, const char *zone, unsigned lag_ms,
                      cfd_time_t now);

#endif
