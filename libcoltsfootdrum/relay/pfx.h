/* Prompt prefixes that endpoints probably cache: what routers sent there
   lately. A wrong guess costs time alone.  */

#ifndef RELAY_PFX_H
#define RELAY_PFX_H

#include "base/clock.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct pfx pfx_t;

/* One part of a prompt, in order.  */
typedef struct
{
  uint64_t id; /* with that of all parts before it: a part is cached
                  together with these alone */
  unsigned tokens;
} pfx_part_t;

typedef struct
{
  GArray *parts; /* pfx_part_t */
  unsigned tokens;
} pfx_prompt_t;

/* "ID:TOKENS, ..." with hexadecimal IDs; NULL when malformed or empty.  */
pfx_prompt_t *pfx_prompt_parse (const char *text);
void pfx_prompt_free (pfx_prompt_t *prompt);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (pfx_prompt_t, pfx_prompt_free)

/* The part that names the shared prefix: the last one but the request's own. 0
   when there is none.  */
uint64_t pfx_prompt_get_shared_id (const pfx_prompt_t *prompt);

pfx_t *pfx_new (void);
void pfx_free (pfx_t *pfx);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (pfx_t, pfx_free)

/* ENDPOINT is a hash of the endpoint's id and start.  */
void pfx_record (pfx_t *pfx, cfd_time_t now, uint64_t endpoint,
                 const pfx_prompt_t *prompt);

/* What other routers are to be told: the prefix of a prompt that was noted
   here lately.  */
typedef struct
{
  uint64_t endpoint;
  uint64_t part;
  uint64_t number; /* counts up */
  cfd_time_t at;
} pfx_update_t;

/* Updates since SINCE; valid until the next call.  */
const GArray *pfx_get_updates (pfx_t *pfx, cfd_time_t since);
/* Another router sent a prompt with the prefix that ends in PART.  */
void pfx_apply_update (pfx_t *pfx, cfd_time_t now, uint64_t endpoint,
                       uint64_t part);

/* Tokens of all parts of PROMPT but its own.  */
unsigned pfx_prompt_count_shared_tokens (const pfx_prompt_t *prompt);
/* Tokens of the longest prefix of PROMPT that ENDPOINT caches, probably.  */
unsigned pfx_count_cached_tokens (const pfx_t *pfx, cfd_time_t now,
                                  uint64_t endpoint,
                                  const pfx_prompt_t *prompt);
/* Forgets what is old.  */
void pfx_evict_expired (pfx_t *pfx, cfd_time_t now);

#endif
