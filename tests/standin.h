/* Stand-ins for outside systems: the answer that a nonce determines, JSON over
   HTTP, and running until the parent process ends.  */

#ifndef TESTS_STANDIN_H
#define TESTS_STANDIN_H

#include "base/clock.h"
#include "http/web.h"
#include <json-glib/json-glib.h>

#define STANDIN_MAX_TOKEN_BYTES 24

/* Formats token INDEX of the answer to the request NONCE: token 0 is the
   nonce, the others depend on SEED, NONCE and INDEX.  Ends with a space.  */
void standin_format_token (char token[STANDIN_MAX_TOKEN_BYTES], uint64_t seed,
                           const char *nonce, unsigned index);

/* Formats an answer of COUNT tokens.  */
char *standin_format_answer (uint64_t seed, const char *nonce, unsigned count);

/* Returns the value of "NAME=" in TEXT up to the next space, quote, backslash
   or ampersand; NULL when absent.  */
char *standin_parse_field (const char *text, const char *name);

/* Parses the request body as a JSON object; NULL if it is not one.  */
JsonObject *standin_parse_body (const web_request_t *request);

/* Responds with the object in BUILDER.  */
void standin_respond (web_request_t *request, unsigned status,
                      JsonBuilder *builder);

/* Runs LOOP until SIGTERM, SIGINT or the end of the parent process.  */
void standin_run (struct ev_loop *loop);

#endif
