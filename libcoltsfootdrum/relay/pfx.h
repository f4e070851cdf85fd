/* Prefixes.  Estimates which prompt prefixes are in the caches of endpoints,
   by the prompts that routers sent to them lately.  A wrong estimate costs
   only time.  */

#ifndef RELAY_PFX_H
#define RELAY_PFX_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct pfx pfx_t;

/* Parts of a prompt that are told apart: each is looked up for each endpoint.
   Further ones belong to the last part.  */
#define PFX_MAX_PARTS 64
/* More than any engine's context; a longer prompt counts as this long.  */
#define PFX_MAX_TOKENS 10000000u

/* One part of a prompt.  */
typedef struct
{
  /* A hash of this part and all parts before it: a part is cached only
     together with these.  */
  uint64_t id;
  unsigned tokens;
} pfx_part_t;

typedef struct
{
  GArray *parts; /* pfx_part_t, in order */
  unsigned tokens;
} pfx_prompt_t;

/* Parses "ID:TOKENS, ..." with hexadecimal IDs.  Returns NULL when TEXT is
   malformed or empty.  */
pfx_prompt_t *pfx_prompt_parse (const char *text);
void pfx_prompt_free (pfx_prompt_t *prompt);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (pfx_prompt_t, pfx_prompt_free)

/* Returns the id of the prefix that the prompt may share with others, that is,
   of the last part but one.  The last part is the request's own.  0 when there
   is only one part.  */
uint64_t pfx_prompt_get_shared_id (const pfx_prompt_t *prompt);

pfx_t *pfx_new (void);
void pfx_free (pfx_t *pfx);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (pfx_t, pfx_free)

/* Records that PROMPT was sent to ENDPOINT, a hash of the endpoint's id and
   start time.  */
void pfx_record (pfx_t *pfx, cfd_time_t now, uint64_t endpoint,
                 const pfx_prompt_t *prompt);

/* A recorded prefix, to be sent to the other routers.  */
typedef struct
{
  uint64_t endpoint;
  uint64_t part;
  uint64_t number; /* sequence number */
  cfd_time_t at;
} pfx_update_t;

/* Returns the updates since SINCE and drops older ones.  The array is owned by
   PFX and valid until the next call.  */
const GArray *pfx_get_updates (pfx_t *pfx, cfd_time_t since);
/* Records that another router sent a prompt with the prefix that ends in PART
   to ENDPOINT.  */
void pfx_apply_update (pfx_t *pfx, cfd_time_t now, uint64_t endpoint,
                       uint64_t part);

/* Returns the number of tokens in all parts of PROMPT but the last.  */
unsigned pfx_prompt_count_shared_tokens (const pfx_prompt_t *prompt);
/* Returns the number of tokens in the longest prefix of PROMPT that ENDPOINT
   probably has in its cache.  */
unsigned pfx_count_cached_tokens (const pfx_t *pfx, cfd_time_t now,
                                  uint64_t endpoint,
                                  const pfx_prompt_t *prompt);
/* Removes expired entries.  */
void pfx_evict_expired (pfx_t *pfx, cfd_time_t now);

#endif
