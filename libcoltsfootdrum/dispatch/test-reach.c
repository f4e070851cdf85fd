/* Tests of unreachable agents: which others are notified of new work in their
   place.  */

#include "dispatch/test-disp-help.h"

static unsigned
count_reachable_recipients (const received_t *received)
{
  GHashTableIter iter;
  gpointer name;
  unsigned reachable = 0;

  g_hash_table_iter_init (&iter, received->agents);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    reachable += has_link (received, name);
  return reachable;
}

static void
lose_links (disp_t *disp, unsigned count, cfd_time_t now)
{
  for (unsigned i = 0; i < count; i++)
    {
      g_autofree char *name = g_strdup_printf ("agent-%u", i);

      disp_record_link_lost (disp, name, now);
    }
}

static void
test_links_lost (void)
{
  /* Of AGENTS the first UNREACHABLE lost their links.  New work of COUNT
     requests comes in, in 50 random orders of the agents.  It must at once be
     sent to as many reachable agents as without the loss, or it waits for a
     widening while slots are free.  Unreachable agents are notified on the
     way, but not the whole fleet.  */
  static const struct
  {
    unsigned agents;
    unsigned unreachable;
    unsigned count;
    unsigned reachable;
  } cases[] = {
    { 36, 0, 1, 2 },  { 36, 12, 1, 2 }, { 600, 200, 1, 2 }, { 600, 200, 5, 5 },
    { 36, 35, 1, 0 }, { 36, 36, 1, 0 }, { 10, 3, 1, 2 },    { 600, 600, 1, 0 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    for (unsigned account = 0; account < 50; account++)
      {
        g_autoptr (disp_t) disp = disp_new (account);
        received_t received;

        set_agents (disp, cases[i].agents);
        lose_links (disp, cases[i].unreachable, 1000);
        set_waiting (disp, "a", cases[i].count, 1000);
        received
            = send_due_with_unreachable (disp, cases[i].unreachable, 1000);
        g_assert_cmpuint (count_reachable_recipients (&received), >=,
                          cases[i].reachable);
        g_assert_cmpuint (received.entries, <=,
                          MAX (DISP_INITIAL_AGENTS, cases[i].count)
                              * DISP_MAX_CANDIDATES_PER_AGENT);
        g_hash_table_unref (received.agents);
      }
}

static void
test_link_lost_while_waiting (void)
{
  /* The two agents that were notified fail before they take the work.  The
     loss of their links must make others be notified at once, not
     DISP_WIDEN_MS later.  */
  g_autoptr (disp_t) disp = disp_new (7);
  received_t received;
  GHashTableIter iter;
  gpointer name;

  set_agents (disp, 600);
  set_waiting (disp, "a", 1, 1000);
  received = send_due (disp, 1000);
  g_hash_table_iter_init (&iter, received.agents);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    disp_record_link_lost (disp, name, 1010);
  g_hash_table_unref (received.agents);
  g_assert_cmpint (disp_next_due (disp, 1010), <=, 1010);
  g_assert_cmpuint (count_recipients (disp, 1010), ==, DISP_INITIAL_AGENTS);
}

static void
send_to_unreachable (disp_t *disp, cfd_time_t now)
{
  received_t received = send_due_with_unreachable (disp, 30, now);

  g_hash_table_unref (received.agents);
}

static void
test_links_restored (void)
{
  /* Nothing can be sent and no link comes up in time, so all agents become
     suspect.  Once their links are up they count again, and no more agents are
     notified than in a fleet that never lost one.  */
  g_autoptr (disp_t) disp = disp_new (7);
  cfd_time_t now = 1000;

  set_agents (disp, 30);
  set_waiting (disp, "all", 30, now);
  send_to_unreachable (disp, now);
  set_waiting (disp, "early", 1, now);
  send_to_unreachable (disp, now);
  g_assert_cmpuint (disp_fanout (disp, "draft", "early"), ==,
                    DISP_INITIAL_AGENTS);
  now += REACH_DIAL_TIMEOUT_MS;
  set_waiting (disp, "late", 1, now);
  g_assert_cmpuint (disp_count_suspect_agents (disp, now - 1), ==, 0);
  g_assert_cmpuint (disp_count_suspect_agents (disp, now), ==, 30);
  send_to_unreachable (disp, now);
  g_assert_cmpuint (disp_fanout (disp, "draft", "late"), ==,
                    DISP_INITIAL_AGENTS * DISP_MAX_CANDIDATES_PER_AGENT);
  for (unsigned i = 0; i < 30; i++)
    {
      g_autofree char *name = g_strdup_printf ("agent-%u", i);

      disp_record_link_up (disp, name);
    }
  g_assert_cmpuint (disp_count_suspect_agents (disp, now), ==, 0);
  set_waiting (disp, "back", 1, now);
  count_recipients (disp, now);
  g_assert_cmpuint (disp_fanout (disp, "draft", "back"), ==,
                    DISP_INITIAL_AGENTS);
}

static void
test_agents_unresponsive (void)
{
  /* A third of the agents is frozen while their links stay up.  Work first
     announced to them would wait for DISP_WIDEN_MS; it must be announced to
     others at once.  An agent that resumes counts again after the next
     announcement to it.  */
  for (unsigned account = 0; account < 50; account++)
    {
      g_autoptr (disp_t) disp = disp_new (account);
      received_t received = send_due (disp, 0);

      received.unreachable = 200;
      received.unresponsive = true;
      set_agents (disp, 600);
      set_waiting (disp, "a", 1, 1000);
      for (cfd_time_t now = 1000; now < 1000 + DISP_SMALL_FLEET_WIDEN_MS;
           now++)
        disp_send_due (disp, now, record_announcement, &received);
      g_assert_cmpuint (count_reachable_recipients (&received), >=,
                        DISP_INITIAL_AGENTS);
      g_hash_table_unref (received.agents);
      set_waiting (disp, "resumed", 600, 2000);
      count_recipients (disp, 2000);
      set_waiting (disp, "b", 1, 2000);
      count_recipients (disp, 2000);
      g_assert_cmpuint (disp_fanout (disp, "draft", "b"), ==,
                        DISP_INITIAL_AGENTS);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reach/lost", test_links_lost);
  g_test_add_func ("/reach/lost-while-waiting", test_link_lost_while_waiting);
  g_test_add_func ("/reach/lost-comes-back", test_links_restored);
  g_test_add_func ("/reach/frozen", test_agents_unresponsive);
  return g_test_run ();
}
