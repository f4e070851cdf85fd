/* What the stand-ins for outside systems share: the answer that a nonce leads
   to, JSON over the stand-in's HTTP, and the end of the process with its
   parent.  */

#ifndef TESTS_STANDIN_H
#define TESTS_STANDIN_H

#include "base/clock.h"
#include "http/web.h"
#include <json-glib/json-glib.h>

#define STANDIN_MAX_TOKEN_BYTES 24

/* Token INDEX of the answer to the request NONCE: 0 is the nonce itself, the
   others depend on all three.  Ends with a space.  */
void standin_format_token (char word[STANDIN_MAX_TOKEN_BYTES], uint64_t seed,
                           const char *nonce, unsigned index);

/* The whole answer of COUNT tokens.  */
char *standin_format_answer (uint64_t seed, const char *nonce, unsigned count);

/* The value of "NAME=" in TEXT up to the next blank, quote or backslash;
   NULL when absent.  */
char *standin_parse_field (const char *text, const char *name);

/* The body as a JSON object, or NULL.  */
JsonObject *standin_parse_body (const web_request_t *request);

/* Answers with the object that BUILDER holds.  */
void standin_respond (web_request_t *request, unsigned status,
                      JsonBuilder *builder);

/* Runs LOOP until SIGTERM or SIGINT, or until the parent is gone.  */
void standin_run (struct ev_loop *loop);

#endif
