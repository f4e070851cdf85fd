/* The contract of the platform's object API, with its fault cases, against the
   stand-in that the other tests use.  docs/OBJECT-API.md tells the contract.
 */

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
await (sp_test_t *test, result_t *result)
{
  sp_test_run_until (test, is_done, result);
  return result->status;
}

static void
forget (result_t *result)
{
  g_clear_pointer (&result->answer, json_object_unref);
  result->done = false;
}

static const char *
version_now (sp_test_t *test)
{
  const sp_object_t *object
      = sp_model_get_latest (sp_get_model (test->sp), KIND, "x");

  return object == NULL ? NULL : object->version;
}

typedef enum
{
  CREATE,
  UPDATE,
  UPDATE_OLD, /* with a version that is no longer in force */
  DELETE,
  DELETE_OLD,
  GET,
  LIST,
  WATCH,
  INSTANCES
} op_t;

typedef enum
{
  NOTHING, /* the object is not there, before or after the call */
  OLD,     /* the object as it was before */
  NEW      /* as the call wrote it */
} state_t;

static void
call (sp_test_t *test, op_t op, result_t *result)
{
  g_autoptr (JsonObject) spec = json_object_new ();
  plat_t *plat = test->plat;
  const char *version = version_now (test);

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
    case UPDATE_OLD:
      plat_put (plat, KIND, "x", "0", spec, on_done, result);
      break;
    case DELETE:
      plat_delete (plat, KIND, "x", version, on_done, result);
      break;
    case DELETE_OLD:
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
state_now (sp_test_t *test)
{
  const sp_object_t *object
      = sp_model_get_latest (sp_get_model (test->sp), KIND, "x");

  if (object == NULL)
    return NOTHING;
  return strstr (object->text, "\"new\":true") != NULL ? NEW : OLD;
}

static const struct
{
  sp_mode_t mode;
  op_t op;
  state_t before;
  plat_status_t status;
  state_t after;
} contract[] = {
  { SP_UP, CREATE, NOTHING, PLAT_OK, NEW },
  { SP_UP, CREATE, OLD, PLAT_CONFLICT, OLD },
  { SP_UP, UPDATE, OLD, PLAT_OK, NEW },
  { SP_UP, UPDATE, NOTHING, PLAT_CONFLICT, NOTHING },
  { SP_UP, UPDATE_OLD, OLD, PLAT_CONFLICT, OLD },
  { SP_UP, DELETE, OLD, PLAT_OK, NOTHING },
  { SP_UP, DELETE, NOTHING, PLAT_NOT_FOUND, NOTHING },
  { SP_UP, DELETE_OLD, OLD, PLAT_CONFLICT, OLD },
  { SP_UP, GET, OLD, PLAT_OK, OLD },
  { SP_UP, GET, NOTHING, PLAT_NOT_FOUND, NOTHING },
  { SP_UP, LIST, OLD, PLAT_OK, OLD },
  { SP_UP, WATCH, OLD, PLAT_OK, OLD },
  { SP_UP, INSTANCES, OLD, PLAT_OK, OLD },
  { SP_SLOW, CREATE, NOTHING, PLAT_OK, NEW },
  { SP_SLOW, GET, OLD, PLAT_OK, OLD },
  { SP_SLOW, LIST, OLD, PLAT_OK, OLD },
  { SP_DROP_RESPONSE, CREATE, NOTHING, PLAT_OUTCOME_UNKNOWN, NEW },
  { SP_DROP_RESPONSE, CREATE, OLD, PLAT_CONFLICT, OLD },
  { SP_DROP_RESPONSE, UPDATE, OLD, PLAT_OUTCOME_UNKNOWN, NEW },
  { SP_DROP_RESPONSE, DELETE, OLD, PLAT_OUTCOME_UNKNOWN, NOTHING },
  { SP_DROP_RESPONSE, GET, OLD, PLAT_OK, OLD },
  { SP_DOWN, CREATE, NOTHING, PLAT_OUTCOME_UNKNOWN, NOTHING },
  { SP_DOWN, UPDATE, OLD, PLAT_OUTCOME_UNKNOWN, OLD },
  { SP_DOWN, DELETE, OLD, PLAT_OUTCOME_UNKNOWN, OLD },
  { SP_DOWN, GET, OLD, PLAT_UNAVAILABLE, OLD },
  { SP_DOWN, LIST, OLD, PLAT_UNAVAILABLE, OLD },
  { SP_DOWN, WATCH, OLD, PLAT_UNAVAILABLE, OLD },
  { SP_DOWN, INSTANCES, OLD, PLAT_UNAVAILABLE, OLD },
  { SP_STALE_READS, GET, OLD, PLAT_NOT_FOUND, OLD },
  { SP_STALE_READS, CREATE, OLD, PLAT_CONFLICT, OLD },
  { SP_STALE_READS, UPDATE, OLD, PLAT_OK, NEW },
};

static void
test_contract (void)
{
  sp_test_t test;

  sp_test_setup (&test);
  for (guint i = 0; i < G_N_ELEMENTS (contract); i++)
    {
      result_t result = { false };

      /* The object's stale state is that it was not there yet.  */
      sp_test_write_object (&test, KIND, "x", NULL);
      sp_set_fault (test.sp, contract[i].mode, 20, 0);
      if (contract[i].before == OLD)
        sp_test_write_object (&test, KIND, "x", SPEC);
      call (&test, contract[i].op, &result);
      g_test_message ("row %u", i);
      g_assert_cmpstr (plat_status_name (await (&test, &result)), ==,
                       plat_status_name (contract[i].status));
      g_assert_cmpint (state_now (&test), ==, contract[i].after);
      g_assert_true ((result.answer != NULL)
                     == (contract[i].status == PLAT_OK));
      forget (&result);
    }
  sp_test_teardown (&test);
}

static void
test_refused (void)
{
  /* Nobody listens: nothing was sent, so that a write surely did not take
     effect, and its caller may be told so.  */
  sp_test_t test;
  result_t result = { false };

  sp_test_setup (&test);
  sp_test_stop_platform (&test);
  plat_delete (test.plat, KIND, "x", "0", on_done, &result);
  g_assert_cmpint (await (&test, &result), ==, PLAT_UNAVAILABLE);
  sp_test_teardown (&test);
}

static void
test_write_timeout (void)
{
  /* The platform is so slow that the caller gives up on a write, which takes
     effect all the same: the status must leave that open.  */
  sp_test_t test;
  result_t result = { false };

  sp_test_setup (&test);
  sp_set_fault (test.sp, SP_SLOW, 60000, 0);
  call (&test, CREATE, &result);
  g_assert_cmpint (await (&test, &result), ==, PLAT_OUTCOME_UNKNOWN);
  g_assert_cmpint (state_now (&test), ==, NEW);
  sp_test_teardown (&test);
}

static gint64
revision_of (const result_t *result)
{
  return json_object_get_int_member (result->answer, "revision");
}

static guint
count_of (const result_t *result)
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
  /* A claim is no configuration and wakes nobody.  */
  sp_test_write_object (&test, "claim", "c", SPEC);
  sp_test_write_object (&test, KIND, "x", NULL);
  g_assert_cmpint (await (&test, &result), ==, PLAT_OK);
  g_assert_cmpint (revision_of (&result), ==, 3);
  g_assert_cmpuint (count_of (&result), ==, 1);
  forget (&result);
  plat_watch (test.plat, 3, 10, on_done, &result);
  g_assert_cmpint (await (&test, &result), ==, PLAT_OK);
  g_assert_cmpuint (count_of (&result), ==, 0);
  forget (&result);
  sp_test_teardown (&test);
}

static void
test_watch_gap (void)
{
  /* A process was cut off while more was written than the platform keeps: the
     watch must say so, or a deletion in the gap would never be seen.  */
  sp_test_t test;
  result_t result = { false };

  sp_test_setup (&test);
  for (unsigned i = 0; i < SP_TEST_HISTORY + 2; i++)
    sp_test_write_object (&test, KIND, "x", i % 2 ? NULL : SPEC);
  plat_watch (test.plat, 1, 0, on_done, &result);
  g_assert_cmpint (await (&test, &result), ==, PLAT_REVISION_EXPIRED);
  forget (&result);
  plat_watch (test.plat, 2, 0, on_done, &result);
  g_assert_cmpint (await (&test, &result), ==, PLAT_OK);
  forget (&result);
  sp_test_teardown (&test);
}

static void
test_list_not_caught_up (void)
{
  /* A lagging replica answers the list: one that is behind what the process
     has seen must not answer at all.  */
  sp_test_t test;
  result_t result = { false };

  sp_test_setup (&test);
  sp_test_write_object (&test, KIND, "x", SPEC);
  sp_set_fault (test.sp, SP_STALE_READS, 0, 100000000);
  plat_list (test.plat, 1, on_done, &result);
  g_assert_cmpint (await (&test, &result), ==, PLAT_UNAVAILABLE);
  sp_test_teardown (&test);
}

static void
test_cancel (void)
{
  /* The owner of a call goes away while it is under way: no call back may
     reach it.  */
  sp_test_t test;
  result_t gone = { false };
  result_t result = { false };

  sp_test_setup (&test);
  plat_list_instances (test.plat, on_done, &gone);
  plat_list_instances (test.plat, on_done, &result);
  plat_cancel (test.plat, &gone);
  g_assert_cmpint (await (&test, &result), ==, PLAT_OK);
  g_assert_false (gone.done);
  g_assert_cmpuint (plat_count_calls (test.plat), ==, 2);
  forget (&result);
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
