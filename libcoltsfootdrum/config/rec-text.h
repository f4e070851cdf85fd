/* The text of a record for peers, kept without what its parsed form has.

   18,000 accounts held as JSON text beside their parsed form took a quarter of
   the memory that a node may spend.  A shape is the text with marks in place
   of the name, version, revision and key hashes; records that differ in these
   alone share one.  Every other byte stays in the shape, so that the text
   comes back unchanged whatever a newer writer added.  */

#ifndef CONFIG_REC_TEXT_H
#define CONFIG_REC_TEXT_H

#include "config/rec.h"

/* The shape of TEXT, the platform object that RECORD was parsed from; an
   interned string, freed by g_ref_string_release.  */
char *rec_text_make_template (const char *text, const rec_t *record);

#endif
