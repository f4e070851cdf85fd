/* Compact storage of a record's JSON text, which is sent to peers.

   Keeping 18,000 accounts as JSON text beside their parsed form took a quarter
   of a node's memory limit.  A template is the text with placeholders for the
   name, version, revision and key hashes; records that differ only in these
   share one template.  All other bytes stay in the template, so that the text
   is restored unchanged, whatever members a newer writer added.  */

#ifndef CONFIG_REC_TEXT_H
#define CONFIG_REC_TEXT_H

#include "config/rec.h"

/* Returns the template of TEXT, the platform object that RECORD was parsed
   from, as an interned string; free with g_ref_string_release.  */
char *rec_text_make_template (const char *text, const rec_t *record);

#endif
