/* Reads a model engine's answer as it passes: counts output tokens, takes the
   usage figures, and measures token times.  Pure; changes no byte.

   A streamed answer is server-sent events, one token each, "data: [DONE]" at
   the end, and usage in the last event before it.  A whole answer is one JSON
   object with usage.  */

#ifndef AGENT_AGENT_SSE_H
#define AGENT_AGENT_SSE_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>

/* A longer event or whole answer is passed on but not looked into.  */
#define SSE_MAX_LINE_BYTES (256u * 1024)
#define SSE_MAX_ANSWER_BYTES (1024u * 1024)

/* Newest intervals that are kept.  Their median needs three slow ones, so that
   one stall of the machine isn't taken for a slow endpoint.  */
#define SSE_INTERVALS 5u

typedef struct
{
  bool is_streamed;
  bool is_complete; /* "[DONE]" was seen, or the whole object */
  GString *buffer;  /* the unfinished line, or the whole answer */
  bool is_too_long;
  unsigned token_events; /* events with a token so far */
  bool has_usage;
  unsigned prompt_tokens;
  unsigned output_tokens;
  cfd_time_t first_token_at; /* of the first token; 0 before it */
  cfd_time_t last_token_at;
  unsigned intervals_ms[SSE_INTERVALS]; /* between the newest tokens, in ms; a
                                           ring */
} sse_t;

void sse_init (sse_t *sse, bool streamed);
void sse_clear (sse_t *sse);
void sse_feed (sse_t *sse, const char *bytes, size_t length, cfd_time_t now);
/* The answer in one piece has ended: reads its usage, and whether it is done,
   which can't be told of one over SSE_MAX_ANSWER_BYTES and is taken for
   granted.  */
void sse_finish (sse_t *sse);
/* Output tokens, by usage when it is known.  */
unsigned sse_count_output_tokens (const sse_t *sse);
/* Mean milliseconds between tokens; 0 with fewer than two.  */
double sse_get_mean_interval_ms (const sse_t *sse);
/* Median of the newest intervals; 0 with fewer than SSE_INTERVALS.  */
double sse_get_median_interval_ms (const sse_t *sse);
/* The newest interval alone; 0 with fewer than two tokens.  */
double sse_get_newest_interval_ms (const sse_t *sse);

#endif
