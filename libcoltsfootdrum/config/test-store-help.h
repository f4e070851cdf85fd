/* Helpers shared by the tests of the store: records of a simulated platform,
   and functions that pass them to stores.  */

#ifndef CONFIG_TEST_STORE_HELP_H
#define CONFIG_TEST_STORE_HELP_H

#include "config/store-impl.h"
#include "sp.h"

#define ALL_KINDS PLAT_CONFIG_KINDS
#define ZONE_IN "{\"schema\":1,\"out\":false}"
#define ZONE_OUT "{\"schema\":2,\"state\":\"out\"}"
#define ZONE_NEWER_SCHEMA "{\"schema\":9,\"out\":false}"

JsonObject *parse_object (const char *text);

/* Applies an answer of the platform to STORE, at time 1000.  */
void apply_answer (store_t *store, const char *text, bool is_whole);
/* Applies a list of all records in MODEL, at time 1000.  */
void apply_list (store_t *store, const sp_model_t *model);
/* Applies to TO the part that FROM makes for a peer of ROLE which has revision
   HAVE, at time 2000.  */
void apply_part_as (store_t *to, role_t role, const store_t *from,
                    uint64_t have);
/* Does the same for a router.  */
void apply_part (store_t *to, const store_t *from, uint64_t have);

/* Writes a zone record to MODEL, or deletes it if SPEC is NULL.  */
void write_zone (sp_model_t *model, const char *name, const char *spec);
void write_account (sp_model_t *model, const char *name, const char *key);

#endif
