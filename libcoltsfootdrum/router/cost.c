#include "router/cost.h"

#include "base/pair.h"

#include <stdbool.h>

/* Weight of the latest request in the moving average.  */
#define RATIO_SMOOTHING 0.1

typedef struct
{
  pair_t key;
  double ratio;
  cfd_time_t updated_at;
} entry_t;

struct cost
{
  GHashTable *entries; /* pair_t to entry_t */
};

cost_t *
cost_new (void)
{
  cost_t *cost = g_new0 (cost_t, 1);

  cost->entries = pair_table_new (NULL);
  return cost;
}

void
cost_free (cost_t *cost)
{
  if (cost == NULL)
    return;
  g_hash_table_unref (cost->entries);
  g_free (cost);
}

double
cost_estimate (const cost_t *cost, const char *account, const char *service,
               double hint_tokens)
{
  const entry_t *entry = pair_table_find (cost->entries, account, service);

  return hint_tokens * (entry != NULL ? entry->ratio : COST_RATIO_INITIAL);
}

void
cost_update (cost_t *cost, const char *account, const char *service,
             double hint_tokens, double actual_tokens, cfd_time_t now)
{
  entry_t *entry = pair_table_find (cost->entries, account, service);
  double ratio;

  if (hint_tokens <= 0)
    return;
  ratio = CLAMP (actual_tokens / hint_tokens, COST_RATIO_MIN, COST_RATIO_MAX);
  if (entry == NULL)
    {
      entry = pair_table_add (cost->entries, account, service, sizeof *entry);
      entry->ratio = ratio;
    }
  entry->ratio += RATIO_SMOOTHING * (ratio - entry->ratio);
  entry->updated_at = now;
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer user)
{
  const entry_t *entry = value;

  return *(const cfd_time_t *)user - entry->updated_at > COST_EXPIRY_MS;
}

void
cost_expire (cost_t *cost, cfd_time_t now)
{
  g_hash_table_foreach_remove (cost->entries, is_expired, &now);
}
