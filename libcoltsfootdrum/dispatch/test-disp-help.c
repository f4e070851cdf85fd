#include "dispatch/test-disp-help.h"

#include <stdlib.h>
#include <string.h>

bool
has_link (const heard_t *heard, const char *agent)
{
  return strtoul (agent + strlen ("agent-"), NULL, 10) >= heard->dead;
}

reach_result_t
tell (void *user, const char *agent, const msg_announce_t *announce)
{
  heard_t *heard = user;

  heard->frames++;
  heard->entries += announce->count;
  heard->full += announce->full;
  g_assert_cmpuint (announce->count, <=, MSG_ENTRIES_MAX);
  for (uint32_t i = 0; i < announce->count; i++)
    g_hash_table_replace (heard->agents, g_strdup (agent),
                          GUINT_TO_POINTER (announce->entries[i].count));
  if (has_link (heard, agent))
    return REACH_SENT;
  return heard->frozen ? REACH_UNRESPONSIVE : REACH_DIALLING;
}

heard_t
due_with_dead (disp_t *disp, unsigned dead, cfd_time_t now)
{
  heard_t heard = { .agents = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                     g_free, NULL),
                    .dead = dead };

  disp_send_due (disp, now, tell, &heard);
  return heard;
}

heard_t
due (disp_t *disp, cfd_time_t now)
{
  return due_with_dead (disp, 0, now);
}

unsigned
agents_told (disp_t *disp, cfd_time_t now)
{
  heard_t heard = due (disp, now);
  unsigned count = g_hash_table_size (heard.agents);

  g_hash_table_unref (heard.agents);
  return count;
}

void
set_agents (disp_t *disp, unsigned count)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GRand) random = g_rand_new_with_seed (count);

  for (unsigned i = 0; i < count; i++)
    g_ptr_array_insert (names, g_rand_int_range (random, 0, (int)i + 1),
                        g_strdup_printf ("agent-%u", i));
  disp_set_agents (disp, "draft", names);
}

void
wait_for (disp_t *disp, const char *account, unsigned count, cfd_time_t now)
{
  msg_waiting_t waiting = { .account = account, .count = count };

  disp_update_waiting (disp, "draft", &waiting, now);
}
