/* JSON from the network.  Parses text whose nesting is limited: the parser
   calls itself for each level, so that a long row of brackets would overflow
   the stack and end the process.  */

#ifndef BASE_JSN_H
#define BASE_JSN_H

#include <json-glib/json-glib.h>
#include <stdbool.h>

/* Deepest nesting of arrays and objects.  */
#define JSN_MAX_DEPTH 64u

/* Returns whether TEXT is nested no deeper than JSN_MAX_DEPTH.  Also false for
   characters that JSON has in strings only, such as those of comments.  */
bool jsn_is_shallow (const char *text, size_t length);

/* Parses TEXT into PARSER.  Returns false when it is nested too deep or is not
   JSON (CFD_ERROR_LIMIT, or an error of the parser).  */
bool jsn_load (JsonParser *parser, const char *text, size_t length,
               GError **error);

/* Returns the root of TEXT, or NULL on the same errors.  NULL without an error
   for empty text.  */
JsonNode *jsn_parse (const char *text, GError **error);

#endif
