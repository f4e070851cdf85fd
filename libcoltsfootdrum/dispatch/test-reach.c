/* Agents out of reach: who hears of new work in their place.  */

#include "dispatch/test-disp-help.h"

static unsigned
told_alive (const heard_t *heard)
{
  GHashTableIter iter;
  gpointer name;
  unsigned alive = 0;

  g_hash_table_iter_init (&iter, heard->agents);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    alive += has_link (heard, name);
  return alive;
}

static void
lose (disp_t *disp, unsigned count, cfd_time_t now)
{
  for (unsigned i = 0; i < count; i++)
    {
      g_autofree char *name = g_strdup_printf ("agent-%u", i);

      disp_record_link_lost (disp, name, now);
    }
}

static void
test_lost (void)
{
  /* Of AGENTS the first DEAD lost their links.  New work of 50 accounts, COUNT
     requests each, comes in: each must at once reach as many live agents as it
     would without the loss, or it waits for a widening while slots are free.
     Dead agents are told by the way, but not the whole fleet.  */
  static const struct
  {
    unsigned agents;
    unsigned dead;
    unsigned count;
    unsigned alive;
  } cases[] = {
    { 36, 0, 1, 2 },  { 36, 12, 1, 2 }, { 600, 200, 1, 2 }, { 600, 200, 5, 5 },
    { 36, 35, 1, 0 }, { 36, 36, 1, 0 }, { 10, 3, 1, 2 },    { 600, 600, 1, 0 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    for (unsigned account = 0; account < 50; account++)
      {
        g_autoptr (disp_t) disp = disp_new (account);
        heard_t heard;

        set_agents (disp, cases[i].agents);
        lose (disp, cases[i].dead, 1000);
        wait_for (disp, "a", cases[i].count, 1000);
        heard = due_with_dead (disp, cases[i].dead, 1000);
        g_assert_cmpuint (told_alive (&heard), >=, cases[i].alive);
        g_assert_cmpuint (heard.entries, <=,
                          MAX (DISP_INITIAL_AGENTS, cases[i].count)
                              * DISP_MAX_CANDIDATES_PER_AGENT);
        g_hash_table_unref (heard.agents);
      }
}

static void
test_lost_while_waiting (void)
{
  /* The two agents that heard of the work die before they take it.  Their
     links' end must send the word on at once, not DISP_WIDEN_MS later.  */
  g_autoptr (disp_t) disp = disp_new (7);
  heard_t heard;
  GHashTableIter iter;
  gpointer name;

  set_agents (disp, 600);
  wait_for (disp, "a", 1, 1000);
  heard = due (disp, 1000);
  g_hash_table_iter_init (&iter, heard.agents);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    disp_record_link_lost (disp, name, 1010);
  g_hash_table_unref (heard.agents);
  g_assert_cmpint (disp_next_due (disp, 1010), <=, 1010);
  g_assert_cmpuint (agents_told (disp, 1010), ==, DISP_INITIAL_AGENTS);
}

static void
told_dead (disp_t *disp, cfd_time_t now)
{
  heard_t heard = due_with_dead (disp, 30, now);

  g_hash_table_unref (heard.agents);
}

static void
test_lost_comes_back (void)
{
  /* No word can be sent, and no link comes up in time: all agents are in
     doubt.  Once their links are up they count again, and no more are told
     than in a fleet that never lost one.  */
  g_autoptr (disp_t) disp = disp_new (7);
  cfd_time_t now = 1000;

  set_agents (disp, 30);
  wait_for (disp, "all", 30, now);
  told_dead (disp, now);
  wait_for (disp, "early", 1, now);
  told_dead (disp, now);
  g_assert_cmpuint (disp_fanout (disp, "draft", "early"), ==,
                    DISP_INITIAL_AGENTS);
  now += REACH_DIAL_MS;
  wait_for (disp, "late", 1, now);
  g_assert_cmpuint (disp_count_suspect_agents (disp, now - 1), ==, 0);
  g_assert_cmpuint (disp_count_suspect_agents (disp, now), ==, 30);
  told_dead (disp, now);
  g_assert_cmpuint (disp_fanout (disp, "draft", "late"), ==,
                    DISP_INITIAL_AGENTS * DISP_MAX_CANDIDATES_PER_AGENT);
  for (unsigned i = 0; i < 30; i++)
    {
      g_autofree char *name = g_strdup_printf ("agent-%u", i);

      disp_record_link_up (disp, name);
    }
  g_assert_cmpuint (disp_count_suspect_agents (disp, now), ==, 0);
  wait_for (disp, "back", 1, now);
  agents_told (disp, now);
  g_assert_cmpuint (disp_fanout (disp, "draft", "back"), ==,
                    DISP_INITIAL_AGENTS);
}

static void
test_frozen (void)
{
  /* A third of the agents is frozen, with their links up.  Work whose first
     words go to them would wait for DISP_WIDEN_MS; it must go on to others at
     once.  Thawed, an agent counts again with the next word to it.  */
  for (unsigned account = 0; account < 50; account++)
    {
      g_autoptr (disp_t) disp = disp_new (account);
      heard_t heard = due (disp, 0);

      heard.dead = 200;
      heard.frozen = true;
      set_agents (disp, 600);
      wait_for (disp, "a", 1, 1000);
      for (cfd_time_t now = 1000; now < 1000 + DISP_SMALL_FLEET_WIDEN_MS;
           now++)
        disp_send_due (disp, now, tell, &heard);
      g_assert_cmpuint (told_alive (&heard), >=, DISP_INITIAL_AGENTS);
      g_hash_table_unref (heard.agents);
      wait_for (disp, "thawed", 600, 2000);
      agents_told (disp, 2000);
      wait_for (disp, "b", 1, 2000);
      agents_told (disp, 2000);
      g_assert_cmpuint (disp_fanout (disp, "draft", "b"), ==,
                        DISP_INITIAL_AGENTS);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reach/lost", test_lost);
  g_test_add_func ("/reach/lost-while-waiting", test_lost_while_waiting);
  g_test_add_func ("/reach/lost-comes-back", test_lost_comes_back);
  g_test_add_func ("/reach/frozen", test_frozen);
  return g_test_run ();
}
