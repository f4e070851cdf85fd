/* Removal of claims whose time is over, against the platform's stand-in.  */

#include "base/log.h"
#include "once/keeper.h"
#include "once/marks.h"
#include "once/once.h"
#include "once/sweep.h"
#include "sp-test.h"

#include <string.h>

#define SWEEPERS 2
#define KEPT_S 1
#define FAST 1000 /* calls a second */
#define CLAIMS 30
/* Callers who ask again at random in the last test.  */
#define ROUNDS 400
#define KEYS 6

typedef struct
{
  sp_test_t test;
  once_t *router;
  sweep_t *sweeps[SWEEPERS];
  bool is_age_writer[SWEEPERS];
  unsigned answered;
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
begin_sweep (fixture_t *f, int i, unsigned calls)
{
  const sweep_options_t setup = { .retention_s = KEPT_S,
                                  .calls = calls,
                                  .routers = two_routers,
                                  .is_age_writer = is_age_writer,
                                  .is_claim_running = holds_none,
                                  .user = &f->is_age_writer[i] };

  f->sweeps[i] = sweep_new (f->test.plat, &setup);
}

static void
set_up (fixture_t *f, gconstpointer data)
{
  sp_test_setup (&f->test);
  f->router = once_new (f->test.plat, "router-1");
  once_set_retention_s (f->router, KEPT_S);
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

  f->answered++;
  f->claim_status = answer->claim_status;
}

static bool
is_settled (void *user)
{
  fixture_t *f = user;

  return f->answered > 0 && once_count_pending_writes (f->router) == 0;
}

static once_claim_status_t
claim (fixture_t *f, const char *key)
{
  f->answered = 0;
  once_claim (f->router, "mill", key, "d", on_claim, f);
  sp_test_run_until (&f->test, is_settled, f);
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
  sp_test_run_until (&f->test, is_settled, f);
}

static const sp_object_t *
stored (fixture_t *f, const char *key)
{
  g_autofree char *name = once_claim_name ("mill", key);

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
is_empty (void *user)
{
  fixture_t *f = user;

  for (unsigned i = 0; i < CLAIMS; i++)
    {
      g_autofree char *key = g_strdup_printf ("key-%u", i);

      if (stored (f, key) != NULL)
        return false;
    }
  return true;
}

static uint64_t
removed (const fixture_t *f)
{
  return sweep_get_counters (f->sweeps[0]).removed
         + sweep_get_counters (f->sweeps[1]).removed;
}

static void
test_marks (void)
{
  /* Ages never exceed the time that went by; a write after the newest mark has
     none.  They stay few, and come back as they were from the platform.  */
  g_autoptr (marks_t) marks = marks_new ();
  g_autoptr (marks_t) read = NULL;
  JsonObject *spec;

  g_assert_cmpint (marks_age (marks, 1), ==, 0);
  for (uint64_t i = 1; i <= 5000; i++)
    marks_grow (marks, i * 10, 1000);
  for (uint64_t i = 1; i <= 5000; i++)
    {
      int64_t most = (int64_t)(5001 - i) * 1000;

      g_assert_cmpint (marks_age (marks, i * 10), <=, most);
      g_assert_cmpint (marks_age (marks, i * 10), >=, most * 7 / 8 - 1000);
    }
  g_assert_cmpint (marks_age (marks, 50001), ==, 0);
  g_assert_cmpuint (marks_count (marks), <, 150);
  spec = marks_spec (marks);
  read = marks_parse (spec);
  g_assert_cmpint (marks_age (read, 777), ==, marks_age (marks, 777));
  json_object_set_int_member (spec, "schema", 2);
  g_assert_null (marks_parse (spec));
  json_object_unref (spec);
  /* The platform was restored from an old copy: what it writes is new.  */
  marks_grow (marks, 100, 1000);
  g_assert_cmpint (marks_age (marks, 101), ==, 0);
  g_assert_cmpint (marks_age (marks, 100), ==, 1000);
}

static void
test_race (fixture_t *f, gconstpointer data)
{
  /* Two routers sweep at once, each sure that the ages are its to keep.  Each
     claim goes once, none before its time, and all go.  */
  cfd_time_t begun = clock_now ();

  f->is_age_writer[1] = true;
  begin_sweep (f, 0, FAST);
  begin_sweep (f, 1, FAST);
  fill (f, CLAIMS);
  sp_test_run_until (&f->test, is_empty, f);
  g_assert_cmpint (clock_now () - begun, >=, KEPT_S * 1000);
  g_assert_cmpuint (removed (f), <=, CLAIMS);
  expect_claim (f, "key-0", ONCE_CLAIMED);
}

static bool
has_due (void *user)
{
  /* One call a second: a page was taken, no claim of it deleted yet.  */
  fixture_t *f = user;

  return sp_count_calls (f->test.sp, "list") == 1
         && sp_model_get_latest (sp_get_model (f->test.sp), KEEPER_KIND,
                                 "cursor");
}

static bool
has_deleted (void *user)
{
  sweep_counters_t counters
      = sweep_get_counters (((fixture_t *)user)->sweeps[0]);

  return counters.skipped_changed + counters.removed > 0;
}

static void
test_frozen (fixture_t *f, gconstpointer data)
{
  /* A router lists old claims and is stopped.  Meanwhile the claim is removed
     by another, its caller asks again, and the call runs anew.  The router
     wakes and goes on with its list: the new claim must stay, or a third try
     would run beside it.  */
  g_autofree char *name = once_claim_name ("mill", "key-0");
  begin_sweep (f, 0, SWEEPERS);
  fill (f, 1);
  sp_test_run_until (&f->test, has_due, f);
  sp_test_write_object (&f->test, "claim", name, NULL);
  expect_claim (f, "key-0", ONCE_CLAIMED);
  sp_test_run_until (&f->test, has_deleted, f);
  g_assert_nonnull (stored (f, "key-0"));
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
  /* The platform loses the answers of writes, shows an old state, is down and
     comes back.  Claims go in the end, and not before their time: the ages
     never count a span twice when it is not known whose write took effect.  */
  static const sp_mode_t modes[] = { SP_DROP_RESPONSE, SP_DOWN };
  cfd_time_t begun = clock_now ();

  fill (f, CLAIMS);
  begin_sweep (f, 0, FAST);
  begin_sweep (f, 1, FAST);
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
  sp_test_run_until (&f->test, is_empty, f);
  g_assert_cmpint (clock_now () - begun, >=, KEPT_S * 1000);
}

static bool
is_unknown (void *user)
{
  const sp_object_t *object = stored (user, "key-0");

  return object != NULL && strstr (object->text, "\"unknown\"") != NULL;
}

static bool
is_removed (void *user)
{
  return stored (user, "key-0") == NULL;
}

static void
test_dead_router (fixture_t *f, gconstpointer data)
{
  /* A router dies in mid-call.  Its claim says "running" until its time is
     over, then "unknown", which the caller is told, and goes at last.  */
  expect_claim (f, "key-0", ONCE_CLAIMED);
  begin_sweep (f, 0, FAST);
  sp_test_run_until (&f->test, is_unknown, f);
  expect_claim (f, "key-0", ONCE_OUTCOME_UNKNOWN);
  sp_test_run_until (&f->test, is_removed, f);
  g_assert_cmpuint (sweep_get_counters (f->sweeps[0]).marked_unknown, ==, 1);
}

static void
test_slow_router (fixture_t *f, gconstpointer data)
{
  /* The router was only cut off: the call ends after all, and what it wrote
     goes before "unknown".  */
  expect_claim (f, "key-0", ONCE_CLAIMED);
  begin_sweep (f, 0, FAST);
  sp_test_run_until (&f->test, is_unknown, f);
  finish (f, "key-0");
  expect_claim (f, "key-0", ONCE_FINISHED);
}

static void
test_keeper_dies (fixture_t *f, gconstpointer data)
{
  /* The router that keeps the ages is replaced again and again, each time
     before a claim's time is over.  What it counted goes on with the next.  */
  fill (f, CLAIMS);
  begin_sweep (f, 0, FAST);
  for (int lives = 0; !is_empty (f); lives++)
    {
      cfd_time_t until = clock_now () + KEPT_S * 600;

      g_assert_cmpint (lives, <, 30);
      while (clock_now () < until && !is_empty (f))
        ev_run (f->test.loop, EVRUN_ONCE);
      sweep_free (f->sweeps[0]);
      begin_sweep (f, 0, FAST);
    }
}

static void
test_asked_again (fixture_t *f, gconstpointer data)
{
  /* Callers ask again and again while their claims are removed under them:
     none runs a second time within the time that its claim is kept.  */
  cfd_time_t finished[KEYS] = { 0 };
  unsigned runs = 0;

  f->is_age_writer[1] = true;
  begin_sweep (f, 0, FAST);
  begin_sweep (f, 1, FAST);
  for (unsigned i = 0; i < ROUNDS || runs < 2 * KEYS; i++)
    {
      unsigned n = i % KEYS;
      g_autofree char *key = g_strdup_printf ("key-%u", n);

      if (i % 40 == 0)
        sp_set_fault (f->test.sp, i % 80 == 0 ? SP_UP : SP_SLOW, 5, 0);
      if (claim (f, key) != ONCE_CLAIMED)
        continue;
      g_assert_true (finished[n] == 0
                     || clock_now () - finished[n] >= KEPT_S * 1000);
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
  g_test_add_func ("/sweep/marks", test_marks);
  add ("/sweep/race", test_race);
  add ("/sweep/frozen", test_frozen);
  add ("/sweep/faults", test_faults);
  add ("/sweep/dead-router", test_dead_router);
  add ("/sweep/slow-router", test_slow_router);
  add ("/sweep/keeper-dies", test_keeper_dies);
  add ("/sweep/asked-again", test_asked_again);
  return g_test_run ();
}
