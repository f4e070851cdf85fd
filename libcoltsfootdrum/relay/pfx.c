/* Cached parts of prompts.  */

#include "relay/pfx.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A part that was not used for this time counts as evicted.  */
#define CACHED_MS 8000

/* Half of a hash: some thousand parts hardly meet in it, and routers tell each
   other of parts by the thousand.  */
#define ID_MASK 0xffffffffu

struct pfx
{
  GHashTable *uses; /* uint64_t of part and endpoint to pfx_use_t */
  GArray *updates;  /* pfx_update_t, the oldest first */
  uint64_t numbers; /* given to updates */
};

typedef struct
{
  uint64_t key;
  cfd_time_t last;
} pfx_use_t;

static guint
use_hash (gconstpointer data)
{
  return (guint) * (const uint64_t *)data;
}

static gboolean
use_equal (gconstpointer a, gconstpointer b)
{
  return *(const uint64_t *)a == *(const uint64_t *)b;
}

/* One "ID:TOKENS"; the id is chained to that of the part BEFORE it.  */
static bool
parse_part (const char *text, uint64_t before, pfx_part_t *part)
{
  const char *colon = strchr (text, ':');
  char *end = NULL;
  unsigned long tokens;

  if (colon == NULL || colon == text)
    return false;
  tokens = strtoul (colon + 1, &end, 10);
  if (end == colon + 1 || *end != '\0' || tokens > G_MAXINT)
    return false;
  part->id
      = XXH3_64bits_withSeed (text, (size_t)(colon - text), before) & ID_MASK;
  part->tokens = (unsigned)tokens;
  return true;
}

pfx_prompt_t *
pfx_prompt_parse (const char *text)
{
  g_auto (GStrv) words = g_strsplit (text, ",", -1);
  pfx_prompt_t *prompt = g_new0 (pfx_prompt_t, 1);
  uint64_t before = 0;

  prompt->parts = g_array_new (FALSE, FALSE, sizeof (pfx_part_t));
  for (char **word = words; *word != NULL; word++)
    {
      pfx_part_t part;

      if (!parse_part (g_strstrip (*word), before, &part))
        goto bad;
      before = part.id;
      prompt->tokens += part.tokens;
      g_array_append_val (prompt->parts, part);
    }
  if (prompt->parts->len > 0)
    return prompt;
bad:
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
part_at (const pfx_prompt_t *prompt, guint i)
{
  return &g_array_index (prompt->parts, pfx_part_t, i);
}

uint64_t
pfx_prompt_get_shared_id (const pfx_prompt_t *prompt)
{
  if (prompt->parts->len < 2)
    return 0;
  return part_at (prompt, prompt->parts->len - 2)->id;
}

pfx_t *
pfx_new (void)
{
  pfx_t *pfx = g_new0 (pfx_t, 1);

  pfx->uses = g_hash_table_new_full (use_hash, use_equal, g_free, NULL);
  pfx->updates = g_array_new (FALSE, FALSE, sizeof (pfx_update_t));
  return pfx;
}

void
pfx_free (pfx_t *pfx)
{
  if (pfx == NULL)
    return;
  g_hash_table_unref (pfx->uses);
  g_array_unref (pfx->updates);
  g_free (pfx);
}

unsigned
pfx_prompt_count_shared_tokens (const pfx_prompt_t *prompt)
{
  return prompt->tokens - part_at (prompt, prompt->parts->len - 1)->tokens;
}

static uint64_t
key_of (uint64_t endpoint, uint64_t part)
{
  return part ^ (endpoint * UINT64_C (0x9e3779b97f4a7c15));
}

static void
note_part (pfx_t *pfx, cfd_time_t now, uint64_t endpoint, uint64_t part)
{
  uint64_t key = key_of (endpoint, part);
  pfx_use_t *use = g_hash_table_lookup (pfx->uses, &key);

  if (use == NULL)
    {
      use = g_new0 (pfx_use_t, 1);
      use->key = key;
      g_hash_table_insert (pfx->uses, &use->key, use);
    }
  use->last = now;
}

/* All parts but the last, which is the request's own.  */
void
pfx_record (pfx_t *pfx, cfd_time_t now, uint64_t endpoint,
            const pfx_prompt_t *prompt)
{
  pfx_update_t updates = { .endpoint = endpoint,
                           .part = pfx_prompt_get_shared_id (prompt),
                           .number = ++pfx->numbers,
                           .at = now };

  for (guint i = 0; i + 1 < prompt->parts->len; i++)
    note_part (pfx, now, endpoint, part_at (prompt, i)->id);
  if (updates.part != 0)
    g_array_append_val (pfx->updates, updates);
}

const GArray *
pfx_get_updates (pfx_t *pfx, cfd_time_t since)
{
  guint old = 0;

  while (old < pfx->updates->len
         && g_array_index (pfx->updates, pfx_update_t, old).at < since)
    old++;
  if (old > 0)
    g_array_remove_range (pfx->updates, 0, old);
  return pfx->updates;
}

void
pfx_apply_update (pfx_t *pfx, cfd_time_t now, uint64_t endpoint, uint64_t part)
{
  note_part (pfx, now, endpoint, part);
}

static bool
caches (const pfx_t *pfx, cfd_time_t now, uint64_t endpoint, uint64_t part)
{
  uint64_t key = key_of (endpoint, part);
  const pfx_use_t *use = g_hash_table_lookup (pfx->uses, &key);

  return use != NULL && now - use->last <= CACHED_MS;
}

/* A part is cached together with all before it.  */
unsigned
pfx_count_cached_tokens (const pfx_t *pfx, cfd_time_t now, uint64_t endpoint,
                         const pfx_prompt_t *prompt)
{
  unsigned tokens = pfx_prompt_count_shared_tokens (prompt);

  for (guint i = prompt->parts->len - 1; i-- > 0;)
    {
      if (caches (pfx, now, endpoint, part_at (prompt, i)->id))
        return tokens;
      tokens -= part_at (prompt, i)->tokens;
    }
  return 0;
}

static gboolean
is_old (gpointer key, gpointer value, gpointer user)
{
  const pfx_use_t *use = value;
  const cfd_time_t *now = user;

  return *now - use->last > CACHED_MS;
}

void
pfx_evict_expired (pfx_t *pfx, cfd_time_t now)
{
  g_hash_table_foreach_remove (pfx->uses, is_old, &now);
}
