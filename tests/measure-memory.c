/* Resident memory of idle processes by the number of client accounts: a real
   cfd-router and cfd-agent, started anew when all records are there, as after
   an ordinary replacement.  */

#include "base/clock.h"
#include "config/rec.h"
#include "measure-config.h"
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define BATCH 2000u
#define PATIENCE_MS 30000
#define LOOK_US 50000
#define SETTLE_S 5
#define STOP_MS 5000

static void
add_account (GString *body, unsigned number)
{
  g_autofree char *key = g_strdup_printf ("key-%u", number);
  g_autofree char *hash = rec_hash_key_to_hex (key);

  g_string_append_printf (
      body,
      "%c{\"kind\":\"client-account\",\"name\":\"account-%u\",\"spec\":{"
      "\"schema\":2,\"weight\":1.5,\"keys\":[{\"hash\":\"%s\"}],"
      "\"queue_max\":400}}",
      body->len == 0 ? '[' : ',', number, hash);
}

/* Writes the accounts FROM to UP_TO at once.  */
static bool
write_batch (const fleet_t *fleet, unsigned from, unsigned up_to)
{
  g_autofree char *base = fleet_get_url (fleet, FLEET_PLATFORM, 0);
  g_autofree char *url = g_strconcat (base, "/control/objects", NULL);
  GString *body = g_string_new (NULL);
  long status = 0;

  for (unsigned i = from; i < up_to; i++)
    add_account (body, i);
  g_string_append_c (body, ']');
  g_free (proc_send_http ("POST", url, NULL, body->str, &status));
  g_string_free (body, TRUE);
  return status == 200;
}

static bool
write_accounts (const fleet_t *fleet, unsigned accounts)
{
  for (unsigned from = 0; from < accounts; from += BATCH)
    if (!write_batch (fleet, from, MIN (from + BATCH, accounts)))
      return false;
  return true;
}

/* Starts a member anew and waits until it has REVISION.  */
static bool
start_anew (fleet_t *fleet, fleet_role_t sort, double revision)
{
  proc_t *proc = fleet_get_process (fleet, sort, 0);
  cfd_time_t start = clock_now ();

  proc_stop (proc, SIGTERM, STOP_MS);
  if (!proc_restart (fleet_get_processes (fleet), proc, NULL))
    return false;
  while (fleet_sum_metric (fleet, sort, 0, "cfd_config_revision") < revision)
    {
      if (clock_now () - start > PATIENCE_MS)
        return false;
      g_usleep (LOOK_US);
    }
  return true;
}

/* Megabytes by the line FIELD of the process's status, or -1.  */
static double
status_mb (const proc_t *proc, const char *field)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", (int)proc->pid);
  g_autofree char *text = NULL;
  const char *line;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return -1;
  line = strstr (text, field);
  return line == NULL ? -1
                      : g_ascii_strtod (line + strlen (field), NULL) / 1e3;
}

static void
print_row (const fleet_t *fleet, unsigned accounts)
{
  const proc_t *router = fleet_get_process (fleet, FLEET_ROUTER, 0);
  const proc_t *agent = fleet_get_process (fleet, FLEET_AGENT, 0);

  printf ("%8u %9.1f %9.1f %9.1f %9.1f\n", accounts,
          status_mb (router, "VmRSS:"), status_mb (router, "VmHWM:"),
          status_mb (agent, "VmRSS:"), status_mb (agent, "VmHWM:"));
  fflush (stdout);
}

bool
measure_print_memory (unsigned accounts)
{
  fleet_plan_t plan = { .zones = 1,
                        .routers = 1,
                        .models = 1,
                        .slots = 4,
                        .slots_cold = 1,
                        .step_ms = 10 };
  g_autoptr (GError) error = NULL;
  fleet_t *fleet = fleet_new (&plan, &error);
  double revision;
  bool good;

  if (fleet == NULL)
    {
      fprintf (stderr, "measure-config: %s\n", error->message);
      return false;
    }
  revision = fleet_sum_metric (fleet, FLEET_ROUTER, 0, "cfd_config_revision");
  good = write_accounts (fleet, accounts)
         && start_anew (fleet, FLEET_ROUTER, revision + accounts)
         && start_anew (fleet, FLEET_AGENT, revision + accounts);
  if (good)
    {
      g_usleep (SETTLE_S * G_USEC_PER_SEC);
      print_row (fleet, accounts);
    }
  else
    fprintf (stderr, "measure-config: %u accounts did not arrive\n", accounts);
  fleet_free (fleet, false);
  return good;
}
