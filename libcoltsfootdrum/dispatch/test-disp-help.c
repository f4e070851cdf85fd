#include "dispatch/test-disp-help.h"

#include <stdlib.h>
#include <string.h>

bool
has_link (const received_t *received, const char *agent)
{
  return strtoul (agent + strlen ("agent-"), NULL, 10)
         >= received->unreachable;
}

reach_result_t
record_announcement (void *user, const char *agent,
                     const msg_announce_t *announce)
{
  received_t *received = user;

  received->frames++;
  received->entries += announce->count;
  received->full += announce->full;
  g_assert_cmpuint (announce->count, <=, MSG_ENTRIES_MAX);
  for (uint32_t i = 0; i < announce->count; i++)
    g_hash_table_replace (received->agents, g_strdup (agent),
                          GUINT_TO_POINTER (announce->entries[i].count));
  if (has_link (received, agent))
    return REACH_SENT;
  return received->unresponsive ? REACH_UNRESPONSIVE : REACH_DIALLING;
}

received_t
send_due_with_unreachable (disp_t *disp, unsigned unreachable, cfd_time_t now)
{
  received_t received = { .agents = g_hash_table_new_full (
                              g_str_hash, g_str_equal, g_free, NULL),
                          .unreachable = unreachable };

  disp_send_due (disp, now, record_announcement, &received);
  return received;
}

received_t
send_due (disp_t *disp, cfd_time_t now)
{
  return send_due_with_unreachable (disp, 0, now);
}

unsigned
count_recipients (disp_t *disp, cfd_time_t now)
{
  received_t received = send_due (disp, now);
  unsigned count = g_hash_table_size (received.agents);

  g_hash_table_unref (received.agents);
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
set_waiting (disp_t *disp, const char *account, unsigned count, cfd_time_t now)
{
  msg_waiting_t waiting = { .account = account, .count = count };

  disp_update_waiting (disp, "draft", &waiting, now);
}
