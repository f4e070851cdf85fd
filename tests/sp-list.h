/* The stand-in's list of instances, which lags.  */

#ifndef TESTS_SP_LIST_H
#define TESTS_SP_LIST_H

#include "base/clock.h"
#include <json-glib/json-glib.h>
#include <stdbool.h>

typedef struct sp_list sp_list_t;

sp_list_t *sp_list_new (void);
void sp_list_free (sp_list_t *list);
/* TEXT is a JSON array; false when it is not.  */
bool sp_list_set (sp_list_t *list, const char *text, cfd_time_t now);
/* JSON {instances} as ZONE (or NULL) saw it LAG_MS ago; g_free it.  */
char *sp_list_format (sp_list_t *list, const char *zone, unsigned lag_ms,
                      cfd_time_t now);

#endif
