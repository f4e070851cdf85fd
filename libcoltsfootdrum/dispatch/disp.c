#include "dispatch/disp-private.h"

#include <string.h>

struct disp
{
  GHashTable *services; /* name to service_t */
  GRand *random;
  cfd_time_t next;
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
  disp->next = CFD_TIME_NEVER;
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
make_due (disp_t *disp, entry_t *entry, cfd_time_t due)
{
  entry->due = MIN (entry->due, due);
  disp->next = MIN (disp->next, entry->due);
}

void
disp_set_agents (disp_t *disp, const char *name, const GPtrArray *names)
{
  service_t *service = find_or_add (disp, name);
  GPtrArray *former = service->agents;
  GHashTableIter iter;
  gpointer value;

  service->agents = g_ptr_array_new_with_free_func (agent_free);
  for (guint i = 0; i < names->len; i++)
    {
      agent_t *agent = g_new0 (agent_t, 1);

      agent->name = g_strdup (names->pdata[i]);
      agent->entries = g_array_new (false, false, sizeof (msg_waiting_t));
      agent->forgot = true;
      agent->reach = reach_fresh;
      g_ptr_array_add (service->agents, agent);
    }
  for (guint i = 0; i < former->len; i++)
    {
      const agent_t *old = former->pdata[i];
      agent_t *agent = find_agent (service, old->name);

      if (agent == NULL)
        continue;
      agent->forgot = old->forgot;
      agent->reach = old->reach;
    }
  g_ptr_array_unref (former);
  service->refresh_ms = names->len <= DISP_SMALL_FLEET_AGENTS
                            ? DISP_SMALL_FLEET_REFRESH_MS
                            : DISP_REFRESH_MS;
  g_hash_table_iter_init (&iter, service->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      disp_entry_forget_ranks (service, value);
      make_due (disp, value, 0);
    }
}

static entry_t *
add_entry (disp_t *disp, service_t *service, const char *account,
           cfd_time_t now)
{
  entry_t *entry
      = disp_entry_new (service, account, order_draw (disp->random), now);

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
  if (waiting->count == 0 && entry->width == 0)
    {
      g_hash_table_remove (service->entries, entry->account);
      return;
    }
  due = disp_entry_take (service, entry, waiting, now);
  if (due != CFD_TIME_NEVER)
    make_due (disp, entry, due);
}

/* Tells AGENT what was gathered, in frames of a bounded size; whether that
   gave a reason to doubt it.  */
static bool
tell_agent (const service_t *service, agent_t *agent, cfd_time_t now,
            disp_send_t *tell, void *user)
{
  const msg_waiting_t *entries = (const msg_waiting_t *)agent->entries->data;
  bool doubted = reach_is_doubted (&agent->reach, now);
  guint told = 0;

  while (told < agent->entries->len)
    {
      msg_announce_t announce = { .service = service->name,
                                  .full = agent->forgot,
                                  .life_ms = DISP_LIFETIME_MS,
                                  .entries = entries + told };

      announce.count = MIN (agent->entries->len - told, MSG_ENTRIES_MAX);
      told += announce.count;
      agent->forgot = false;
      reach_told (&agent->reach, tell (user, agent->name, &announce), now);
    }
  agent->must_hear = false;
  g_array_set_size (agent->entries, 0);
  return !doubted && reach_is_doubted (&agent->reach, now);
}

/* An agent turned out to be out of reach: what waits looks for others.  */
static void
look_again (disp_t *disp, const service_t *service, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, service->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const entry_t *)value)->waiting.count > 0)
      make_due (disp, value, now);
}

/* Takes the turns of what is due; adds what is over to ENDED.  */
static void
take_turns (disp_t *disp, service_t *service, GPtrArray *ended, cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, service->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;
      bool due = entry->due <= now;

      if (due)
        disp_entry_turn (service, entry, now);
      if (due || service->any_forgot)
        disp_entry_find_hearers (service, entry, due, now);
      if (due && entry->waiting.count == 0)
        g_ptr_array_add (ended, entry->account);
      else
        disp->next = MIN (disp->next, entry->due);
    }
  service->any_forgot = false;
}

static void
service_due (disp_t *disp, service_t *service, cfd_time_t now,
             disp_send_t *tell, void *user)
{
  g_autoptr (GPtrArray) ended = g_ptr_array_new ();
  bool any_doubt = false;
  GHashTableIter iter;
  gpointer value;

  if (service->agents->len == 0)
    return;
  take_turns (disp, service, ended, now);
  g_hash_table_iter_init (&iter, service->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    disp_entry_gather (service, value, now);
  for (guint i = 0; i < service->agents->len; i++)
    any_doubt
        |= tell_agent (service, service->agents->pdata[i], now, tell, user);
  for (guint i = 0; i < ended->len; i++)
    g_hash_table_remove (service->entries, ended->pdata[i]);
  if (any_doubt)
    look_again (disp, service, now);
}

void
disp_send_due (disp_t *disp, cfd_time_t now, disp_send_t *tell, void *user)
{
  GHashTableIter iter;
  gpointer value;

  if (now < disp->next)
    return;
  disp->next = CFD_TIME_NEVER;
  g_hash_table_iter_init (&iter, disp->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    service_due (disp, value, now, tell, user);
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
    disp_entry_answered (service, entry, agent, left, now);
}

/* Calls ACT for the agent NAME of each service that has it.  */
static void
each_named (disp_t *disp, const char *name,
            void (*act) (disp_t *disp, service_t *service, agent_t *agent,
                         cfd_time_t now),
            cfd_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, disp->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      agent_t *agent = find_agent (value, name);

      if (agent != NULL)
        act (disp, value, agent, now);
    }
}

static void
forget (disp_t *disp, service_t *service, agent_t *agent, cfd_time_t now)
{
  agent->reach = reach_fresh;
  agent->forgot = true;
  service->any_forgot = true;
  disp->next = 0;
}

void
disp_record_link_up (disp_t *disp, const char *name)
{
  each_named (disp, name, forget, 0);
}

static void
lose (disp_t *disp, service_t *service, agent_t *agent, cfd_time_t now)
{
  reach_lost (&agent->reach, now);
  look_again (disp, service, now);
}

void
disp_record_link_lost (disp_t *disp, const char *name, cfd_time_t now)
{
  each_named (disp, name, lose, now);
}

cfd_time_t
disp_next_due (const disp_t *disp, cfd_time_t now)
{
  return disp->next;
}

static unsigned
service_doubted (const service_t *service, cfd_time_t now)
{
  unsigned doubted = 0;

  for (guint i = 0; i < service->agents->len; i++)
    {
      const agent_t *agent = service->agents->pdata[i];

      doubted += reach_is_doubted (&agent->reach, now);
    }
  return doubted;
}

unsigned
disp_count_suspect_agents (const disp_t *disp, cfd_time_t now)
{
  unsigned doubted = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, disp->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    doubted += service_doubted (value, now);
  return doubted;
}

unsigned
disp_fanout (const disp_t *disp, const char *name, const char *account)
{
  const service_t *service = g_hash_table_lookup (disp->services, name);
  const entry_t *entry = find_entry (service, account);

  return entry != NULL ? entry->width : 0;
}
