#include "soak-private.h"

#include <stdio.h>
#include <string.h>

#define PAUSE_LEAST_MS 400
#define PAUSE_MOST_MS 2500
/* Between faults of one kind alone.  */
#define QUICK_LEAST_MS 200
#define QUICK_MOST_MS 500

static void
running_free (gpointer data)
{
  running_t *running = data;

  g_free (running->group);
  g_free (running);
}

static const fault_t *
find_kind (const char *name)
{
  for (unsigned i = 0; i < fault_kind_count; i++)
    if (strcmp (fault_kinds[i].name, name) == 0)
      return &fault_kinds[i];
  return NULL;
}

faults_t *
faults_new (fleet_t *fleet, uint64_t seed, const char *only, unsigned kinds)
{
  const fault_t *kind = only != NULL ? find_kind (only) : NULL;
  faults_t *faults;

  if (only != NULL && kind == NULL)
    return NULL;
  faults = g_new0 (faults_t, 1);
  faults->only = kind;
  faults->fleet = fleet;
  faults->kinds
      = kinds == 0 ? fault_kind_count : MIN (kinds, fault_kind_count);
  faults->rand = g_rand_new_with_seed ((guint32)seed);
  faults->running = g_ptr_array_new_with_free_func (running_free);
  faults->done = g_new0 (unsigned, fault_kind_count);
  return faults;
}

void
faults_free (faults_t *faults)
{
  if (faults == NULL)
    return;
  g_rand_free (faults->rand);
  g_ptr_array_unref (faults->running);
  g_free (faults->done);
  g_free (faults);
}

static unsigned
choose_kind (faults_t *faults)
{
  if (faults->only != NULL)
    return (unsigned)(faults->only - fault_kinds);
  return (unsigned)g_rand_int_range (faults->rand, 0, (gint32)faults->kinds);
}

static cfd_time_t
choose_pause (faults_t *faults)
{
  if (faults->only != NULL)
    return g_rand_int_range (faults->rand, QUICK_LEAST_MS, QUICK_MOST_MS);
  return g_rand_int_range (faults->rand, PAUSE_LEAST_MS, PAUSE_MOST_MS);
}

static void
begin_one (faults_t *faults, cfd_time_t now)
{
  unsigned kind = choose_kind (faults);
  running_t *running = g_new0 (running_t, 1);

  running->fault = &fault_kinds[kind];
  if (!running->fault->begin (faults, running))
    {
      running_free (running);
      return;
    }
  faults->done[kind]++;
  running->began = clock_now ();
  running->until
      = now
        + g_rand_int_range (faults->rand, (gint32)running->fault->least_ms,
                            (gint32)running->fault->most_ms);
  g_ptr_array_add (faults->running, running);
  printf ("soak: %s %s%u\n", running->fault->name,
          running->group != NULL ? running->group : "", running->victim);
}

static void
end_due (faults_t *faults, cfd_time_t now)
{
  for (guint i = faults->running->len; i > 0; i--)
    {
      running_t *running = g_ptr_array_index (faults->running, i - 1);

      if (running->until > now)
        continue;
      /* Else the zone would stay out for the rest of the run.  */
      if (running->fault->needs_platform && faults->platform_faulty)
        continue;
      running->fault->end (faults, running);
      g_ptr_array_remove_index (faults->running, i - 1);
    }
}

static void
look_for_deaths (faults_t *faults, fleet_role_t sort)
{
  for (unsigned i = 0; i < fleet_count_members (faults->fleet, sort); i++)
    {
      proc_t *proc = fleet_get_process (faults->fleet, sort, i);
      g_autoptr (GError) error = NULL;

      if (faults_is_victim (faults, sort, i) || proc_is_running (proc))
        continue;
      faults->deaths++;
      fprintf (stderr, "soak: %s ended by itself; its log is in %s\n",
               proc->name,
               proc_set_get_log_dir (fleet_get_processes (faults->fleet)));
      (void)proc_restart (fleet_get_processes (faults->fleet), proc, &error);
    }
}

void
faults_step (faults_t *faults, cfd_time_t now)
{
  look_for_deaths (faults, FLEET_ROUTER);
  look_for_deaths (faults, FLEET_AGENT);
  end_due (faults, now);
  if (now < faults->next)
    return;
  if (faults->next != 0)
    begin_one (faults, now);
  faults->next = now + choose_pause (faults);
}

/* Zones that have not been out for the grace are not judged.  */
void
faults_end (faults_t *faults, cfd_time_t now)
{
  /* First the platform's faults, then what waits for it.  */
  end_due (faults, CFD_TIME_NEVER);
  end_due (faults, CFD_TIME_NEVER);
  look_for_deaths (faults, FLEET_ROUTER);
  look_for_deaths (faults, FLEET_AGENT);
}

unsigned
faults_zone_violations (const faults_t *faults)
{
  return faults->violations;
}

unsigned
faults_race_violations (const faults_t *faults)
{
  return faults->race_violations;
}

unsigned
faults_deaths (const faults_t *faults)
{
  return faults->deaths;
}

void
faults_print (const faults_t *faults)
{
  printf ("faults:");
  for (unsigned i = 0; i < fault_kind_count; i++)
    printf (" %s %u", fault_kinds[i].name, faults->done[i]);
  printf ("\n");
}
