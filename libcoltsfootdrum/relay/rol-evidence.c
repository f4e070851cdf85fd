/* Rollouts: counts of answers by version and route, the verdict on the target,
   and metrics.  */

#include "relay/rol-private.h"

#include "admin/prom.h"
#include "base/log.h"
#include <string.h>
#include <xxhash.h>

/* Most routes of a rollout that are counted apart.  */
#define MAX_ROUTES 1024
/* Most counts of other routers, of one rollout.  */
#define MAX_PEER_COUNTS 65536
/* Most other routers whose progress is known.  */
#define MAX_PROGRESS 4096
/* An answer that takes this many times the baseline's mean is bad.  */
#define SLOW_FACTOR 2.5
/* Answers of the baseline before its mean is used.  */
#define MIN_MEAN_SAMPLES 20
/* Answers that the mean is taken over.  */
#define MAX_MEAN_SAMPLES 64

/* Counts that one router process sent last.  */
typedef struct
{
  uint64_t incarnation;
  uint64_t route;
  rol_subject_t subject;
  uint64_t answers;
  uint64_t bad;
} peer_counts_t;

static guint
hash_peer_counts (gconstpointer data)
{
  const peer_counts_t *counts = data;
  uint64_t key[] = { counts->incarnation, counts->route, counts->subject };

  return (guint)XXH3_64bits (key, sizeof key);
}

static gboolean
equal_peer_counts (gconstpointer a, gconstpointer b)
{
  const peer_counts_t *one = a;
  const peer_counts_t *other = b;

  return one->incarnation == other->incarnation && one->route == other->route
         && one->subject == other->subject;
}

static void
route_free (void *data)
{
  rol_route_t *route = data;

  g_free (route->name);
  g_free (route);
}

static uint64_t
hash_text (const char *text, uint64_t seed)
{
  return XXH3_64bits_withSeed (text, strlen (text), seed);
}

rol_rollout_t *
rol_rollout_new (cfd_time_t now, rol_order_t *order)
{
  rol_rollout_t *rollout = g_new0 (rol_rollout_t, 1);

  rollout->order = order;
  rollout->key = hash_text (order->service, hash_text (order->target, 0));
  rollout->seen_at = now;
  rollout->ordered_at = now;
  rollout->progress
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  rollout->routes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, route_free);
  rollout->peers = g_hash_table_new_full (hash_peer_counts, equal_peer_counts,
                                          g_free, NULL);
  rollout->rejected
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  vdt_init (&rollout->verdict, now);
  return rollout;
}

void
rol_rollout_free (void *data)
{
  rol_rollout_t *rollout = data;

  g_hash_table_unref (rollout->routes);
  g_hash_table_unref (rollout->peers);
  g_hash_table_unref (rollout->rejected);
  g_hash_table_unref (rollout->progress);
  rol_order_free (rollout->order);
  g_free (rollout);
}

static rol_route_t *
get_or_add_route (rol_rollout_t *rollout, uint64_t id)
{
  rol_route_t *route = g_hash_table_lookup (rollout->routes, &id);

  if (route != NULL || g_hash_table_size (rollout->routes) >= MAX_ROUTES)
    return route;
  route = g_new0 (rol_route_t, 1);
  route->id = id;
  vdt_init (&route->verdict, rollout->seen_at);
  g_hash_table_insert (rollout->routes, &route->id, route);
  return route;
}

rol_route_t *
rol_get_route (rol_rollout_t *rollout, const rte_route_t *route)
{
  const char *name = route->name != NULL ? route->name : route->prefix;
  rol_route_t *counts = get_or_add_route (rollout, hash_text (name, 0));

  if (counts != NULL && counts->name == NULL)
    counts->name = g_strdup (name);
  return counts;
}

/* ---- counts ---- */

static bool
is_above (const rol_mean_t *mean, double value)
{
  return mean->samples >= MIN_MEAN_SAMPLES && value > mean->mean * SLOW_FACTOR;
}

static void
add_sample (rol_mean_t *mean, double value)
{
  if (value <= 0.)
    return;
  mean->samples = MIN (mean->samples + 1, MAX_MEAN_SAMPLES);
  mean->mean += (value - mean->mean) / mean->samples;
}

static bool
is_slow (const rol_route_t *route, const rol_outcome_t *outcome)
{
  return !outcome->is_warming_up
         && (is_above (&route->first_ratio, outcome->first_ratio)
             || is_above (&route->event_ms, outcome->event_ms));
}

void
rol_count_answer (rol_rollout_t *rollout, const rte_route_t *route,
                  const rol_outcome_t *outcome)
{
  rol_subject_t subject = outcome->is_canary ? ROL_TARGET : ROL_BASELINE;
  rol_route_t *counts = rol_get_route (rollout, route);
  bool is_bad;

  if (counts == NULL)
    return;
  is_bad = outcome->failed || is_slow (counts, outcome);
  counts->own[subject].answers += 1.;
  counts->own[subject].bad += is_bad;
  counts->total[subject].answers += 1.;
  counts->total[subject].bad += is_bad;
  if (is_bad && outcome->is_canary)
    log_info ("rollout",
              "A canary gave a bad answer: service=%s route=%s failed=%d "
              "first_ratio=%.2f of=%.2f event_ms=%.1f of=%.1f.",
              rollout->order->service, counts->name, outcome->failed,
              outcome->first_ratio, counts->first_ratio.mean,
              outcome->event_ms, counts->event_ms.mean);
  if (outcome->failed || outcome->is_canary || outcome->is_warming_up)
    return;
  add_sample (&counts->first_ratio, outcome->first_ratio);
  add_sample (&counts->event_ms, outcome->event_ms);
}

/* ---- verdict ---- */

static void
log_evidence (const rol_rollout_t *rollout, const char *route,
              const vdt_t *verdict, cfd_time_t now)
{
  log_warn ("rollout",
            "The evidence is against the target: service=%s target=%s "
            "route=%s answers=%.0f bad=%.0f baseline_answers=%.0f "
            "baseline_bad=%.0f baseline_rate=%.4f score=%.1f "
            "age_ms=%" G_GINT64_FORMAT ".",
            rollout->order->service, rollout->order->target, route,
            verdict->target.answers, verdict->target.bad,
            verdict->baseline.answers, verdict->baseline.bad,
            vdt_get_baseline_rate (verdict), verdict->score,
            now - rollout->seen_at);
}

static void
add_counts (vdt_counts_t *sum, const vdt_counts_t *counts)
{
  sum->answers += counts->answers;
  sum->bad += counts->bad;
}

bool
rol_weigh_evidence (rol_rollout_t *rollout, cfd_time_t now)
{
  vdt_counts_t sums[ROL_VERSIONS] = { { 0 } };
  bool is_bad = false;
  GHashTableIter each;
  void *data;

  g_hash_table_iter_init (&each, rollout->routes);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      rol_route_t *route = data;

      add_counts (&sums[ROL_BASELINE], &route->total[ROL_BASELINE]);
      add_counts (&sums[ROL_TARGET], &route->total[ROL_TARGET]);
      if (!vdt_update (&route->verdict, now, &route->total[ROL_BASELINE],
                       &route->total[ROL_TARGET]))
        continue;
      log_evidence (rollout, route->name != NULL ? route->name : "?",
                    &route->verdict, now);
      is_bad = true;
    }
  if (vdt_update (&rollout->verdict, now, &sums[ROL_BASELINE],
                  &sums[ROL_TARGET]))
    {
      log_evidence (rollout, "all", &rollout->verdict, now);
      is_bad = true;
    }
  return is_bad;
}

/* ---- exchange with other routers ---- */

static void
report_route (const rol_rollout_t *rollout, const rol_route_t *route,
              void (*callback) (void *user, const rol_evidence_t *evidence),
              void *user)
{
  for (int subject = ROL_BASELINE; subject <= ROL_TARGET; subject++)
    {
      rol_evidence_t evidence
          = { .rollout = rollout->key,
              .route = route->id,
              .subject = (rol_subject_t)subject,
              .answers = (uint64_t)route->own[subject].answers,
              .bad = (uint64_t)route->own[subject].bad };

      if (evidence.answers > 0)
        callback (user, &evidence);
    }
}

static void
report_rollout (const rol_rollout_t *rollout, cfd_time_t now,
                void (*callback) (void *user, const rol_evidence_t *evidence),
                void *user)
{
  GHashTableIter each;
  void *route;

  if (rollout->is_bad)
    {
      callback (user, &(rol_evidence_t){ .rollout = rollout->key,
                                         .subject = ROL_VERDICT,
                                         .answers = 1,
                                         .bad = 1 });
      return;
    }
  callback (user, &(rol_evidence_t){ .rollout = rollout->key,
                                     .subject = ROL_PROGRESS,
                                     .answers = rollout->is_drained });
  callback (user, &(rol_evidence_t){
                      .rollout = rollout->key,
                      .subject = ROL_AGE,
                      .answers = (uint64_t)(now - rollout->ordered_at) });
  g_hash_table_iter_init (&each, rollout->routes);
  while (g_hash_table_iter_next (&each, NULL, &route))
    report_route (rollout, route, callback, user);
}

void
rol_foreach_own (const rol_t *rol, cfd_time_t now,
                 void (*callback) (void *user, const rol_evidence_t *evidence),
                 void *user)
{
  GHashTableIter each;
  void *data;

  g_hash_table_iter_init (&each, rol->rollouts);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const rol_rollout_t *rollout = data;

      if (rollout->order->state == ROL_ORDERED
          || rollout->order->state == ROL_IN_PROGRESS)
        report_rollout (rollout, now, callback, user);
    }
}

static rol_rollout_t *
find_by_key (const rol_t *rol, uint64_t key)
{
  GHashTableIter each;
  void *rollout;

  g_hash_table_iter_init (&each, rol->rollouts);
  while (g_hash_table_iter_next (&each, NULL, &rollout))
    if (((rol_rollout_t *)rollout)->key == key)
      return rollout;
  return NULL;
}

/* Returns the counts that the router process sent last; NULL when there are
   too many.  */
static peer_counts_t *
get_or_add_peer_counts (rol_rollout_t *rollout, uint64_t incarnation,
                        const rol_evidence_t *evidence)
{
  peer_counts_t key = { .incarnation = incarnation,
                        .route = evidence->route,
                        .subject = evidence->subject };
  peer_counts_t *counts = g_hash_table_lookup (rollout->peers, &key);

  if (counts != NULL || g_hash_table_size (rollout->peers) >= MAX_PEER_COUNTS)
    return counts;
  counts = g_memdup2 (&key, sizeof key);
  g_hash_table_add (rollout->peers, counts);
  return counts;
}

static void
receive_counts (rol_rollout_t *rollout, uint64_t incarnation,
                const rol_evidence_t *evidence)
{
  rol_route_t *route = get_or_add_route (rollout, evidence->route);
  peer_counts_t *old;

  if (route == NULL || evidence->bad > evidence->answers)
    return;
  old = get_or_add_peer_counts (rollout, incarnation, evidence);
  if (old == NULL || evidence->answers < old->answers
      || evidence->bad < old->bad)
    return;
  route->total[evidence->subject].answers
      += (double)(evidence->answers - old->answers);
  route->total[evidence->subject].bad += (double)(evidence->bad - old->bad);
  old->answers = evidence->answers;
  old->bad = evidence->bad;
}

static void
receive_progress (rol_rollout_t *rollout, cfd_time_t now, uint64_t incarnation,
                  bool is_drained)
{
  rol_progress_t *progress
      = g_hash_table_lookup (rollout->progress, &incarnation);

  if (progress == NULL)
    {
      if (g_hash_table_size (rollout->progress) >= MAX_PROGRESS)
        return;
      progress = g_new0 (rol_progress_t, 1);
      progress->incarnation = incarnation;
      g_hash_table_insert (rollout->progress, &progress->incarnation,
                           progress);
    }
  progress->is_drained = is_drained;
  progress->received_at = now;
}

/* Another router may have seen the order before this one.  */
static void
receive_age (rol_rollout_t *rollout, cfd_time_t now, uint64_t age_ms)
{
  int64_t age = (int64_t)MIN (age_ms, (uint64_t)now);

  rollout->ordered_at = MIN (rollout->ordered_at, now - age);
}

void
rol_receive (rol_t *rol, cfd_time_t now, uint64_t incarnation,
             const rol_evidence_t *evidence)
{
  rol_rollout_t *rollout = find_by_key (rol, evidence->rollout);

  /* The list of orders that is known here may be older.  */
  if (rollout == NULL || !rol_is_open (rollout))
    return;
  switch (evidence->subject)
    {
    case ROL_BASELINE:
    case ROL_TARGET:
      receive_counts (rollout, incarnation, evidence);
      return;
    case ROL_VERDICT:
      if (evidence->bad > 0)
        rol_condemn (rol, rollout, "peer");
      return;
    case ROL_PROGRESS:
      receive_progress (rollout, now, incarnation, evidence->answers > 0);
      return;
    case ROL_AGE:
      receive_age (rollout, now, evidence->answers);
      return;
    }
}

void
rol_forget_process (rol_t *rol, uint64_t incarnation)
{
  GHashTableIter each;
  void *rollout;

  g_hash_table_iter_init (&each, rol->rollouts);
  while (g_hash_table_iter_next (&each, NULL, &rollout))
    g_hash_table_remove (((rol_rollout_t *)rollout)->progress, &incarnation);
}

/* ---- metrics ---- */

static void
append_version (const rol_rollout_t *rollout, rol_subject_t subject,
                GString *out)
{
  const char *version = subject == ROL_TARGET ? "target" : "baseline";
  g_autofree char *service = g_strescape (rollout->order->service, NULL);
  g_autofree char *labels
      = g_strdup_printf ("service=\"%s\",version=\"%s\"", service, version);
  uint64_t sent = subject == ROL_TARGET ? rollout->canary_sent
                                        : rollout->sent - rollout->canary_sent;
  vdt_counts_t own = { 0 };
  GHashTableIter each;
  void *route;

  g_hash_table_iter_init (&each, rollout->routes);
  while (g_hash_table_iter_next (&each, NULL, &route))
    add_counts (&own, &((rol_route_t *)route)->own[subject]);
  prom_append_sample (out, "cfd_relay_rollout_sends", "gauge", labels,
                      (double)sent);
  prom_append_sample (out, "cfd_relay_rollout_answers", "gauge", labels,
                      own.answers);
  prom_append_sample (out, "cfd_relay_rollout_bad_answers", "gauge", labels,
                      own.bad);
}

void
rol_append_metrics (const rol_t *rol, GString *out)
{
  GHashTableIter each;
  void *data;

  g_hash_table_iter_init (&each, rol->rollouts);
  while (g_hash_table_iter_next (&each, NULL, &data))
    {
      const rol_rollout_t *rollout = data;
      g_autofree char *service = g_strescape (rollout->order->service, NULL);
      g_autofree char *labels = g_strdup_printf ("service=\"%s\"", service);

      prom_append_sample (out, "cfd_relay_rollout_state", "gauge", labels,
                          rollout->order->state);
      prom_append_sample (out, "cfd_relay_rollout_wait", "gauge", labels,
                          rollout->wait);
      append_version (rollout, ROL_BASELINE, out);
      append_version (rollout, ROL_TARGET, out);
    }
}
