/* Prefixes: parts of prompts in the caches of endpoints.  */

#include "relay/pfx.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A part that was not used for this time is assumed to be evicted.  */
#define CACHE_LIFETIME_MS 8000

/* Ids are 32 bits of a 64-bit hash, since routers send each other thousands of
   them.  Collisions among some thousand parts are rare.  */
#define ID_MASK 0xffffffffu

struct pfx
{
  GHashTable *entries;  /* key of part and endpoint to pfx_entry_t */
  GArray *updates;      /* pfx_update_t, the oldest first */
  uint64_t last_number; /* given to updates */
};

typedef struct
{
  uint64_t key;
  cfd_time_t last_used;
} pfx_entry_t;

static guint
entry_hash (gconstpointer data)
{
  return (guint) * (const uint64_t *)data;
}

static gboolean
entry_equal (gconstpointer a, gconstpointer b)
{
  return *(const uint64_t *)a == *(const uint64_t *)b;
}

/* Parses one "ID:TOKENS".  PREVIOUS is the id of the part before it, which is
   the seed of this part's id.  */
static bool
parse_part (const char *text, uint64_t previous, pfx_part_t *part)
{
  const char *colon = strchr (text, ':');
  char *end = NULL;
  unsigned long tokens;

  if (colon == NULL || colon == text)
    return false;
  tokens = strtoul (colon + 1, &end, 10);
  if (end == colon + 1 || *end != '\0' || tokens > G_MAXINT)
    return false;
  part->id = XXH3_64bits_withSeed (text, (size_t)(colon - text), previous)
             & ID_MASK;
  part->tokens = (unsigned)tokens;
  return true;
}

/* Adds PART to PROMPT, within the limits.  */
static void
add_part (pfx_prompt_t *prompt, pfx_part_t part)
{
  part.tokens = MIN (part.tokens, PFX_MAX_TOKENS - prompt->tokens);
  prompt->tokens += part.tokens;
  if (prompt->parts->len < PFX_MAX_PARTS)
    g_array_append_val (prompt->parts, part);
  else
    g_array_index (prompt->parts, pfx_part_t, PFX_MAX_PARTS - 1).tokens
        += part.tokens;
}

pfx_prompt_t *
pfx_prompt_parse (const char *text)
{
  g_auto (GStrv) items = g_strsplit (text, ",", -1);
  pfx_prompt_t *prompt = g_new0 (pfx_prompt_t, 1);
  uint64_t previous = 0;

  prompt->parts = g_array_new (FALSE, FALSE, sizeof (pfx_part_t));
  for (char **item = items; *item != NULL; item++)
    {
      pfx_part_t part;

      if (!parse_part (g_strstrip (*item), previous, &part))
        goto invalid;
      previous = part.id;
      add_part (prompt, part);
    }
  if (prompt->parts->len > 0)
    return prompt;
invalid:
  pfx_prompt_free (prompt);
  return NULL;
}

void
pfx_prompt_free (pfx_prompt_t *prompt)
{
  if (prompt == NULL)
    return;
  g_array_unref (prompt->parts);
  g_free (prompt);
}

static const pfx_part_t *
get_part (const pfx_prompt_t *prompt, guint i)
{
  return &g_array_index (prompt->parts, pfx_part_t, i);
}

uint64_t
pfx_prompt_get_shared_id (const pfx_prompt_t *prompt)
{
  if (prompt->parts->len < 2)
    return 0;
  return get_part (prompt, prompt->parts->len - 2)->id;
}

pfx_t *
pfx_new (void)
{
  pfx_t *pfx = g_new0 (pfx_t, 1);

  pfx->entries = g_hash_table_new_full (entry_hash, entry_equal, g_free, NULL);
  pfx->updates = g_array_new (FALSE, FALSE, sizeof (pfx_update_t));
  return pfx;
}

void
pfx_free (pfx_t *pfx)
{
  if (pfx == NULL)
    return;
  g_hash_table_unref (pfx->entries);
  g_array_unref (pfx->updates);
  g_free (pfx);
}

unsigned
pfx_prompt_count_shared_tokens (const pfx_prompt_t *prompt)
{
  return prompt->tokens - get_part (prompt, prompt->parts->len - 1)->tokens;
}

static uint64_t
make_key (uint64_t endpoint, uint64_t part)
{
  return part ^ (endpoint * UINT64_C (0x9e3779b97f4a7c15));
}

static void
record_part (pfx_t *pfx, cfd_time_t now, uint64_t endpoint, uint64_t part)
{
  uint64_t key = make_key (endpoint, part);
  pfx_entry_t *entry = g_hash_table_lookup (pfx->entries, &key);

  if (entry == NULL)
    {
      entry = g_new0 (pfx_entry_t, 1);
      entry->key = key;
      g_hash_table_insert (pfx->entries, &entry->key, entry);
    }
  entry->last_used = now;
}

void
pfx_record (pfx_t *pfx, cfd_time_t now, uint64_t endpoint,
            const pfx_prompt_t *prompt)
{
  pfx_update_t updates = { .endpoint = endpoint,
                           .part = pfx_prompt_get_shared_id (prompt),
                           .number = ++pfx->last_number,
                           .at = now };

  /* The last part is the request's own.  */
  for (guint i = 0; i + 1 < prompt->parts->len; i++)
    record_part (pfx, now, endpoint, get_part (prompt, i)->id);
  if (updates.part != 0)
    g_array_append_val (pfx->updates, updates);
}

const GArray *
pfx_get_updates (pfx_t *pfx, cfd_time_t since)
{
  guint expired_count = 0;

  while (expired_count < pfx->updates->len
         && g_array_index (pfx->updates, pfx_update_t, expired_count).at
                < since)
    expired_count++;
  if (expired_count > 0)
    g_array_remove_range (pfx->updates, 0, expired_count);
  return pfx->updates;
}

void
pfx_apply_update (pfx_t *pfx, cfd_time_t now, uint64_t endpoint, uint64_t part)
{
  record_part (pfx, now, endpoint, part);
}

static bool
is_cached (const pfx_t *pfx, cfd_time_t now, uint64_t endpoint, uint64_t part)
{
  uint64_t key = make_key (endpoint, part);
  const pfx_entry_t *entry = g_hash_table_lookup (pfx->entries, &key);

  return entry != NULL && now - entry->last_used <= CACHE_LIFETIME_MS;
}

unsigned
pfx_count_cached_tokens (const pfx_t *pfx, cfd_time_t now, uint64_t endpoint,
                         const pfx_prompt_t *prompt)
{
  unsigned tokens = pfx_prompt_count_shared_tokens (prompt);

  /* A cached part implies that all parts before it are cached.  */
  for (guint i = prompt->parts->len - 1; i-- > 0;)
    {
      if (is_cached (pfx, now, endpoint, get_part (prompt, i)->id))
        return tokens;
      tokens -= get_part (prompt, i)->tokens;
    }
  return 0;
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer user)
{
  const pfx_entry_t *entry = value;
  const cfd_time_t *now = user;

  return *now - entry->last_used > CACHE_LIFETIME_MS;
}

void
pfx_evict_expired (pfx_t *pfx, cfd_time_t now)
{
  g_hash_table_foreach_remove (pfx->entries, is_expired, &now);
}
