/* Tests of the removal of expired claims, against the platform's stand-in.  */

#include "base/log.h"
#include "once/age-sync.h"
#include "once/write-ages.h"
#include "once/once.h"
#include "once/sweep.h"
#include "sp-test.h"

#include <string.h>

#define SWEEPERS 2
#define RETENTION_S 1
#define FAST_CALLS_PER_S 1000
#define CLAIMS 30
/* Claims made, and the number of keys, in the last test.  */
#define RANDOM_CLAIMS 400
#define KEYS 6

typedef struct
{
  sp_test_t test;
  once_t *router;
  sweep_t *sweeps[SWEEPERS];
  bool is_age_writer[SWEEPERS];
  unsigned result_count;
  once_claim_status_t claim_status;
} fixture_t;

static unsigned
two_routers (void *user)
{
  return SWEEPERS;
}

static bool
is_age_writer (void *user)
{
  return *(bool *)user;
}

static bool
holds_none (void *user, const char *claim)
{
  return false;
}

static void
start_sweep (fixture_t *f, int i, unsigned calls)
{
  const sweep_options_t options = { .retention_s = RETENTION_S,
                                    .max_calls_per_s = calls,
                                    .count_routers = two_routers,
                                    .is_age_writer = is_age_writer,
                                    .is_claim_running = holds_none,
                                    .user = &f->is_age_writer[i] };

  f->sweeps[i] = sweep_new (f->test.plat, &options);
}

static void
set_up (fixture_t *f, gconstpointer data)
{
  sp_test_setup (&f->test);
  f->router = once_new (f->test.plat, "router-1");
  once_set_retention_s (f->router, RETENTION_S);
  f->is_age_writer[0] = true;
}

static void
tear_down (fixture_t *f, gconstpointer data)
{
  for (int i = 0; i < SWEEPERS; i++)
    sweep_free (f->sweeps[i]);
  once_free (f->router);
  sp_test_teardown (&f->test);
}

static void
on_claim (void *user, const once_claim_result_t *answer)
{
  fixture_t *f = user;

  f->result_count++;
  f->claim_status = answer->claim_status;
}

static bool
has_result (void *user)
{
  fixture_t *f = user;

  return f->result_count > 0 && once_count_pending_writes (f->router) == 0;
}

static once_claim_status_t
claim (fixture_t *f, const char *key)
{
  f->result_count = 0;
  once_claim (f->router, "mill", key, "d", on_claim, f);
  sp_test_run_until (&f->test, has_result, f);
  return f->claim_status;
}

static void
expect_claim (fixture_t *f, const char *key, once_claim_status_t claim_status)
{
  once_claim_status_t got = claim (f, key);

  g_assert_cmpint (got, ==, claim_status);
}

static void
finish (fixture_t *f, const char *key)
{
  once_finish (f->router, "mill", key, 201, "text/plain", "case 7");
  sp_test_run_until (&f->test, has_result, f);
}

static const sp_object_t *
get_stored (fixture_t *f, const char *key)
{
  g_autofree char *name = once_make_claim_name ("mill", key);

  return sp_model_get_latest (sp_get_model (f->test.sp), "claim", name);
}

static void
fill (fixture_t *f, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      g_autofree char *key = g_strdup_printf ("key-%u", i);

      expect_claim (f, key, ONCE_CLAIMED);
      finish (f, key);
    }
}

static bool
are_all_removed (void *user)
{
  fixture_t *f = user;

  for (unsigned i = 0; i < CLAIMS; i++)
    {
      g_autofree char *key = g_strdup_printf ("key-%u", i);

      if (get_stored (f, key) != NULL)
        return false;
    }
  return true;
}

static uint64_t
count_removed (const fixture_t *f)
{
  return sweep_get_counters (f->sweeps[0]).removed
         + sweep_get_counters (f->sweeps[1]).removed;
}

static void
test_write_ages (void)
{
  /* An age never exceeds the time that has passed, and a write after the
     newest bound has age 0.  The number of bounds stays small, and they
     survive a round trip through the platform.  */
  g_autoptr (write_ages_t) ages = write_ages_new ();
  g_autoptr (write_ages_t) read = NULL;
  JsonObject *spec;

  g_assert_cmpint (write_ages_get_age_ms (ages, 1), ==, 0);
  for (uint64_t i = 1; i <= 5000; i++)
    write_ages_advance (ages, i * 10, 1000);
  for (uint64_t i = 1; i <= 5000; i++)
    {
      int64_t most = (int64_t)(5001 - i) * 1000;

      g_assert_cmpint (write_ages_get_age_ms (ages, i * 10), <=, most);
      g_assert_cmpint (write_ages_get_age_ms (ages, i * 10), >=,
                       most * 7 / 8 - 1000);
    }
  g_assert_cmpint (write_ages_get_age_ms (ages, 50001), ==, 0);
  g_assert_cmpuint (write_ages_count (ages), <, 150);
  spec = write_ages_to_spec (ages);
  read = write_ages_parse (spec);
  g_assert_cmpint (write_ages_get_age_ms (read, 777), ==,
                   write_ages_get_age_ms (ages, 777));
  json_object_set_int_member (spec, "schema", 2);
  g_assert_null (write_ages_parse (spec));
  json_object_unref (spec);
  /* The platform was restored from a backup: what it writes is new.  */
  write_ages_advance (ages, 100, 1000);
  g_assert_cmpint (write_ages_get_age_ms (ages, 101), ==, 0);
  g_assert_cmpint (write_ages_get_age_ms (ages, 100), ==, 1000);
}

static void
test_race (fixture_t *f, gconstpointer data)
{
  /* Two routers sweep at once, and both act as the writer of the ages.  Each
     claim is removed once, none before its retention time, and all in the
     end.  */
  cfd_time_t start_time = clock_now ();

  f->is_age_writer[1] = true;
  start_sweep (f, 0, FAST_CALLS_PER_S);
  start_sweep (f, 1, FAST_CALLS_PER_S);
  fill (f, CLAIMS);
  sp_test_run_until (&f->test, are_all_removed, f);
  g_assert_cmpint (clock_now () - start_time, >=, RETENTION_S * 1000);
  g_assert_cmpuint (count_removed (f), <=, CLAIMS);
  expect_claim (f, "key-0", ONCE_CLAIMED);
}

static bool
has_reserved_page (void *user)
{
  /* Two routers sweep at once, and both act as the writer of the ages.  Each
     claim is removed once, none before its retention time, and all in the
     end.  */
  fixture_t *f = user;

  return sp_count_calls (f->test.sp, "list") == 1
         && sp_model_get_latest (sp_get_model (f->test.sp), CLAIM_SWEEP_KIND,
                                 "cursor");
}

static bool
has_tried_removal (void *user)
{
  sweep_counters_t counters
      = sweep_get_counters (((fixture_t *)user)->sweeps[0]);

  return counters.skipped_changed + counters.removed > 0;
}

static void
test_stopped_router (fixture_t *f, gconstpointer data)
{
  /* A router lists expired claims and is stopped.  Meanwhile the claim is
     removed by another router, its caller repeats the request, and it runs
     again.  When the first router resumes, it must not remove the new claim,
     or a third request could run beside the second.  */
  g_autofree char *name = once_make_claim_name ("mill", "key-0");
  start_sweep (f, 0, SWEEPERS);
  fill (f, 1);
  sp_test_run_until (&f->test, has_reserved_page, f);
  sp_test_write_object (&f->test, "claim", name, NULL);
  expect_claim (f, "key-0", ONCE_CLAIMED);
  sp_test_run_until (&f->test, has_tried_removal, f);
  g_assert_nonnull (get_stored (f, "key-0"));
  expect_claim (f, "key-0", ONCE_RUNNING);
}

static bool
has_failed (void *user)
{
  return sweep_get_counters (((fixture_t *)user)->sweeps[0]).failed >= 2;
}

static void
test_faults (fixture_t *f, gconstpointer data)
{
  /* The platform loses the replies of writes, returns an old state, is down
     and comes back.  Claims are removed in the end and not before their time:
     the ages never count a span twice when it is unknown whose write took
     effect.  */
  static const sp_mode_t modes[] = { SP_DROP_RESPONSE, SP_DOWN };
  cfd_time_t start_time = clock_now ();

  fill (f, CLAIMS);
  start_sweep (f, 0, FAST_CALLS_PER_S);
  start_sweep (f, 1, FAST_CALLS_PER_S);
  for (guint i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      uint64_t calls = sp_count_calls (f->test.sp, "total");

      sp_set_fault (f->test.sp, modes[i], 0, 0);
      while (sp_count_calls (f->test.sp, "total") < calls + 20
             && (modes[i] != SP_DOWN || !has_failed (f)))
        ev_run (f->test.loop, EVRUN_ONCE);
    }
  sp_set_fault (f->test.sp, SP_STALE_READS, 200, 200);
  for (uint64_t calls = sp_count_calls (f->test.sp, "total") + 20;
       sp_count_calls (f->test.sp, "total") < calls;)
    ev_run (f->test.loop, EVRUN_ONCE);
  sp_set_fault (f->test.sp, SP_UP, 0, 0);
  sp_test_run_until (&f->test, are_all_removed, f);
  g_assert_cmpint (clock_now () - start_time, >=, RETENTION_S * 1000);
}

static bool
is_unknown (void *user)
{
  const sp_object_t *object = get_stored (user, "key-0");

  return object != NULL && strstr (object->text, "\"unknown\"") != NULL;
}

static bool
is_removed (void *user)
{
  return get_stored (user, "key-0") == NULL;
}

static void
test_dead_router (fixture_t *f, gconstpointer data)
{
  /* A router dies during a call.  Its claim stays "running" until its
     retention time has passed, then becomes "unknown", which callers are told,
     and is removed at last.  */
  expect_claim (f, "key-0", ONCE_CLAIMED);
  start_sweep (f, 0, FAST_CALLS_PER_S);
  sp_test_run_until (&f->test, is_unknown, f);
  expect_claim (f, "key-0", ONCE_OUTCOME_UNKNOWN);
  sp_test_run_until (&f->test, is_removed, f);
  g_assert_cmpuint (sweep_get_counters (f->sweeps[0]).marked_unknown, ==, 1);
}

static void
test_slow_router (fixture_t *f, gconstpointer data)
{
  /* The router was only disconnected: the call ends after all, and its answer
     replaces "unknown".  */
  expect_claim (f, "key-0", ONCE_CLAIMED);
  start_sweep (f, 0, FAST_CALLS_PER_S);
  sp_test_run_until (&f->test, is_unknown, f);
  finish (f, "key-0");
  expect_claim (f, "key-0", ONCE_FINISHED);
}

static void
test_age_writer_replaced (fixture_t *f, gconstpointer data)
{
  /* The writer of the ages is replaced repeatedly, each time before a claim's
     retention time has passed.  The next writer continues from the stored
     ages.  */
  fill (f, CLAIMS);
  start_sweep (f, 0, FAST_CALLS_PER_S);
  for (int lives = 0; !are_all_removed (f); lives++)
    {
      cfd_time_t until = clock_now () + RETENTION_S * 600;

      g_assert_cmpint (lives, <, 30);
      while (clock_now () < until && !are_all_removed (f))
        ev_run (f->test.loop, EVRUN_ONCE);
      sweep_free (f->sweeps[0]);
      start_sweep (f, 0, FAST_CALLS_PER_S);
    }
}

static void
test_repeated_claims (fixture_t *f, gconstpointer data)
{
  /* Callers repeat their requests while the claims are removed: none runs a
     second time within its retention time.  */
  cfd_time_t finished[KEYS] = { 0 };
  unsigned runs = 0;

  f->is_age_writer[1] = true;
  start_sweep (f, 0, FAST_CALLS_PER_S);
  start_sweep (f, 1, FAST_CALLS_PER_S);
  for (unsigned i = 0; i < RANDOM_CLAIMS || runs < 2 * KEYS; i++)
    {
      unsigned n = i % KEYS;
      g_autofree char *key = g_strdup_printf ("key-%u", n);

      if (i % 40 == 0)
        sp_set_fault (f->test.sp, i % 80 == 0 ? SP_UP : SP_SLOW, 5, 0);
      if (claim (f, key) != ONCE_CLAIMED)
        continue;
      g_assert_true (finished[n] == 0
                     || clock_now () - finished[n] >= RETENTION_S * 1000);
      runs++;
      finished[n] = clock_now ();
      finish (f, key);
    }
}

static void
add (const char *path, void (*test) (fixture_t *, gconstpointer))
{
  g_test_add (path, fixture_t, NULL, set_up, test, tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  log_setup ("test", LOG_ERROR, false);
  g_test_add_func ("/sweep/write-ages", test_write_ages);
  add ("/sweep/race", test_race);
  add ("/sweep/stopped-router", test_stopped_router);
  add ("/sweep/faults", test_faults);
  add ("/sweep/dead-router", test_dead_router);
  add ("/sweep/slow-router", test_slow_router);
  add ("/sweep/age-writer-replaced", test_age_writer_replaced);
  add ("/sweep/repeated-claims", test_repeated_claims);
  return g_test_run ();
}
