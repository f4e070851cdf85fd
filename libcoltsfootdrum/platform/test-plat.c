/* Tests of the contract of the platform's object API (docs/OBJECT-API.md),
   including faults, against the stand-in that the other tests use.  */

#include "sp-test.h"

#include <string.h>

#define KIND "service"
#define SPEC "{\"schema\":1}"

typedef struct
{
  bool done;
  plat_status_t status;
  JsonObject *answer;
} result_t;

static void
on_done (void *user, plat_status_t status, JsonObject *answer)
{
  result_t *result = user;

  g_assert_false (result->done);
  result->done = true;
  result->status = status;
  result->answer = answer;
}

static bool
is_done (void *user)
{
  return ((result_t *)user)->done;
}

static plat_status_t
wait_for_result (sp_test_t *test, result_t *result)
{
  sp_test_run_until (test, is_done, result);
  return result->status;
}

static void
reset_result (result_t *result)
{
  g_clear_pointer (&result->answer, json_object_unref);
  result->done = false;
}

static const char *
get_current_version (sp_test_t *test)
{
  const sp_object_t *object
      = sp_model_get_latest (sp_get_model (test->sp), KIND, "x");

  return object == NULL ? NULL : object->version;
}

typedef enum
{
  CREATE,
  UPDATE,
  UPDATE_STALE, /* with an outdated version */
  DELETE,
  DELETE_STALE,
  GET,
  LIST,
  WATCH,
  INSTANCES
} op_t;

typedef enum
{
  ABSENT,   /* the object doesn't exist */
  ORIGINAL, /* the object is as it was before the call */
  WRITTEN   /* the object is as the call wrote it */
} state_t;

static void
start_call (sp_test_t *test, op_t op, result_t *result)
{
  g_autoptr (JsonObject) spec = json_object_new ();
  plat_t *plat = test->plat;
  const char *version = get_current_version (test);

  json_object_set_boolean_member (spec, "new", TRUE);
  if (version == NULL)
    version = "none";
  switch (op)
    {
    case CREATE:
      plat_put (plat, KIND, "x", NULL, spec, on_done, result);
      break;
    case UPDATE:
      plat_put (plat, KIND, "x", version, spec, on_done, result);
      break;
    case UPDATE_STALE:
      plat_put (plat, KIND, "x", "0", spec, on_done, result);
      break;
    case DELETE:
      plat_delete (plat, KIND, "x", version, on_done, result);
      break;
    case DELETE_STALE:
      plat_delete (plat, KIND, "x", "0", on_done, result);
      break;
    case GET:
      plat_get (plat, KIND, "x", on_done, result);
      break;
    case LIST:
      plat_list (plat, 0, on_done, result);
      break;
    case WATCH:
      plat_watch (plat, sp_model_get_revision (sp_get_model (test->sp), NULL),
                  0, on_done, result);
      break;
    case INSTANCES:
      plat_list_instances (plat, on_done, result);
      break;
    }
}

static state_t
get_current_state (sp_test_t *test)
{
  const sp_object_t *object
      = sp_model_get_latest (sp_get_model (test->sp), KIND, "x");

  if (object == NULL)
    return ABSENT;
  return strstr (object->text, "\"new\":true") != NULL ? WRITTEN : ORIGINAL;
}

static const struct
{
  sp_mode_t mode;
  op_t op;
  state_t before;
  plat_status_t status;
  state_t after;
} contract[] = {
  { SP_UP, CREATE, ABSENT, PLAT_OK, WRITTEN },
  { SP_UP, CREATE, ORIGINAL, PLAT_CONFLICT, ORIGINAL },
  { SP_UP, UPDATE, ORIGINAL, PLAT_OK, WRITTEN },
  { SP_UP, UPDATE, ABSENT, PLAT_CONFLICT, ABSENT },
  { SP_UP, UPDATE_STALE, ORIGINAL, PLAT_CONFLICT, ORIGINAL },
  { SP_UP, DELETE, ORIGINAL, PLAT_OK, ABSENT },
  { SP_UP, DELETE, ABSENT, PLAT_NOT_FOUND, ABSENT },
  { SP_UP, DELETE_STALE, ORIGINAL, PLAT_CONFLICT, ORIGINAL },
  { SP_UP, GET, ORIGINAL, PLAT_OK, ORIGINAL },
  { SP_UP, GET, ABSENT, PLAT_NOT_FOUND, ABSENT },
  { SP_UP, LIST, ORIGINAL, PLAT_OK, ORIGINAL },
  { SP_UP, WATCH, ORIGINAL, PLAT_OK, ORIGINAL },
  { SP_UP, INSTANCES, ORIGINAL, PLAT_OK, ORIGINAL },
  { SP_SLOW, CREATE, ABSENT, PLAT_OK, WRITTEN },
  { SP_SLOW, GET, ORIGINAL, PLAT_OK, ORIGINAL },
  { SP_SLOW, LIST, ORIGINAL, PLAT_OK, ORIGINAL },
  { SP_DROP_RESPONSE, CREATE, ABSENT, PLAT_OUTCOME_UNKNOWN, WRITTEN },
  { SP_DROP_RESPONSE, CREATE, ORIGINAL, PLAT_CONFLICT, ORIGINAL },
  { SP_DROP_RESPONSE, UPDATE, ORIGINAL, PLAT_OUTCOME_UNKNOWN, WRITTEN },
  { SP_DROP_RESPONSE, DELETE, ORIGINAL, PLAT_OUTCOME_UNKNOWN, ABSENT },
  { SP_DROP_RESPONSE, GET, ORIGINAL, PLAT_OK, ORIGINAL },
  { SP_DOWN, CREATE, ABSENT, PLAT_OUTCOME_UNKNOWN, ABSENT },
  { SP_DOWN, UPDATE, ORIGINAL, PLAT_OUTCOME_UNKNOWN, ORIGINAL },
  { SP_DOWN, DELETE, ORIGINAL, PLAT_OUTCOME_UNKNOWN, ORIGINAL },
  { SP_DOWN, GET, ORIGINAL, PLAT_UNAVAILABLE, ORIGINAL },
  { SP_DOWN, LIST, ORIGINAL, PLAT_UNAVAILABLE, ORIGINAL },
  { SP_DOWN, WATCH, ORIGINAL, PLAT_UNAVAILABLE, ORIGINAL },
  { SP_DOWN, INSTANCES, ORIGINAL, PLAT_UNAVAILABLE, ORIGINAL },
  { SP_STALE_READS, GET, ORIGINAL, PLAT_NOT_FOUND, ORIGINAL },
  { SP_STALE_READS, CREATE, ORIGINAL, PLAT_CONFLICT, ORIGINAL },
  { SP_STALE_READS, UPDATE, ORIGINAL, PLAT_OK, WRITTEN },
};

static void
test_contract (void)
{
  sp_test_t test;

  sp_test_setup (&test);
  for (guint i = 0; i < G_N_ELEMENTS (contract); i++)
    {
      result_t result = { false };

      /* In the stale state that SP_STALE_READS serves, the object is absent.
       */
      sp_test_write_object (&test, KIND, "x", NULL);
      sp_set_fault (test.sp, contract[i].mode, 20, 0);
      if (contract[i].before == ORIGINAL)
        sp_test_write_object (&test, KIND, "x", SPEC);
      start_call (&test, contract[i].op, &result);
      g_test_message ("row %u", i);
      g_assert_cmpstr (plat_status_name (wait_for_result (&test, &result)), ==,
                       plat_status_name (contract[i].status));
      g_assert_cmpint (get_current_state (&test), ==, contract[i].after);
      g_assert_true ((result.answer != NULL)
                     == (contract[i].status == PLAT_OK));
      reset_result (&result);
    }
  sp_test_teardown (&test);
}

static void
test_refused (void)
{
  /* The connection is refused: nothing was sent, so that a write certainly
     didn't take effect, and the status must say so.  */
  sp_test_t test;
  result_t result = { false };

  sp_test_setup (&test);
  sp_test_stop_platform (&test);
  plat_delete (test.plat, KIND, "x", "0", on_done, &result);
  g_assert_cmpint (wait_for_result (&test, &result), ==, PLAT_UNAVAILABLE);
  sp_test_teardown (&test);
}

static void
test_write_timeout (void)
{
  /* The platform is so slow that a write times out, but takes effect
     nevertheless.  The status must say that the outcome is unknown.  */
  sp_test_t test;
  result_t result = { false };

  sp_test_setup (&test);
  sp_set_fault (test.sp, SP_SLOW, 60000, 0);
  start_call (&test, CREATE, &result);
  g_assert_cmpint (wait_for_result (&test, &result), ==, PLAT_OUTCOME_UNKNOWN);
  g_assert_cmpint (get_current_state (&test), ==, WRITTEN);
  sp_test_teardown (&test);
}

static gint64
get_revision (const result_t *result)
{
  return json_object_get_int_member (result->answer, "revision");
}

static guint
count_objects (const result_t *result)
{
  return json_array_get_length (
      json_object_get_array_member (result->answer, "objects"));
}

static void
test_watch (void)
{
  sp_test_t test;
  result_t result = { false };

  sp_test_setup (&test);
  sp_test_write_object (&test, KIND, "x", SPEC);
  plat_watch (test.plat, 1, 20000, on_done, &result);
  while (sp_count_calls (test.sp, "watch") == 0)
    ev_run (test.loop, EVRUN_ONCE);
  /* A claim isn't configuration and must not end the watch.  */
  sp_test_write_object (&test, "claim", "c", SPEC);
  sp_test_write_object (&test, KIND, "x", NULL);
  g_assert_cmpint (wait_for_result (&test, &result), ==, PLAT_OK);
  g_assert_cmpint (get_revision (&result), ==, 3);
  g_assert_cmpuint (count_objects (&result), ==, 1);
  reset_result (&result);
  plat_watch (test.plat, 3, 10, on_done, &result);
  g_assert_cmpint (wait_for_result (&test, &result), ==, PLAT_OK);
  g_assert_cmpuint (count_objects (&result), ==, 0);
  reset_result (&result);
  sp_test_teardown (&test);
}

static void
test_watch_gap (void)
{
  /* A process was cut off during more writes than the platform's history
     keeps.  The watch must fail, or a deletion in the gap would be missed.  */
  sp_test_t test;
  result_t result = { false };

  sp_test_setup (&test);
  for (unsigned i = 0; i < SP_TEST_HISTORY + 2; i++)
    sp_test_write_object (&test, KIND, "x", i % 2 ? NULL : SPEC);
  plat_watch (test.plat, 1, 0, on_done, &result);
  g_assert_cmpint (wait_for_result (&test, &result), ==,
                   PLAT_REVISION_EXPIRED);
  reset_result (&result);
  plat_watch (test.plat, 2, 0, on_done, &result);
  g_assert_cmpint (wait_for_result (&test, &result), ==, PLAT_OK);
  reset_result (&result);
  sp_test_teardown (&test);
}

static void
test_list_not_caught_up (void)
{
  /* The list comes from a lagging replica: one that is behind the revision
     that the process has already seen must refuse it.  */
  sp_test_t test;
  result_t result = { false };

  sp_test_setup (&test);
  sp_test_write_object (&test, KIND, "x", SPEC);
  sp_set_fault (test.sp, SP_STALE_READS, 0, 100000000);
  plat_list (test.plat, 1, on_done, &result);
  g_assert_cmpint (wait_for_result (&test, &result), ==, PLAT_UNAVAILABLE);
  sp_test_teardown (&test);
}

static void
test_cancel (void)
{
  /* The owner of a pending call is freed: its callback must not be invoked. */
  sp_test_t test;
  result_t cancelled_call = { false };
  result_t result = { false };

  sp_test_setup (&test);
  plat_list_instances (test.plat, on_done, &cancelled_call);
  plat_list_instances (test.plat, on_done, &result);
  plat_cancel (test.plat, &cancelled_call);
  g_assert_cmpint (wait_for_result (&test, &result), ==, PLAT_OK);
  g_assert_false (cancelled_call.done);
  g_assert_cmpuint (plat_count_calls (test.plat), ==, 2);
  reset_result (&result);
  sp_test_teardown (&test);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/plat/contract", test_contract);
  g_test_add_func ("/plat/refused", test_refused);
  g_test_add_func ("/plat/write-timeout", test_write_timeout);
  g_test_add_func ("/plat/watch", test_watch);
  g_test_add_func ("/plat/watch-gap", test_watch_gap);
  g_test_add_func ("/plat/list-not-caught-up", test_list_not_caught_up);
  g_test_add_func ("/plat/cancel", test_cancel);
  return g_test_run ();
}
