/* Tests of announcement dispatch: which agents are notified of which work,
   when, and at what cost.  */

#include "dispatch/test-disp-help.h"
#include <inttypes.h>

static void
test_fanout (void)
{
  /* How many of AGENTS are notified of COUNT requests: at once, then after the
     work stayed unserved for one, two and many widening intervals.  */
  static const struct
  {
    unsigned agents;
    unsigned count;
    unsigned recipients[4];
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
      set_waiting (disp, "a", cases[i].count, now);
      g_assert_cmpuint (count_recipients (disp, now), ==,
                        cases[i].recipients[0]);
      for (unsigned round = 1; round < 3; round++)
        {
          now += DISP_WIDEN_MS;
          count_recipients (disp, now);
          g_assert_cmpuint (disp_fanout (disp, "draft", "a"), ==,
                            cases[i].recipients[round]);
        }
      for (unsigned round = 0; round < 10; round++)
        count_recipients (disp, now += DISP_WIDEN_MS);
      g_assert_cmpuint (count_recipients (disp, now + DISP_REFRESH_MS), ==,
                        cases[i].recipients[3]);
    }
}

static void
test_small_fleet_widens (void)
{
  /* In a small fleet the few first agents are busy.  All others must be
     notified after DISP_SMALL_FLEET_WIDEN_MS and not only with the refresh a
     second later, or a slot would idle while work is waiting.  */
  g_autoptr (disp_t) disp = disp_new (7);

  set_agents (disp, 12);
  set_waiting (disp, "a", 1, 1000);
  g_assert_cmpuint (count_recipients (disp, 1000), ==, DISP_INITIAL_AGENTS);
  g_assert_cmpint (disp_next_due (disp, 1000), ==,
                   1000 + DISP_SMALL_FLEET_WIDEN_MS);
  /* The first agents are not notified again.  */
  g_assert_cmpuint (count_recipients (disp, 1000 + DISP_SMALL_FLEET_WIDEN_MS),
                    ==, 12 - DISP_INITIAL_AGENTS);
  g_assert_cmpuint (disp_fanout (disp, "draft", "a"), ==, 12);
}

static void
test_served_does_not_widen (void)
{
  g_autoptr (disp_t) disp = disp_new (7);

  set_agents (disp, 600);
  set_waiting (disp, "a", 3, 0);
  for (cfd_time_t now = 0; now < 10 * DISP_WIDEN_MS; now += 100)
    {
      set_waiting (disp, "a", 2, now); /* one request was served, one came */
      set_waiting (disp, "a", 3, now);
      count_recipients (disp, now);
    }
  g_assert_cmpuint (disp_fanout (disp, "draft", "a"), ==, 3);
}

static void
test_withdrawal (void)
{
  g_autoptr (disp_t) disp = disp_new (7);
  received_t received;

  set_agents (disp, 2);
  set_waiting (disp, "a", 1, 0);
  count_recipients (disp, 0);
  set_waiting (disp, "a", 0, 10);
  g_assert_cmpint (disp_next_due (disp, 10), ==,
                   10 + DISP_WITHDRAWAL_DELAY_MS);
  received = send_due (disp, 10 + DISP_WITHDRAWAL_DELAY_MS);
  g_assert_cmpuint (received.entries, ==, 2);
  g_assert_cmpuint (
      GPOINTER_TO_UINT (g_hash_table_lookup (received.agents, "agent-0")), ==,
      0);
  g_hash_table_unref (received.agents);
  g_assert_cmpint (disp_next_due (disp, 1000), ==, CFD_TIME_NEVER);
  /* Work that was never announced needs no withdrawal.  */
  set_waiting (disp, "b", 1, 1000);
  set_waiting (disp, "b", 0, 1000);
  g_assert_cmpuint (count_recipients (disp, 2000), ==, 0);
}

static void
test_link_restored (void)
{
  /* An agent's link was lost and restored.  That agent alone receives all work
     again, in one full announcement.  */
  g_autoptr (disp_t) disp = disp_new (7);
  received_t received;

  set_agents (disp, 2);
  set_waiting (disp, "a", 1, 0);
  set_waiting (disp, "b", 1, 0);
  g_assert_cmpuint (count_recipients (disp, 0), ==, 2);
  g_assert_cmpuint (count_recipients (disp, 5), ==, 0);
  disp_record_link_up (disp, "agent-1");
  g_assert_cmpint (disp_next_due (disp, 10), <=, 10);
  received = send_due (disp, 10);
  g_assert_cmpuint (received.frames, ==, 1);
  g_assert_cmpuint (received.full, ==, 1);
  g_assert_cmpuint (received.entries, ==, 2);
  g_assert_true (g_hash_table_contains (received.agents, "agent-1"));
  g_hash_table_unref (received.agents);
}

static void
test_new_agent (void)
{
  g_autoptr (disp_t) disp = disp_new (7);

  set_waiting (disp, "a", 1, 0);
  g_assert_cmpuint (count_recipients (disp, 0), ==, 0);
  set_agents (disp, 1);
  g_assert_cmpuint (count_recipients (disp, 1), ==, 1);
}

static void
test_correction_when_behind (void)
{
  /* Two accounts wait.  One is served at the average rate, one not at all.
     Agents extrapolate both alike, so the second would look served until the
     next refresh; a correction for it alone must be sent at once.  */
  g_autoptr (disp_t) disp = disp_new (7);
  msg_waiting_t served = { .account = "a", .count = 9 };
  msg_waiting_t starved = { .account = "b", .count = 9 };
  received_t received;
  cfd_time_t start = 1000;
  cfd_time_t end = start + DISP_SMALL_FLEET_REFRESH_MS - DISP_EARLY_REFRESH_MS;
  cfd_time_t now;

  set_agents (disp, 1);
  disp_update_waiting (disp, "draft", &served, start);
  disp_update_waiting (disp, "draft", &starved, start);
  count_recipients (disp, start);
  for (now = start + 50; now < end; now += 50)
    {
      served.virtual_time = 10.0 * (double)(now - start);
      disp_update_waiting (disp, "draft", &served, now);
      disp_update_waiting (disp, "draft", &starved, now);
      if (disp_next_due (disp, now) <= now)
        break;
    }
  g_assert_cmpint (now, <, end);
  received = send_due (disp, now);
  g_assert_cmpuint (received.entries, ==, 1);
  g_hash_table_unref (received.agents);
}

static bool
receives (disp_t *disp, const char *agent, cfd_time_t now)
{
  received_t received = send_due (disp, now);
  bool is_recipient = g_hash_table_contains (received.agents, agent);

  g_hash_table_unref (received.agents);
  return is_recipient;
}

static void
test_answer_updates_view (void)
{
  /* One of two agents made a grant and received the newest numbers with the
     answer.  The correction, needed when the account falls behind the view of
     the other agent, and the withdrawal are not sent to it.  It is refreshed
     before its entry expires.  */
  g_autoptr (disp_t) disp = disp_new (7);
  msg_waiting_t waiting = { "a", 9, 0, 0, 1000 };
  const msg_waiting_t none = { "a", 0, 0, 0, 400 };
  cfd_time_t now = 1000;

  set_agents (disp, 2);
  disp_update_waiting (disp, "draft", &waiting, now);
  g_assert_cmpuint (count_recipients (disp, now), ==, 2);
  waiting.virtual_time = 400;
  now += DISP_CORRECTION_INTERVAL_MS;
  disp_record_answer (disp, "draft", "agent-0", &waiting, now);
  disp_update_waiting (disp, "draft", &waiting, now);
  g_assert_cmpint (disp_next_due (disp, now), <=, now);
  g_assert_cmpuint (count_recipients (disp, now), ==, 1);
  for (; now < 1000 + DISP_LIFETIME_MS; now += DISP_CHECK_INTERVAL_MS)
    if (receives (disp, "agent-0", now))
      break;
  g_assert_cmpint (now, <, 1000 + DISP_LIFETIME_MS);
  disp_record_answer (disp, "draft", "agent-0", &none, now);
  disp_update_waiting (disp, "draft", &none, now);
  now += DISP_WITHDRAWAL_DELAY_MS;
  g_assert_cmpuint (count_recipients (disp, now), ==, 1);
}

static void
test_set_changed_while_withdrawn (void)
{
  /* Work ends and the set of agents changes before the withdrawal is sent.
     The ranks have changed, so all agents must receive the withdrawal, or they
     would offer slots for work that is gone until the entry expires.  */
  g_autoptr (disp_t) disp = disp_new (7);

  set_agents (disp, 2);
  set_waiting (disp, "a", 1, 1000);
  count_recipients (disp, 1000);
  set_waiting (disp, "a", 0, 1010);
  set_agents (disp, 2);
  g_assert_cmpuint (count_recipients (disp, 1010 + DISP_WITHDRAWAL_DELAY_MS),
                    ==, 2);
}

/* The target size: 1,800 pairs of account and service wait at one router with
   600 agents.  Prints the cost; asserts only that each pair is announced to
   its initial agents and no others.  */
static void
test_scale (void)
{
  g_autoptr (disp_t) disp = disp_new (7);
  received_t received;
  int64_t began;

  set_agents (disp, 600);
  for (unsigned i = 0; i < 1800; i++)
    {
      g_autofree char *account = g_strdup_printf ("account-%u", i);

      set_waiting (disp, account, 1, 0);
    }
  began = clock_now_us ();
  received = send_due (disp, 0);
  g_test_message ("1,800 pairs to 600 agents: %u frames, %u entries, %" PRIi64
                  " us",
                  received.frames, received.entries, clock_now_us () - began);
  g_assert_cmpuint (received.entries, ==, 1800 * DISP_INITIAL_AGENTS);
  g_hash_table_unref (received.agents);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/disp/fanout", test_fanout);
  g_test_add_func ("/disp/served-does-not-widen", test_served_does_not_widen);
  g_test_add_func ("/disp/small-fleet-widens", test_small_fleet_widens);
  g_test_add_func ("/disp/withdrawal", test_withdrawal);
  g_test_add_func ("/disp/link-restored", test_link_restored);
  g_test_add_func ("/disp/new-agent", test_new_agent);
  g_test_add_func ("/disp/behind", test_correction_when_behind);
  g_test_add_func ("/disp/answered", test_answer_updates_view);
  g_test_add_func ("/disp/set-changed-while-withdrawn",
                   test_set_changed_while_withdrawn);
  g_test_add_func ("/disp/scale", test_scale);
  return g_test_run ();
}
