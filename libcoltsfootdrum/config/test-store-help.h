/* What the tests of the store share: a platform's state, and ways to hand it
   to stores.  */

#ifndef CONFIG_TEST_STORE_HELP_H
#define CONFIG_TEST_STORE_HELP_H

#include "config/store-impl.h"
#include "sp.h"

#define ALL_KINDS PLAT_CONFIG_KINDS
#define ZONE_IN "{\"schema\":1,\"out\":false}"
#define ZONE_OUT "{\"schema\":2,\"state\":\"out\"}"
#define ZONE_NEWER_SCHEMA "{\"schema\":9,\"out\":false}"

JsonObject *parse_object (const char *text);

/* Hands STORE an answer of the platform, at the time 1000.  */
void apply_answer (store_t *store, const char *text, bool is_whole);
/* The same, a list of all that MODEL has.  */
void apply_list (store_t *store, const sp_model_t *model);
/* Hands TO the part of FROM for a peer of ROLE that has HAVE, at 2000.  */
void apply_part_as (store_t *to, role_t role, const store_t *from,
                    uint64_t have);
/* The same for a router.  */
void apply_part (store_t *to, const store_t *from, uint64_t have);

/* Writes a zone record to the platform's state; SPEC NULL deletes it.  */
void write_zone (sp_model_t *model, const char *name, const char *spec);
void write_account (sp_model_t *model, const char *name, const char *key);

#endif
