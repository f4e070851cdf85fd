#include "dispatch/disp-private.h"

#include <string.h>

struct disp
{
  GHashTable *services; /* name to service_t */
  GRand *random;
  cfd_time_t next_due; /* least DUE of all entries, or earlier */
};

static void
agent_free (gpointer data)
{
  agent_t *agent = data;

  g_free (agent->name);
  g_array_unref (agent->entries);
  g_free (agent);
}

static void
service_free (gpointer data)
{
  service_t *service = data;

  g_ptr_array_unref (service->agents);
  g_hash_table_unref (service->entries);
  g_free (service);
}

disp_t *
disp_new (uint64_t seed)
{
  disp_t *disp = g_new0 (disp_t, 1);
  guint32 parts[2] = { (guint32)seed, (guint32)(seed >> 32) };

  disp->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, service_free);
  disp->random = g_rand_new_with_seed_array (parts, G_N_ELEMENTS (parts));
  disp->next_due = CFD_TIME_NEVER;
  return disp;
}

void
disp_free (disp_t *disp)
{
  if (disp == NULL)
    return;
  g_hash_table_unref (disp->services);
  g_rand_free (disp->random);
  g_free (disp);
}

static service_t *
find_or_add (disp_t *disp, const char *name)
{
  service_t *service = g_hash_table_lookup (disp->services, name);
  char *key;

  if (service != NULL)
    return service;
  service = g_new0 (service_t, 1);
  key = g_strdup (name);
  service->name = key;
  service->agents = g_ptr_array_new_with_free_func (agent_free);
  service->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, disp_entry_free);
  g_hash_table_insert (disp->services, key, service);
  return service;
}

static agent_t *
find_agent (const service_t *service, const char *name)
{
  for (guint i = 0; i < service->agents->len; i++)
    {
      agent_t *agent = service->agents->pdata[i];

      if (strcmp (agent->name, name) == 0)
        return agent;
    }
  return NULL;
}

static void
schedule_entry (disp_t *disp, entry_t *entry, cfd_time_t due)
{
  entry->due = MIN (entry->due, due);
  disp->next_due = MIN (disp->next_due, entry->due);
}

void
disp_set_agents (disp_t *disp, const char *name, const GPtrArray *names)
{
  service_t *service = find_or_add (disp, name);
  GPtrArray *previous = service->agents;
  GHashTableIter iter;
  gpointer value;

  service->agents = g_ptr_array_new_with_free_func (agent_free);
  for (guint i = 0; i < names->len; i++)
    {
      agent_t *agent = g_new0 (agent_t, 1);

      agent->name = g_strdup (names->pdata[i]);
      agent->entries = g_array_new (false, false, sizeof (msg_waiting_t));
      agent->needs_full = true;
      agent->reach = reach_initial;
      g_ptr_array_add (service->agents, agent);
    }
  for (guint i = 0; i < previous->len; i++)
    {
      const agent_t *old = previous->pdata[i];
      agent_t *agent = find_agent (service, old->name);

      if (agent == NULL)
        continue;
      agent->needs_full = old->needs_full;
      agent->reach = old->reach;
    }
  g_ptr_array_unref (previous);
  service->refresh_ms = names->len <= DISP_SMALL_FLEET_AGENTS
                            ? DISP_SMALL_FLEET_REFRESH_MS
                            : DISP_REFRESH_MS;
  g_hash_table_iter_init (&iter, service->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      disp_entry_reset_ranks (service, value);
      schedule_entry (disp, value, 0);
    }
}

static entry_t *
add_entry (disp_t *disp, service_t *service, const char *account,
           cfd_time_t now)
{
  entry_t *entry
      = disp_entry_new (service, account, order_create (disp->random), now);

  g_hash_table_insert (service->entries, entry->account, entry);
  return entry;
}

void
disp_update_waiting (disp_t *disp, const char *name,
                     const msg_waiting_t *waiting, cfd_time_t now)
{
  service_t *service = find_or_add (disp, name);
  entry_t *entry = g_hash_table_lookup (service->entries, waiting->account);
  cfd_time_t due;

  if (entry == NULL && waiting->count == 0)
    return;
  if (entry == NULL)
    entry = add_entry (disp, service, waiting->account, now);
  if (waiting->count == 0 && entry->fanout == 0)
    {
      g_hash_table_remove (service->entries, entry->account);
      return;
    }
  due = disp_entry_update (service, entry, waiting, now);
  if (due != CFD_TIME_NEVER)
    schedule_entry (disp, entry, due);
}

/* Sends AGENT its collected entries, in frames of bounded size.  Returns
   whether that made the agent suspect.  */
static bool
send_to_agent (const service_t *service, agent_t *agent, cfd_time_t now,
               disp_send_t *send, void *user)
{
  const msg_waiting_t *entries = (const msg_waiting_t *)agent->entries->data;
  bool was_suspect = reach_is_suspect (&agent->reach, now);
  guint sent = 0;

  while (sent < agent->entries->len)
    {
      msg_announce_t announce = { .service = service->name,
                                  .full = agent->needs_full,
                                  .life_ms = DISP_LIFETIME_MS,
                                  .entries = entries + sent };

      announce.count = MIN (agent->entries->len - sent, MSG_ENTRIES_MAX);
      sent += announce.count;
      agent->needs_full = false;
      reach_record_send (&agent->reach, send (user, agent->name, &announce),
                         now);
    }
  agent->needs_update = false;
  g_array_set_size (agent->entries, 0);
  return !was_suspect && reach_is_suspect (&agent->reach, now);
}

/* Makes all waiting work due after an agent became suspect, so that other
   agents are notified in its place.  */
static void
reschedule_waiting (disp_t *disp, const service_t *service, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, service->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const entry_t *)value)->waiting.count > 0)
      schedule_entry (disp, value, now);
}

/* Schedules the entries that are due and marks their recipients; adds the
   accounts whose entries are to be removed to WITHDRAWN.  */
static void
process_due_entries (disp_t *disp, service_t *service, GPtrArray *withdrawn,
                     cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, service->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;
      bool due = entry->due <= now;

      if (due)
        disp_entry_schedule (service, entry, now);
      if (due || service->any_needs_full)
        disp_entry_mark_recipients (service, entry, due, now);
      if (due && entry->waiting.count == 0)
        g_ptr_array_add (withdrawn, entry->account);
      else
        disp->next_due = MIN (disp->next_due, entry->due);
    }
  service->any_needs_full = false;
}

static void
send_service_due (disp_t *disp, service_t *service, cfd_time_t now,
                  disp_send_t *send, void *user)
{
  g_autoptr (GPtrArray) withdrawn = g_ptr_array_new ();
  bool any_new_suspect = false;
  GHashTableIter iter;
  gpointer value;

  if (service->agents->len == 0)
    return;
  process_due_entries (disp, service, withdrawn, now);
  g_hash_table_iter_init (&iter, service->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    disp_entry_append_updates (service, value, now);
  for (guint i = 0; i < service->agents->len; i++)
    any_new_suspect
        |= send_to_agent (service, service->agents->pdata[i], now, send, user);
  for (guint i = 0; i < withdrawn->len; i++)
    g_hash_table_remove (service->entries, withdrawn->pdata[i]);
  if (any_new_suspect)
    reschedule_waiting (disp, service, now);
}

void
disp_send_due (disp_t *disp, cfd_time_t now, disp_send_t *send, void *user)
{
  GHashTableIter iter;
  gpointer value;

  if (now < disp->next_due)
    return;
  disp->next_due = CFD_TIME_NEVER;
  g_hash_table_iter_init (&iter, disp->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_service_due (disp, value, now, send, user);
}

static entry_t *
find_entry (const service_t *service, const char *account)
{
  return service != NULL ? g_hash_table_lookup (service->entries, account)
                         : NULL;
}

void
disp_record_answer (disp_t *disp, const char *name, const char *agent,
                    const msg_waiting_t *left, cfd_time_t now)
{
  const service_t *service = g_hash_table_lookup (disp->services, name);
  const entry_t *entry = find_entry (service, left->account);

  if (entry != NULL)
    disp_entry_record_answer (service, entry, agent, left, now);
}

/* Calls CALLBACK for the agent NAME in each service that lists it.  */
static void
for_each_agent_named (disp_t *disp, const char *name,
                      void (*callback) (disp_t *disp, service_t *service,
                                        agent_t *agent, cfd_time_t now),
                      cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, disp->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      agent_t *agent = find_agent (value, name);

      if (agent != NULL)
        callback (disp, value, agent, now);
    }
}

static void
handle_link_up (disp_t *disp, service_t *service, agent_t *agent,
                cfd_time_t now)
{
  agent->reach = reach_initial;
  agent->needs_full = true;
  service->any_needs_full = true;
  disp->next_due = 0;
}

void
disp_record_link_up (disp_t *disp, const char *name)
{
  for_each_agent_named (disp, name, handle_link_up, 0);
}

static void
handle_link_lost (disp_t *disp, service_t *service, agent_t *agent,
                  cfd_time_t now)
{
  reach_record_link_lost (&agent->reach, now);
  reschedule_waiting (disp, service, now);
}

void
disp_record_link_lost (disp_t *disp, const char *name, cfd_time_t now)
{
  for_each_agent_named (disp, name, handle_link_lost, now);
}

cfd_time_t
disp_next_due (const disp_t *disp, cfd_time_t now)
{
  return disp->next_due;
}

static unsigned
count_service_suspects (const service_t *service, cfd_time_t now)
{
  unsigned suspects = 0;

  for (guint i = 0; i < service->agents->len; i++)
    {
      const agent_t *agent = service->agents->pdata[i];

      suspects += reach_is_suspect (&agent->reach, now);
    }
  return suspects;
}

unsigned
disp_count_suspect_agents (const disp_t *disp, cfd_time_t now)
{
  unsigned suspects = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, disp->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    suspects += count_service_suspects (value, now);
  return suspects;
}

unsigned
disp_fanout (const disp_t *disp, const char *name, const char *account)
{
  const service_t *service = g_hash_table_lookup (disp->services, name);
  const entry_t *entry = find_entry (service, account);

  return entry != NULL ? entry->fanout : 0;
}
