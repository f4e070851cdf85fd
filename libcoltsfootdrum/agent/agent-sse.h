/* Reads a model engine's answer while it is forwarded: counts output tokens,
   takes the usage figures, and measures token times.  Pure; changes no byte.

   A streamed answer consists of server-sent events, one per token, with the
   usage in the last event before the final "data: [DONE]".  Any other answer
   is one JSON object with the usage.  */

#ifndef AGENT_AGENT_SSE_H
#define AGENT_AGENT_SSE_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>

/* A longer event or whole answer is forwarded but not parsed.  */
#define SSE_MAX_LINE_BYTES (256u * 1024)
#define SSE_MAX_ANSWER_BYTES (1024u * 1024)

/* Number of newest intervals that are kept.  At least three of them must be
   slow to raise their median, so that one stall of the machine is not taken
   for a slow endpoint.  */
#define SSE_INTERVALS 5u

typedef struct
{
  bool is_streamed;
  bool has_end_mark; /* "[DONE]" was read */
  bool is_complete;  /* so was the end of its event, or the whole object */
  GString *buffer;   /* the incomplete line, or the whole answer */
  bool is_too_long;
  unsigned token_events; /* events with a token so far */
  bool has_usage;
  unsigned prompt_tokens;
  unsigned output_tokens;
  cfd_time_t first_token_at; /* 0 before the first token */
  cfd_time_t last_token_at;
  unsigned intervals_ms[SSE_INTERVALS]; /* between the newest tokens; a ring */
} sse_t;

void sse_init (sse_t *sse, bool streamed);
void sse_clear (sse_t *sse);
void sse_feed (sse_t *sse, const char *bytes, size_t length, cfd_time_t now);
/* Ends an answer that is one JSON object: reads its usage and whether it is
   complete.  An answer over SSE_MAX_ANSWER_BYTES can't be checked and counts
   as complete.  */
void sse_finish (sse_t *sse);
/* Output tokens; from the usage figures when they are known.  */
unsigned sse_count_output_tokens (const sse_t *sse);
/* Mean time between tokens; 0 with fewer than two tokens.  */
double sse_get_mean_interval_ms (const sse_t *sse);
/* Median of the newest intervals; 0 with fewer than SSE_INTERVALS.  */
double sse_get_median_interval_ms (const sse_t *sse);
/* The newest interval; 0 with fewer than two tokens.  */
double sse_get_newest_interval_ms (const sse_t *sse);

#endif
