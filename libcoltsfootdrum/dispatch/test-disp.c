/* Announcements: who hears of which work, when, and how much that costs.  */

#include "dispatch/test-disp-help.h"
#include <inttypes.h>

static void
test_width (void)
{
  /* How many of AGENTS hear of COUNT requests: at once, after they stayed
     unserved once, twice and for ever.  */
  static const struct
  {
    unsigned agents;
    unsigned count;
    unsigned told[4];
  } cases[] = {
    { 0, 1, { 0, 0, 0, 0 } },
    { 1, 1, { 1, 1, 1, 1 } },
    { DISP_SMALL_FLEET_AGENTS,
      1,
      { 2, DISP_SMALL_FLEET_AGENTS, DISP_SMALL_FLEET_AGENTS,
        DISP_SMALL_FLEET_AGENTS } },
    { DISP_SMALL_FLEET_AGENTS,
      9,
      { 9, DISP_SMALL_FLEET_AGENTS, DISP_SMALL_FLEET_AGENTS,
        DISP_SMALL_FLEET_AGENTS } },
    { 600, 1, { 2, 4, 8, 600 } },
    { 600, 10, { 10, 20, 40, 600 } },
    { 30, 9000, { 30, 30, 30, 30 } },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (disp_t) disp = disp_new (7);
      cfd_time_t now = 0;

      set_agents (disp, cases[i].agents);
      wait_for (disp, "a", cases[i].count, now);
      g_assert_cmpuint (agents_told (disp, now), ==, cases[i].told[0]);
      for (unsigned round = 1; round < 3; round++)
        {
          now += DISP_WIDEN_MS;
          agents_told (disp, now);
          g_assert_cmpuint (disp_fanout (disp, "draft", "a"), ==,
                            cases[i].told[round]);
        }
      for (unsigned round = 0; round < 10; round++)
        agents_told (disp, now += DISP_WIDEN_MS);
      g_assert_cmpuint (agents_told (disp, now + DISP_REFRESH_MS), ==,
                        cases[i].told[3]);
    }
}

static void
test_quick (void)
{
  /* In a small fleet the few first agents were busy: all others must hear of
     the work after DISP_SMALL_FLEET_WIDEN_MS, not only with the refresh a
     second later, or a slot would idle beside waiting work.  */
  g_autoptr (disp_t) disp = disp_new (7);

  set_agents (disp, 12);
  wait_for (disp, "a", 1, 1000);
  g_assert_cmpuint (agents_told (disp, 1000), ==, DISP_INITIAL_AGENTS);
  g_assert_cmpint (disp_next_due (disp, 1000), ==,
                   1000 + DISP_SMALL_FLEET_WIDEN_MS);
  /* The first need not hear it again.  */
  g_assert_cmpuint (agents_told (disp, 1000 + DISP_SMALL_FLEET_WIDEN_MS), ==,
                    12 - DISP_INITIAL_AGENTS);
  g_assert_cmpuint (disp_fanout (disp, "draft", "a"), ==, 12);
}

static void
test_served_does_not_widen (void)
{
  g_autoptr (disp_t) disp = disp_new (7);

  set_agents (disp, 600);
  wait_for (disp, "a", 3, 0);
  for (cfd_time_t now = 0; now < 10 * DISP_WIDEN_MS; now += 100)
    {
      wait_for (disp, "a", 2, now); /* one was taken, one came */
      wait_for (disp, "a", 3, now);
      agents_told (disp, now);
    }
  g_assert_cmpuint (disp_fanout (disp, "draft", "a"), ==, 3);
}

static void
test_withdrawal (void)
{
  g_autoptr (disp_t) disp = disp_new (7);
  heard_t heard;

  set_agents (disp, 2);
  wait_for (disp, "a", 1, 0);
  agents_told (disp, 0);
  wait_for (disp, "a", 0, 10);
  g_assert_cmpint (disp_next_due (disp, 10), ==,
                   10 + DISP_WITHDRAWAL_DELAY_MS);
  heard = due (disp, 10 + DISP_WITHDRAWAL_DELAY_MS);
  g_assert_cmpuint (heard.entries, ==, 2);
  g_assert_cmpuint (
      GPOINTER_TO_UINT (g_hash_table_lookup (heard.agents, "agent-0")), ==, 0);
  g_hash_table_unref (heard.agents);
  g_assert_cmpint (disp_next_due (disp, 1000), ==, CFD_TIME_NEVER);
  /* Never told, nothing to withdraw.  */
  wait_for (disp, "b", 1, 1000);
  wait_for (disp, "b", 0, 1000);
  g_assert_cmpuint (agents_told (disp, 2000), ==, 0);
}

static void
test_forgot (void)
{
  /* An agent's link broke and came back: it alone hears everything again, in
     one full word, while the other is not told twice.  */
  g_autoptr (disp_t) disp = disp_new (7);
  heard_t heard;

  set_agents (disp, 2);
  wait_for (disp, "a", 1, 0);
  wait_for (disp, "b", 1, 0);
  g_assert_cmpuint (agents_told (disp, 0), ==, 2);
  g_assert_cmpuint (agents_told (disp, 5), ==, 0);
  disp_record_link_up (disp, "agent-1");
  g_assert_cmpint (disp_next_due (disp, 10), <=, 10);
  heard = due (disp, 10);
  g_assert_cmpuint (heard.frames, ==, 1);
  g_assert_cmpuint (heard.full, ==, 1);
  g_assert_cmpuint (heard.entries, ==, 2);
  g_assert_true (g_hash_table_contains (heard.agents, "agent-1"));
  g_hash_table_unref (heard.agents);
}

static void
test_new_agent (void)
{
  g_autoptr (disp_t) disp = disp_new (7);

  wait_for (disp, "a", 1, 0);
  g_assert_cmpuint (agents_told (disp, 0), ==, 0);
  set_agents (disp, 1);
  g_assert_cmpuint (agents_told (disp, 1), ==, 1);
}

static void
test_behind (void)
{
  /* Two accounts wait.  One is served at the common pace, one not at all.
     Agents carry both forward alike, so the second would look served until
     the next refresh; it alone must be told at once.  */
  g_autoptr (disp_t) disp = disp_new (7);
  msg_waiting_t served = { .account = "a", .count = 9 };
  msg_waiting_t starved = { .account = "b", .count = 9 };
  heard_t heard;
  cfd_time_t start = 1000;
  cfd_time_t end = start + DISP_SMALL_FLEET_REFRESH_MS - DISP_EARLY_REFRESH_MS;
  cfd_time_t now;

  set_agents (disp, 1);
  disp_update_waiting (disp, "draft", &served, start);
  disp_update_waiting (disp, "draft", &starved, start);
  agents_told (disp, start);
  for (now = start + 50; now < end; now += 50)
    {
      served.virtual_time = 10.0 * (double)(now - start);
      disp_update_waiting (disp, "draft", &served, now);
      disp_update_waiting (disp, "draft", &starved, now);
      if (disp_next_due (disp, now) <= now)
        break;
    }
  g_assert_cmpint (now, <, end);
  heard = due (disp, now);
  g_assert_cmpuint (heard.entries, ==, 1);
  g_hash_table_unref (heard.agents);
}

static bool
hears (disp_t *disp, const char *agent, cfd_time_t now)
{
  heard_t heard = due (disp, now);
  bool told = g_hash_table_contains (heard.agents, agent);

  g_hash_table_unref (heard.agents);
  return told;
}

static void
test_answered (void)
{
  /* One of two agents granted and got the newest numbers with the answer.  It
     is left out when the account falls behind what the other believes, and of
     the withdrawal; it hears again before its word lapses.  */
  g_autoptr (disp_t) disp = disp_new (7);
  msg_waiting_t waiting = { "a", 9, 0, 0, 1000 };
  const msg_waiting_t none = { "a", 0, 0, 0, 400 };
  cfd_time_t now = 1000;

  set_agents (disp, 2);
  disp_update_waiting (disp, "draft", &waiting, now);
  g_assert_cmpuint (agents_told (disp, now), ==, 2);
  waiting.virtual_time = 400;
  now += DISP_CORRECTION_INTERVAL_MS;
  disp_record_answer (disp, "draft", "agent-0", &waiting, now);
  disp_update_waiting (disp, "draft", &waiting, now);
  g_assert_cmpint (disp_next_due (disp, now), <=, now);
  g_assert_cmpuint (agents_told (disp, now), ==, 1);
  for (; now < 1000 + DISP_LIFETIME_MS; now += DISP_CHECK_INTERVAL_MS)
    if (hears (disp, "agent-0", now))
      break;
  g_assert_cmpint (now, <, 1000 + DISP_LIFETIME_MS);
  disp_record_answer (disp, "draft", "agent-0", &none, now);
  disp_update_waiting (disp, "draft", &none, now);
  now += DISP_WITHDRAWAL_DELAY_MS;
  g_assert_cmpuint (agents_told (disp, now), ==, 1);
}

static void
test_set_changed_while_withdrawn (void)
{
  /* Work ends and the set of agents changes before that is told.  Whoever has
     which rank now, all must hear of the end, or they would offer slots for
     work that is gone until the word lapses.  */
  g_autoptr (disp_t) disp = disp_new (7);

  set_agents (disp, 2);
  wait_for (disp, "a", 1, 1000);
  agents_told (disp, 1000);
  wait_for (disp, "a", 0, 1010);
  set_agents (disp, 2);
  g_assert_cmpuint (agents_told (disp, 1010 + DISP_WITHDRAWAL_DELAY_MS), ==,
                    2);
}

/* At the target size: 1,800 pairs that wait at one router, 600 agents.  Prints
   the cost; asserts only that refreshes stay within the first told agents
   each. */
static void
test_scale (void)
{
  g_autoptr (disp_t) disp = disp_new (7);
  heard_t heard;
  int64_t began;

  set_agents (disp, 600);
  for (unsigned i = 0; i < 1800; i++)
    {
      g_autofree char *account = g_strdup_printf ("account-%u", i);

      wait_for (disp, account, 1, 0);
    }
  began = clock_now_us ();
  heard = due (disp, 0);
  g_test_message ("1,800 pairs to 600 agents: %u frames, %u entries, %" PRIi64
                  " us",
                  heard.frames, heard.entries, clock_now_us () - began);
  g_assert_cmpuint (heard.entries, ==, 1800 * DISP_INITIAL_AGENTS);
  g_hash_table_unref (heard.agents);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/disp/width", test_width);
  g_test_add_func ("/disp/served-does-not-widen", test_served_does_not_widen);
  g_test_add_func ("/disp/quick", test_quick);
  g_test_add_func ("/disp/withdrawal", test_withdrawal);
  g_test_add_func ("/disp/forgot", test_forgot);
  g_test_add_func ("/disp/new-agent", test_new_agent);
  g_test_add_func ("/disp/behind", test_behind);
  g_test_add_func ("/disp/answered", test_answered);
  g_test_add_func ("/disp/set-changed-while-withdrawn",
                   test_set_changed_while_withdrawn);
  g_test_add_func ("/disp/scale", test_scale);
  return g_test_run ();
}
