/* Parsing of records in two steps.  The envelope (kind, name, revision) can be
   parsed whatever the schema version, so that a record of an unknown version
   is still ordered by its revision and passed on to peers.  */

#ifndef CONFIG_REC_PARSE_H
#define CONFIG_REC_PARSE_H

#include "config/rec.h"

/* The newest schema version that this program can parse.  */
#ifndef REC_SCHEMA_NEWEST /* set lower by tests to build older programs */
#define REC_SCHEMA_NEWEST 2
#endif

/* Returns the JSON text of a platform object; free with g_free.  */
char *rec_object_to_text (JsonObject *object);
/* Returns a record with only its envelope filled in, or NULL.  */
rec_t *rec_parse_envelope (JsonObject *object, GError **error);
/* Parses the rest of OBJECT into RECORD, accepting schema versions up to
   NEWEST, and makes the template of its text.  */
bool rec_parse_contents (rec_t *record, JsonObject *object, unsigned newest,
                         GError **error);

/* Fills RECORD's union from SPEC according to its kind.  Returns false and
   sets CFD_ERROR_RECORD on failure; members filled by then are freed with the
   record.  */
bool rec_parse_spec (rec_t *record, JsonObject *spec, unsigned newest,
                     GError **error);

/* Frees one rec_rule_t.  */
void rec_rule_free (gpointer rule);

#endif
