/* At most once, against the platform's stand-in with its faults.  */

#include "base/log.h"
#include "once/once.h"
#include "sp-test.h"

#include <string.h>

typedef struct
{
  unsigned done;
  once_claim_status_t claim_status;
  unsigned status;
  char *type;
  char *body;
} result_t;

typedef struct
{
  sp_test_t test;
  once_t *router; /* the one under test */
  once_t *other;  /* another router of the fleet */
  result_t result;
  result_t other_result;
} fixture_t;

static void
set_up (fixture_t *f, gconstpointer data)
{
  sp_test_setup (&f->test);
  f->router = once_new (f->test.plat, "router-1");
  f->other = once_new (f->test.plat, "router-2");
}

static void
clear (result_t *result)
{
  g_clear_pointer (&result->type, g_free);
  g_clear_pointer (&result->body, g_free);
  result->done = 0;
}

static void
tear_down (fixture_t *f, gconstpointer data)
{
  clear (&f->result);
  clear (&f->other_result);
  once_free (f->router);
  once_free (f->other);
  sp_test_teardown (&f->test);
}

static void
on_claim (void *user, const once_claim_result_t *answer)
{
  result_t *result = user;

  result->done++;
  result->claim_status = answer->claim_status;
  result->status = answer->status;
  result->type = g_strdup (answer->type);
  result->body = g_strdup (answer->body);
}

static bool
is_done (void *user)
{
  return ((result_t *)user)->done > 0;
}

static once_claim_status_t
claim_key (fixture_t *f, once_t *once, const char *key, const char *digest)
{
  clear (&f->result);
  once_claim (once, "mill", key, digest, on_claim, &f->result);
  g_assert_cmpuint (f->result.done, ==, 0);
  sp_test_run_until (&f->test, is_done, &f->result);
  return f->result.claim_status;
}

static once_claim_status_t
claim (fixture_t *f, once_t *once, const char *digest)
{
  return claim_key (f, once, "key", digest);
}

static bool
is_settled (void *user)
{
  fixture_t *f = user;

  return once_count_pending_writes (f->router) == 0
         && once_count_pending_writes (f->other) == 0;
}

static void
settle (fixture_t *f)
{
  sp_test_run_until (&f->test, is_settled, f);
}

static void
finish (fixture_t *f, const char *body)
{
  once_finish (f->router, "mill", "key", 201, "text/plain", body);
  settle (f);
}

static void
test_finished (fixture_t *f, gconstpointer data)
{
  /* A filing is posted; the caller loses the answer and asks again through
     another router: it gets the first answer, and the filing is not run.  */
  g_assert_cmpint (claim (f, f->router, "d"), ==, ONCE_CLAIMED);
  g_assert_cmpint (claim (f, f->other, "d"), ==, ONCE_RUNNING);
  g_assert_cmpint (claim (f, f->other, "e"), ==, ONCE_KEY_REUSED);
  finish (f, "case 7");
  g_assert_cmpint (claim (f, f->other, "d"), ==, ONCE_FINISHED);
  g_assert_cmpuint (f->result.status, ==, 201);
  g_assert_cmpstr (f->result.type, ==, "text/plain");
  g_assert_cmpstr (f->result.body, ==, "case 7");
  g_assert_cmpint (claim (f, f->other, "e"), ==, ONCE_KEY_REUSED);
}

static void
test_released (fixture_t *f, gconstpointer data)
{
  g_assert_cmpint (claim (f, f->router, "d"), ==, ONCE_CLAIMED);
  once_release (f->router, "mill", "key");
  settle (f);
  g_assert_cmpint (claim (f, f->other, "e"), ==, ONCE_CLAIMED);
  /* Not its own any more: a late word changes nothing.  */
  once_release (f->router, "mill", "key");
  once_finish (f->router, "mill", "key", 200, "", "late");
  settle (f);
  g_assert_cmpint (claim (f, f->router, "e"), ==, ONCE_RUNNING);
}

static void
test_not_kept (fixture_t *f, gconstpointer data)
{
  /* A part of an answer must never be given for the whole.  */
  g_autofree char *large = g_strnfill (ONCE_MAX_ANSWER_BYTES + 1, 'x');
  const char *bodies[] = { large, "\xff\xfe" };
  const char *keys[] = { "1", "2" };

  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      g_assert_cmpint (claim_key (f, f->router, keys[i], "d"), ==,
                       ONCE_CLAIMED);
      once_finish (f->router, "mill", keys[i], 200, "", bodies[i]);
      settle (f);
      g_assert_cmpint (claim_key (f, f->other, keys[i], "d"), ==,
                       ONCE_FINISHED);
      g_assert_null (f->result.body);
    }
}

static void
test_race (fixture_t *f, gconstpointer data)
{
  /* The caller's two tries arrive at two routers at the same time: exactly
     one may run.  */
  unsigned mine;

  once_claim (f->router, "mill", "key", "d", on_claim, &f->result);
  once_claim (f->other, "mill", "key", "d", on_claim, &f->other_result);
  sp_test_run_until (&f->test, is_done, &f->result);
  sp_test_run_until (&f->test, is_done, &f->other_result);
  mine = (f->result.claim_status == ONCE_CLAIMED)
         + (f->other_result.claim_status == ONCE_CLAIMED);
  g_assert_cmpuint (mine, ==, 1);
  g_assert_true (f->result.claim_status == ONCE_RUNNING
                 || f->other_result.claim_status == ONCE_RUNNING);
}

/* The claim_status of a claim under a fault, and of another router's claim
   after the fault is over and all is marked_unknown.  */
static const struct
{
  const char *name;
  sp_mode_t mode;
  bool held; /* the other router holds the claim */
  once_claim_status_t claim_status;
  once_claim_status_t after;
} faults[] = {
  /* The write took effect and its answer was lost: the read tells whose.  */
  { "lost answer", SP_DROP_RESPONSE, false, ONCE_CLAIMED, ONCE_RUNNING },
  { "lost answer, held", SP_DROP_RESPONSE, true, ONCE_RUNNING, ONCE_RUNNING },
  { "down", SP_DOWN, false, ONCE_PLATFORM_DOWN, ONCE_CLAIMED },
  { "down, held", SP_DOWN, true, ONCE_PLATFORM_DOWN, ONCE_RUNNING },
  { "slow", SP_SLOW, false, ONCE_CLAIMED, ONCE_RUNNING },
  { "slow, held", SP_SLOW, true, ONCE_RUNNING, ONCE_RUNNING },
  { "stale", SP_STALE_READS, false, ONCE_CLAIMED, ONCE_RUNNING },
  /* The read does not show the claim that the write met.  */
  { "stale, held", SP_STALE_READS, true, ONCE_RUNNING, ONCE_RUNNING },
};

static void
run_fault (gconstpointer data)
{
  guint i = GPOINTER_TO_UINT (data);
  fixture_t f = { 0 };

  set_up (&f, NULL);
  /* The stale state is that from before the other router's claim.  */
  if (faults[i].mode == SP_STALE_READS)
    sp_set_fault (f.test.sp, SP_STALE_READS, 0, 0);
  if (faults[i].held)
    g_assert_cmpint (claim (&f, f.other, "d"), ==, ONCE_CLAIMED);
  if (faults[i].mode != SP_STALE_READS)
    sp_set_fault (f.test.sp, faults[i].mode, 20, 0);
  g_assert_cmpint (claim (&f, f.router, "d"), ==, faults[i].claim_status);
  sp_set_fault (f.test.sp, SP_UP, 0, 0);
  settle (&f);
  g_assert_cmpint (claim (&f, f.other, "d"), ==, faults[i].after);
  tear_down (&f, NULL);
}

static bool
has_put (void *user)
{
  return sp_count_calls (((fixture_t *)user)->test.sp, "put") >= 1;
}

static void
test_doubt_is_taken_back (fixture_t *f, gconstpointer data)
{
  /* The claim is written, its answer is lost, and the platform goes down
     before it can be read back.  The caller is refused "not run"; so when the
     platform is back the claim must go, or the caller could never succeed.  */
  once_claim (f->router, "mill", "key", "d", on_claim, &f->result);
  sp_set_fault (f->test.sp, SP_DROP_RESPONSE, 0, 0);
  sp_test_run_until (&f->test, has_put, f);
  sp_set_fault (f->test.sp, SP_DOWN, 0, 0);
  sp_test_run_until (&f->test, is_done, &f->result);
  g_assert_cmpint (f->result.claim_status, ==, ONCE_PLATFORM_DOWN);
  g_assert_cmpuint (once_count_pending_writes (f->router), ==, 1);
  sp_set_fault (f->test.sp, SP_UP, 0, 0);
  settle (f);
  g_assert_cmpint (claim (f, f->other, "d"), ==, ONCE_CLAIMED);
}

static void
test_finish_under_faults (fixture_t *f, gconstpointer data)
{
  /* The filing ran; the platform is down, then loses answers, while the answer
     is written.  It must be kept in the end, and as it was.  */
  g_assert_cmpint (claim (f, f->router, "d"), ==, ONCE_CLAIMED);
  sp_set_fault (f->test.sp, SP_DOWN, 0, 0);
  once_finish (f->router, "mill", "key", 201, "text/plain", "case 7");
  ev_run (f->test.loop, EVRUN_ONCE);
  g_assert_cmpuint (once_count_pending_writes (f->router), ==, 1);
  sp_set_fault (f->test.sp, SP_DROP_RESPONSE, 0, 0);
  settle (f);
  sp_set_fault (f->test.sp, SP_UP, 0, 0);
  g_assert_cmpint (claim (f, f->other, "d"), ==, ONCE_FINISHED);
  g_assert_cmpstr (f->result.body, ==, "case 7");
}

static void
test_refused_connection (fixture_t *f, gconstpointer data)
{
  sp_test_stop_platform (&f->test);
  g_assert_cmpint (claim (f, f->router, "d"), ==, ONCE_PLATFORM_DOWN);
  g_assert_cmpuint (once_count_pending_writes (f->router), ==, 0);
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
  add ("/once/finished", test_finished);
  add ("/once/released", test_released);
  add ("/once/not-kept", test_not_kept);
  add ("/once/race", test_race);
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/once/fault/%s", faults[i].name);

      g_test_add_data_func (path, GUINT_TO_POINTER (i), run_fault);
    }
  add ("/once/doubt-is-taken-back", test_doubt_is_taken_back);
  add ("/once/finish-under-faults", test_finish_under_faults);
  add ("/once/refused-connection", test_refused_connection);
  return g_test_run ();
}
