/* Tests of at-most-once execution, against the platform's stand-in and its
   faults.  */

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
clear_result (result_t *result)
{
  g_clear_pointer (&result->type, g_free);
  g_clear_pointer (&result->body, g_free);
  result->done = 0;
}

static void
tear_down (fixture_t *f, gconstpointer data)
{
  clear_result (&f->result);
  clear_result (&f->other_result);
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
has_result (void *user)
{
  return ((result_t *)user)->done > 0;
}

static once_claim_status_t
claim_key (fixture_t *f, once_t *once, const char *key, const char *digest)
{
  clear_result (&f->result);
  once_claim (once, "mill", key, digest, on_claim, &f->result);
  g_assert_cmpuint (f->result.done, ==, 0);
  sp_test_run_until (&f->test, has_result, &f->result);
  return f->result.claim_status;
}

static once_claim_status_t
claim (fixture_t *f, once_t *once, const char *digest)
{
  return claim_key (f, once, "key", digest);
}

static bool
has_no_pending_writes (void *user)
{
  fixture_t *f = user;

  return once_count_pending_writes (f->router) == 0
         && once_count_pending_writes (f->other) == 0;
}

static void
wait_for_writes (fixture_t *f)
{
  sp_test_run_until (&f->test, has_no_pending_writes, f);
}

static void
finish (fixture_t *f, const char *body)
{
  once_finish (f->router, "mill", "key", 201, "text/plain", body);
  wait_for_writes (f);
}

/* Guards against a stored answer whose status is none, as a router of another
   version may have kept it: its caller would get it with each repetition.  */
static void
test_finished_without_status (fixture_t *f, gconstpointer data)
{
  static const unsigned statuses[] = { 0, 99, 102, 600, 0x80000000u | 200 };

  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      g_autofree char *key = g_strdup_printf ("key-%zu", i);

      claim_key (f, f->router, key, "d");
      once_finish (f->router, "mill", key, statuses[i], "text/plain",
                   "broken");
      wait_for_writes (f);
      g_assert_cmpint (claim_key (f, f->other, key, "d"), ==, ONCE_FINISHED);
      g_assert_null (f->result.body);
    }
}

static void
test_finished (fixture_t *f, gconstpointer data)
{
  /* The caller of a request loses the answer and repeats the request through
     another router: it gets the first answer, and the request is not run
     again.  */
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
  wait_for_writes (f);
  g_assert_cmpint (claim (f, f->other, "e"), ==, ONCE_CLAIMED);
  /* Late calls for a released claim change nothing.  */
  once_release (f->router, "mill", "key");
  once_finish (f->router, "mill", "key", 200, "", "late");
  wait_for_writes (f);
  g_assert_cmpint (claim (f, f->router, "e"), ==, ONCE_RUNNING);
}

static void
test_answer_not_stored (fixture_t *f, gconstpointer data)
{
  /* An answer that is too large or not text is not stored: a part of it must
     never be returned as the whole.  */
  g_autofree char *large = g_strnfill (ONCE_MAX_ANSWER_BYTES + 1, 'x');
  const char *bodies[] = { large, "\xff\xfe" };
  const char *keys[] = { "1", "2" };

  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      g_assert_cmpint (claim_key (f, f->router, keys[i], "d"), ==,
                       ONCE_CLAIMED);
      once_finish (f->router, "mill", keys[i], 200, "", bodies[i]);
      wait_for_writes (f);
      g_assert_cmpint (claim_key (f, f->other, keys[i], "d"), ==,
                       ONCE_FINISHED);
      g_assert_null (f->result.body);
    }
}

static void
test_race (fixture_t *f, gconstpointer data)
{
  /* The caller's two tries arrive at two routers at the same time: exactly one
     may run.  */
  unsigned claimed_count;

  once_claim (f->router, "mill", "key", "d", on_claim, &f->result);
  once_claim (f->other, "mill", "key", "d", on_claim, &f->other_result);
  sp_test_run_until (&f->test, has_result, &f->result);
  sp_test_run_until (&f->test, has_result, &f->other_result);
  claimed_count = (f->result.claim_status == ONCE_CLAIMED)
                  + (f->other_result.claim_status == ONCE_CLAIMED);
  g_assert_cmpuint (claimed_count, ==, 1);
  g_assert_true (f->result.claim_status == ONCE_RUNNING
                 || f->other_result.claim_status == ONCE_RUNNING);
}

/* The result of a claim during a fault, and of another router's claim after
   the fault is over and all writes are done.  */
static const struct
{
  const char *name;
  sp_mode_t mode;
  bool is_claimed_by_other; /* the other router made the claim before */
  once_claim_status_t claim_status;
  once_claim_status_t later_claim_status;
} faults[] = {
  /* The write took effect and its reply was lost: reading the claim back tells
     whose it is.  */
  { "lost answer", SP_DROP_RESPONSE, false, ONCE_CLAIMED, ONCE_RUNNING },
  { "lost answer, held", SP_DROP_RESPONSE, true, ONCE_RUNNING, ONCE_RUNNING },
  { "down", SP_DOWN, false, ONCE_PLATFORM_DOWN, ONCE_CLAIMED },
  { "down, held", SP_DOWN, true, ONCE_PLATFORM_DOWN, ONCE_RUNNING },
  { "slow", SP_SLOW, false, ONCE_CLAIMED, ONCE_RUNNING },
  { "slow, held", SP_SLOW, true, ONCE_RUNNING, ONCE_RUNNING },
  { "stale", SP_STALE_READS, false, ONCE_CLAIMED, ONCE_RUNNING },
  /* The read does not return the claim that the write conflicted with.  */
  { "stale, held", SP_STALE_READS, true, ONCE_RUNNING, ONCE_RUNNING },
};

static void
run_fault (gconstpointer data)
{
  guint i = GPOINTER_TO_UINT (data);
  fixture_t f = { 0 };

  set_up (&f, NULL);
  /* The stale state is the one before the other router's claim.  */
  if (faults[i].mode == SP_STALE_READS)
    sp_set_fault (f.test.sp, SP_STALE_READS, 0, 0);
  if (faults[i].is_claimed_by_other)
    g_assert_cmpint (claim (&f, f.other, "d"), ==, ONCE_CLAIMED);
  if (faults[i].mode != SP_STALE_READS)
    sp_set_fault (f.test.sp, faults[i].mode, 20, 0);
  g_assert_cmpint (claim (&f, f.router, "d"), ==, faults[i].claim_status);
  sp_set_fault (f.test.sp, SP_UP, 0, 0);
  wait_for_writes (&f);
  g_assert_cmpint (claim (&f, f.other, "d"), ==, faults[i].later_claim_status);
  tear_down (&f, NULL);
}

static bool
has_put (void *user)
{
  return sp_count_calls (((fixture_t *)user)->test.sp, "put") >= 1;
}

static void
test_uncertain_claim_deleted (fixture_t *f, gconstpointer data)
{
  /* The claim is written, its reply is lost, and the platform goes down before
     the claim can be read back.  The caller is refused as "not run", so the
     claim must be deleted when the platform is back; otherwise the caller
     could never succeed.  */
  once_claim (f->router, "mill", "key", "d", on_claim, &f->result);
  sp_set_fault (f->test.sp, SP_DROP_RESPONSE, 0, 0);
  sp_test_run_until (&f->test, has_put, f);
  sp_set_fault (f->test.sp, SP_DOWN, 0, 0);
  sp_test_run_until (&f->test, has_result, &f->result);
  g_assert_cmpint (f->result.claim_status, ==, ONCE_PLATFORM_DOWN);
  g_assert_cmpuint (once_count_pending_writes (f->router), ==, 1);
  sp_set_fault (f->test.sp, SP_UP, 0, 0);
  wait_for_writes (f);
  g_assert_cmpint (claim (f, f->other, "d"), ==, ONCE_CLAIMED);
}

static void
test_finish_under_faults (fixture_t *f, gconstpointer data)
{
  /* The request ran; while its answer is written, the platform is down and
     then loses replies.  The complete answer must be stored in the end.  */
  g_assert_cmpint (claim (f, f->router, "d"), ==, ONCE_CLAIMED);
  sp_set_fault (f->test.sp, SP_DOWN, 0, 0);
  once_finish (f->router, "mill", "key", 201, "text/plain", "case 7");
  ev_run (f->test.loop, EVRUN_ONCE);
  g_assert_cmpuint (once_count_pending_writes (f->router), ==, 1);
  sp_set_fault (f->test.sp, SP_DROP_RESPONSE, 0, 0);
  wait_for_writes (f);
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
  add ("/once/finished-without-status", test_finished_without_status);
  add ("/once/released", test_released);
  add ("/once/answer-not-stored", test_answer_not_stored);
  add ("/once/race", test_race);
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/once/fault/%s", faults[i].name);

      g_test_add_data_func (path, GUINT_TO_POINTER (i), run_fault);
    }
  add ("/once/uncertain-claim-deleted", test_uncertain_claim_deleted);
  add ("/once/finish-under-faults", test_finish_under_faults);
  add ("/once/refused-connection", test_refused_connection);
  return g_test_run ();
}
