/* The scheduler of the soak's faults.  */

#include "soak-private.h"

#include <stdio.h>
#include <string.h>

#define MIN_PAUSE_MS 400
#define MAX_PAUSE_MS 2500
/* Pause between faults when only one kind is injected.  */
#define MIN_QUICK_PAUSE_MS 200
#define MAX_QUICK_PAUSE_MS 500

static void
active_fault_free (gpointer data)
{
  active_fault_t *active = data;

  g_free (active->group);
  g_free (active);
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
faults_new (fleet_t *fleet, uint64_t seed, const char *only_kind,
            unsigned kind_count)
{
  const fault_t *kind = only_kind != NULL ? find_kind (only_kind) : NULL;
  faults_t *faults;

  if (only_kind != NULL && kind == NULL)
    return NULL;
  faults = g_new0 (faults_t, 1);
  faults->only_kind = kind;
  faults->fleet = fleet;
  faults->kind_count = kind_count == 0 ? fault_kind_count
                                       : MIN (kind_count, fault_kind_count);
  faults->rand = g_rand_new_with_seed ((guint32)seed);
  faults->active = g_ptr_array_new_with_free_func (active_fault_free);
  faults->injected = g_new0 (unsigned, fault_kind_count);
  return faults;
}

void
faults_free (faults_t *faults)
{
  if (faults == NULL)
    return;
  g_rand_free (faults->rand);
  g_ptr_array_unref (faults->active);
  g_free (faults->injected);
  g_free (faults);
}

static unsigned
choose_kind (faults_t *faults)
{
  if (faults->only_kind != NULL)
    return (unsigned)(faults->only_kind - fault_kinds);
  return (unsigned)g_rand_int_range (faults->rand, 0,
                                     (gint32)faults->kind_count);
}

static cfd_time_t
choose_pause_ms (faults_t *faults)
{
  if (faults->only_kind != NULL)
    return g_rand_int_range (faults->rand, MIN_QUICK_PAUSE_MS,
                             MAX_QUICK_PAUSE_MS);
  return g_rand_int_range (faults->rand, MIN_PAUSE_MS, MAX_PAUSE_MS);
}

static void
inject_one (faults_t *faults, cfd_time_t now)
{
  unsigned kind = choose_kind (faults);
  active_fault_t *active = g_new0 (active_fault_t, 1);

  active->fault = &fault_kinds[kind];
  if (!active->fault->inject (faults, active))
    {
      active_fault_free (active);
      return;
    }
  faults->injected[kind]++;
  active->started_at = clock_now ();
  active->ends_at
      = now
        + g_rand_int_range (faults->rand, (gint32)active->fault->min_ms,
                            (gint32)active->fault->max_ms);
  g_ptr_array_add (faults->active, active);
  printf ("soak: %s %s%u\n", active->fault->name,
          active->group != NULL ? active->group : "", active->target);
}

static void
revert_due (faults_t *faults, cfd_time_t now)
{
  for (guint i = faults->active->len; i > 0; i--)
    {
      active_fault_t *active = g_ptr_array_index (faults->active, i - 1);

      if (active->ends_at > now)
        continue;
      /* The write would fail, and the zone stay out for the rest of the
         run.  */
      if (active->fault->needs_platform && faults->platform_faulty)
        continue;
      active->fault->revert (faults, active);
      g_ptr_array_remove_index (faults->active, i - 1);
    }
}

static void
restart_exited (faults_t *faults, fleet_role_t role)
{
  for (unsigned i = 0; i < fleet_count_members (faults->fleet, role); i++)
    {
      proc_t *proc = fleet_get_process (faults->fleet, role, i);
      g_autoptr (GError) error = NULL;

      if (faults_is_target (faults, role, i) || proc_is_running (proc))
        continue;
      faults->unexpected_exits++;
      fprintf (stderr, "soak: %s exited unexpectedly; its log is in %s\n",
               proc->name,
               proc_set_get_log_dir (fleet_get_processes (faults->fleet)));
      (void)proc_restart (fleet_get_processes (faults->fleet), proc, &error);
    }
}

void
faults_step (faults_t *faults, cfd_time_t now)
{
  restart_exited (faults, FLEET_ROUTER);
  restart_exited (faults, FLEET_AGENT);
  revert_due (faults, now);
  if (now < faults->next_at)
    return;
  if (faults->next_at != 0)
    inject_one (faults, now);
  faults->next_at = now + choose_pause_ms (faults);
}

/* Zones that were out for less than ZONE_GRACE_MS count no violations.  */
void
faults_revert_all (faults_t *faults, cfd_time_t now)
{
  /* The first pass may skip faults that need the platform, and reverts those
     of the platform itself; the second one reverts the rest.  */
  revert_due (faults, CFD_TIME_NEVER);
  revert_due (faults, CFD_TIME_NEVER);
  restart_exited (faults, FLEET_ROUTER);
  restart_exited (faults, FLEET_AGENT);
}

unsigned
faults_zone_violations (const faults_t *faults)
{
  return faults->zone_violations;
}

unsigned
faults_race_violations (const faults_t *faults)
{
  return faults->race_violations;
}

unsigned
faults_unexpected_exits (const faults_t *faults)
{
  return faults->unexpected_exits;
}

void
faults_print (const faults_t *faults)
{
  printf ("faults:");
  for (unsigned i = 0; i < fault_kind_count; i++)
    printf (" %s %u", fault_kinds[i].name, faults->injected[i]);
  printf ("\n");
}
