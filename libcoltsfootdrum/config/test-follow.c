/* A store that follows the platform's stand-in through its faults.  */

#include "base/log.h"
#include "config/store.h"
#include "sp-test.h"

#define IN "{\"schema\":1,\"out\":false}"
#define OUT "{\"schema\":2,\"state\":\"out\"}"
#define ZONE "availability-zone"
/* An agent that starts before any zone was written.  */
#define FIRST_AGENT "first-agent"

typedef struct
{
  sp_test_t test;
  store_t *store;
  unsigned lists; /* times that the list of instances changed */
  uint64_t watches;
} fixture_t;

static void
on_instances (void *user, cfd_time_t now)
{
  ((fixture_t *)user)->lists++;
}

static void
set_up (fixture_t *f, gconstpointer data)
{
  static const store_events_t events = { .instances = on_instances };

  sp_test_setup (&f->test);
  f->store = store_new (NULL, &events, f);
  if (data != NULL)
    store_set_self (f->store, ROLE_AGENT, data);
  if (g_strcmp0 (data, FIRST_AGENT) != 0)
    sp_test_write_object (&f->test, ZONE, "a", IN);
  store_follow (f->store, f->test.loop, f->test.plat);
}

static void
tear_down (fixture_t *f, gconstpointer data)
{
  store_free (f->store);
  sp_test_teardown (&f->test);
}

static bool
has_caught_up (void *user)
{
  fixture_t *f = user;

  return store_get_revision (f->store)
         == sp_model_get_revision (sp_get_model (f->test.sp), NULL);
}

static void
catch_up (fixture_t *f)
{
  sp_test_run_until (&f->test, has_caught_up, f);
}

static void
test_pages (fixture_t *f, gconstpointer data)
{
  /* The list has more than one page, and changes while it is read: what was
     deleted after its page was read must go, what came must be there.  */
  for (unsigned i = 0; i < 1200; i++)
    {
      g_autofree char *name = g_strdup_printf ("z%04u", i);

      sp_test_write_object (&f->test, ZONE, name, IN);
    }
  while (sp_count_calls (f->test.sp, "list") < 2)
    ev_run (f->test.loop, EVRUN_ONCE);
  sp_test_write_object (&f->test, ZONE, "z0001", NULL);
  sp_test_write_object (&f->test, ZONE, "z0002", OUT);
  sp_test_write_object (&f->test, ZONE, "z1199", NULL);
  sp_test_write_object (&f->test, ZONE, "zz", OUT);
  catch_up (f);
  g_assert_cmpuint (sp_count_calls (f->test.sp, "list"), ==, 3);
  g_assert_null (store_get (f->store, REC_ZONE, "z0001"));
  g_assert_null (store_get (f->store, REC_ZONE, "z1199"));
  g_assert_true (store_is_zone_out (f->store, "z0002"));
  g_assert_true (store_is_zone_out (f->store, "zz"));
  g_assert_nonnull (store_get (f->store, REC_ZONE, "z1198"));
}

static void
write_accounts (fixture_t *f, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      g_autofree char *name = g_strdup_printf ("account-%u", i);

      sp_test_write_object (&f->test, "client-account", name,
                            "{\"schema\":2,\"weight\":1,\"keys\":[]}");
    }
}

static void
test_agent (fixture_t *f, gconstpointer data)
{
  /* An agent lists all but the accounts, so that its list is at an older
     revision than the platform; the watch brings it up, and goes on to count
     the writes of accounts.  */
  write_accounts (f, 5);
  catch_up (f);
  g_assert_cmpuint (sp_count_calls (f->test.sp, "list"), ==, 1);
  g_assert_null (store_get (f->store, REC_ACCOUNT, "account-0"));
  g_assert_nonnull (store_get (f->store, REC_ZONE, "a"));
  write_accounts (f, 1);
  catch_up (f);
  sp_test_write_object (&f->test, ZONE, "a", OUT);
  catch_up (f);
  g_assert_true (store_is_zone_out (f->store, "a"));
}

static void
test_agent_short_history (fixture_t *f, gconstpointer data)
{
  /* Accounts alone were written, and more often than the platform remembers.
     The watch from the agent's list on finds a gap each time; only a list of
     all kinds leads out of it.  */
  write_accounts (f, 2 * SP_TEST_HISTORY);
  catch_up (f);
  g_assert_cmpuint (sp_count_calls (f->test.sp, "list"), ==, 2);
  g_assert_null (store_get (f->store, REC_ACCOUNT, "account-0"));
}

static bool
is_down (void *user)
{
  return !store_is_platform_up (((fixture_t *)user)->store);
}

static bool
is_up (void *user)
{
  return store_is_platform_up (((fixture_t *)user)->store);
}

static void
test_changes (fixture_t *f, gconstpointer data)
{
  catch_up (f);
  g_assert_true (store_is_platform_up (f->store));
  g_assert_false (store_is_zone_out (f->store, "a"));
  sp_test_write_object (&f->test, ZONE, "a", OUT);
  catch_up (f);
  g_assert_true (store_is_zone_out (f->store, "a"));
  sp_test_write_object (&f->test, ZONE, "a", NULL);
  catch_up (f);
  g_assert_null (store_get (f->store, REC_ZONE, "a"));
  g_assert_cmpuint (sp_count_calls (f->test.sp, "list"), ==, 1);
}

static void
test_outage_beyond_history (fixture_t *f, gconstpointer data)
{
  /* The platform is down while more is written than its history holds, among
     it a deletion.  Meanwhile the last configuration stays in force; after it
     the gap is seen and everything is listed again.  */
  catch_up (f);
  sp_set_fault (f->test.sp, SP_DOWN, 0, 0);
  sp_test_run_until (&f->test, is_down, f);
  sp_test_write_object (&f->test, ZONE, "a", NULL);
  for (unsigned i = 0; i <= SP_TEST_HISTORY; i++)
    sp_test_write_object (&f->test, ZONE, "b", i % 2 == 0 ? OUT : IN);
  g_assert_nonnull (store_get (f->store, REC_ZONE, "a"));
  sp_set_fault (f->test.sp, SP_UP, 0, 0);
  catch_up (f);
  g_assert_null (store_get (f->store, REC_ZONE, "a"));
  g_assert_true (store_is_zone_out (f->store, "b"));
  g_assert_cmpuint (sp_count_calls (f->test.sp, "list"), ==, 2);
}

static bool
has_watched_again (void *user)
{
  fixture_t *f = user;

  return sp_count_calls (f->test.sp, "watch") > f->watches;
}

static void
test_stale_platform (fixture_t *f, gconstpointer data)
{
  /* After an outage the platform answers from a replica that lags behind what
     is in force here.  Nothing may go back, and what comes when the replica
     has caught up is taken.  */
  sp_test_write_object (&f->test, ZONE, "a", OUT);
  catch_up (f);
  sp_set_fault (f->test.sp, SP_DOWN, 0, 0);
  sp_test_run_until (&f->test, is_down, f);
  f->watches = sp_count_calls (f->test.sp, "watch");
  sp_set_fault (f->test.sp, SP_STALE_READS, 0, 100000000);
  sp_test_run_until (&f->test, is_up, f);
  sp_test_run_until (&f->test, has_watched_again, f);
  g_assert_true (store_is_zone_out (f->store, "a"));
  sp_set_fault (f->test.sp, SP_UP, 0, 0);
  sp_test_write_object (&f->test, ZONE, "a", IN);
  catch_up (f);
  g_assert_false (store_is_zone_out (f->store, "a"));
}

static bool
has_list (void *user)
{
  return ((fixture_t *)user)->lists > 0;
}

static void
test_instances (fixture_t *f, gconstpointer data)
{
  const store_instance_t *agent;

  sp_set_instances (f->test.sp,
                    "[{\"name\":\"r1\",\"role\":\"router\",\"zone\":\"a\","
                    "\"address\":\"127.0.0.1:1\",\"state\":\"live\"},"
                    "{\"name\":\"a1\",\"role\":\"agent\",\"zone\":\"b\","
                    "\"address\":\"127.0.0.2:1\",\"state\":\"leaving\"},"
                    "{\"name\":\"x\",\"role\":\"database\"}]");
  sp_test_run_until (&f->test, has_list, f);
  g_assert_cmpuint (store_get_instances (f->store, ROLE_ROUTER)->len, ==, 1);
  g_assert_cmpuint (store_get_instances (f->store, ROLE_AGENT)->len, ==, 1);
  agent = g_ptr_array_index (store_get_instances (f->store, ROLE_AGENT), 0);
  g_assert_cmpstr (agent->address, ==, "127.0.0.2:1");
  g_assert_true (agent->leaving);
  g_assert_cmpstr (store_find_home_router (f->store, "acc", "s", NULL, NULL),
                   ==, "r1");
}

static bool
is_not (void *user, const char *router)
{
  return g_strcmp0 (user, router) != 0;
}

static void
test_home (fixture_t *f, gconstpointer data)
{
  /* A router goes: only the accounts that it was home of may move.  */
  unsigned homes[4] = { 0 };

  sp_set_instances (
      f->test.sp, "[{\"name\":\"r0\",\"role\":\"router\",\"address\":\"x\"},"
                  "{\"name\":\"r1\",\"role\":\"router\",\"address\":\"x\"},"
                  "{\"name\":\"r2\",\"role\":\"router\",\"address\":\"x\"},"
                  "{\"name\":\"r3\",\"role\":\"router\",\"address\":\"x\"}]");
  sp_test_run_until (&f->test, has_list, f);
  for (unsigned i = 0; i < 400; i++)
    {
      g_autofree char *account = g_strdup_printf ("account-%u", i);
      const char *home
          = store_find_home_router (f->store, account, "s", NULL, NULL);
      const char *without = store_find_home_router (f->store, account, "s",
                                                    is_not, (void *)"r2");

      homes[home[1] - '0']++;
      g_assert_cmpstr (without, !=, "r2");
      if (g_strcmp0 (home, "r2") != 0)
        g_assert_cmpstr (without, ==, home);
    }
  for (guint i = 0; i < G_N_ELEMENTS (homes); i++)
    g_assert_cmpuint (homes[i], >, 50);
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
  add ("/follow/changes", test_changes);
  add ("/follow/pages", test_pages);
  g_test_add ("/follow/agent", fixture_t, "agent", set_up, test_agent,
              tear_down);
  g_test_add ("/follow/agent-short-history", fixture_t, FIRST_AGENT, set_up,
              test_agent_short_history, tear_down);
  add ("/follow/outage-beyond-history", test_outage_beyond_history);
  add ("/follow/stale-platform", test_stale_platform);
  add ("/follow/instances", test_instances);
  add ("/follow/home", test_home);
  return g_test_run ();
}
