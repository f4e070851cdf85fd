/* Callers who were refused.  */

#include "relay/ret.h"

#include "base/list.h"
#include <string.h>
#include <xxhash.h>

/* A caller who comes back does so within this time.  */
#define RETURN_MS 8000
/* Bounds the memory under a flood of refusals.  */
#define CALLERS_MOST 16384
/* Keys are short in datagrams; among some thousand refusals two hardly meet.
 */
#define KEY_MASK UINT64_C (0xffffffffff)

/* Clocks of routers and the way back differ by less; and a caller may come a
   little before its time.  */
#define EARLY_SLACK_MS 20

typedef struct
{
  list_node_t node;
  uint64_t key;
  cfd_time_t asked;
  cfd_time_t refused;
  cfd_time_t retry_at;
} ret_caller_t;

struct ret
{
  GHashTable *callers; /* key to ret_caller_t */
  list_node_t order;   /* the same, who was refused first comes first */
  GArray *updates;     /* ret_update_t, the oldest first */
  uint64_t numbers;    /* given to updates */
};

static void
caller_free (void *data)
{
  ret_caller_t *caller = data;

  list_remove (&caller->node);
  g_free (caller);
}

ret_t *
ret_new (void)
{
  ret_t *ret = g_new0 (ret_t, 1);

  ret->callers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, caller_free);
  list_init (&ret->order);
  ret->updates = g_array_new (FALSE, FALSE, sizeof (ret_update_t));
  return ret;
}

void
ret_free (ret_t *ret)
{
  if (ret == NULL)
    return;
  g_hash_table_unref (ret->callers);
  g_array_unref (ret->updates);
  g_free (ret);
}

uint64_t
ret_request_key (const char *account, const char *prompt, const void *body,
                 size_t length)
{
  uint64_t key = XXH3_64bits (account, strlen (account));

  key = XXH3_64bits_withSeed (prompt, strlen (prompt), key);
  return XXH3_64bits_withSeed (body, length, key) & KEY_MASK;
}

static ret_caller_t *
oldest (const ret_t *ret)
{
  return list_is_empty (&ret->order)
             ? NULL
             : list_entry (ret->order.next, ret_caller_t, node);
}

static void
forget (ret_t *ret, const ret_caller_t *caller)
{
  g_hash_table_remove (ret->callers, &caller->key);
}

void
ret_add_peer_refusal (ret_t *ret, cfd_time_t now, uint64_t key,
                      cfd_time_t asked, cfd_time_t retry_at)
{
  ret_caller_t *caller = g_new0 (ret_caller_t, 1);

  if (g_hash_table_size (ret->callers) >= CALLERS_MOST)
    forget (ret, oldest (ret));
  caller->key = key;
  caller->asked = asked;
  caller->refused = now;
  caller->retry_at = retry_at;
  list_init (&caller->node);
  g_hash_table_replace (ret->callers, &caller->key, caller);
  list_append (&ret->order, &caller->node);
}

void
ret_add_refusal (ret_t *ret, cfd_time_t now, uint64_t key, cfd_time_t asked,
                 cfd_time_t retry_at)
{
  ret_update_t updates = { .key = key,
                           .asked = asked,
                           .retry_at = retry_at,
                           .number = ++ret->numbers,
                           .at = now };

  ret_add_peer_refusal (ret, now, key, asked, retry_at);
  g_array_append_val (ret->updates, updates);
}

cfd_time_t
ret_take_first_attempt (ret_t *ret, cfd_time_t now, uint64_t key)
{
  const ret_caller_t *caller = g_hash_table_lookup (ret->callers, &key);
  cfd_time_t asked = now;

  if (caller == NULL || now < caller->retry_at - EARLY_SLACK_MS)
    return now;
  if (now - caller->refused <= RETURN_MS)
    asked = MIN (caller->asked, now);
  forget (ret, caller);
  return asked;
}

void
ret_mark_served (ret_t *ret, uint64_t key)
{
  g_hash_table_remove (ret->callers, &key);
}

const GArray *
ret_updates (ret_t *ret, cfd_time_t since)
{
  guint old = 0;

  while (old < ret->updates->len
         && g_array_index (ret->updates, ret_update_t, old).at < since)
    old++;
  if (old > 0)
    g_array_remove_range (ret->updates, 0, old);
  return ret->updates;
}

void
ret_sweep (ret_t *ret, cfd_time_t now)
{
  const ret_caller_t *caller = oldest (ret);

  while (caller != NULL && now - caller->refused > RETURN_MS)
    {
      forget (ret, caller);
      caller = oldest (ret);
    }
}
