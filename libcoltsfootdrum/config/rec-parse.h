/* The steps of reading a record.  The envelope (kind, name, revision) is
   readable whatever the schema, so that a record of an unknown one still has
   its place in the order of revisions and is passed on.  */

#ifndef CONFIG_REC_PARSE_H
#define CONFIG_REC_PARSE_H

#include "config/rec.h"

/* The newest schema version that this program reads.  */
#ifndef REC_SCHEMA_NEWEST /* tests build older programs */
#define REC_SCHEMA_NEWEST 2
#endif

/* The text of a platform object; free with g_free.  */
char *rec_object_to_text (JsonObject *object);
/* A record with its envelope alone, or NULL.  */
rec_t *rec_parse_envelope (JsonObject *object, GError **error);
/* Reads the rest of OBJECT into RECORD, by schemas up to NEWEST, and makes
   the shape of its text.  */
bool rec_parse_contents (rec_t *record, JsonObject *object, unsigned newest,
                         GError **error);

/* Fills RECORD's union from SPEC by its kind.  False with CFD_ERROR_RECORD;
   what was filled by then is freed with the record.  */
bool rec_parse_spec (rec_t *record, JsonObject *spec, unsigned newest,
                     GError **error);

/* Frees one rec_rule_t.  */
void rec_rule_free (gpointer rule);

#endif
