/* The soak's race of two operators.  Both update one member of a record with
   cfdctl, conditional on the same version, while the platform loses answers.
   At most one update may succeed, and the exit status of each cfdctl must
   agree with the stored record.  */

#include "soak-private.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <sys/wait.h>

#define RECORD "client-account alpha"
#define OBJECT_PATH "/v1/objects/client-account/alpha"
/* Values that no other writer uses, and too large to limit a queue here.  */
#define FIRST_VALUE 100000u

typedef enum
{
  CFDCTL_DONE = 0,
  CFDCTL_CONFLICT = 3
} cfdctl_status_t;

/* Reads the record's queue_max, 0 when it can't be read, and sets *VERSION
   unless VERSION is NULL.  */
static unsigned
read_record (const faults_t *faults, char **version)
{
  g_autofree char *base = fleet_get_url (faults->fleet, FLEET_PLATFORM, 0);
  g_autofree char *url = g_strconcat (base, OBJECT_PATH, NULL);
  long status = 0;
  g_autofree char *text = proc_send_http (NULL, url, NULL, NULL, &status);
  g_autoptr (JsonNode) node
      = status == 200 ? json_from_string (text, NULL) : NULL;
  JsonObject *object;

  if (node == NULL)
    return 0;
  object = json_node_get_object (node);
  if (version != NULL)
    *version = g_strdup (json_object_get_string_member (object, "version"));
  return (unsigned)json_object_get_int_member_with_default (
      json_object_get_object_member (object, "spec"), "queue_max", 0);
}

static GPid
start_operator (const faults_t *faults, const char *version, unsigned value)
{
  g_autofree char *build = proc_get_build_dir ();
  g_autofree char *platform = fleet_get_url (faults->fleet, FLEET_PLATFORM, 0);
  g_autofree char *command = g_strdup_printf (
      "%s/cli/cfdctl --platform %s set " RECORD " queue_max=%u --if-version "
      "%s",
      build, platform, value, version);
  g_auto (GStrv) argv = g_strsplit (command, " ", -1);
  GPid pid = 0;

  (void)g_spawn_async (NULL, argv, NULL,
                       G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL
                           | G_SPAWN_STDERR_TO_DEV_NULL,
                       NULL, NULL, &pid, NULL);
  return pid;
}

bool
race_inject (faults_t *faults, active_fault_t *active)
{
  g_autofree char *version = NULL;

  if (faults->platform_faulty)
    return false;
  (void)read_record (faults, &version);
  if (version == NULL
      || !faults_set_platform_mode (faults, "{\"mode\":\"lose-answer\"}"))
    return false;
  faults->platform_faulty = true;
  active->role = FLEET_PLATFORM;
  active->value = FIRST_VALUE + 2 * faults->race_count++;
  for (unsigned i = 0; i < RACE_OPERATORS; i++)
    active->operators[i] = start_operator (faults, version, active->value + i);
  return true;
}

static int
wait_for_exit_status (GPid pid)
{
  int status = 0;

  if (pid <= 0 || waitpid (pid, &status, 0) != pid || !WIFEXITED (status))
    return -1;
  g_spawn_close_pid (pid);
  return WEXITSTATUS (status);
}

void
race_revert (faults_t *faults, active_fault_t *active)
{
  int statuses[RACE_OPERATORS];
  unsigned value;

  for (unsigned i = 0; i < RACE_OPERATORS; i++)
    statuses[i] = wait_for_exit_status (active->operators[i]);
  (void)faults_set_platform_mode (faults, "{\"mode\":\"up\"}");
  faults->platform_faulty = false;
  value = read_record (faults, NULL);
  for (unsigned i = 0; i < RACE_OPERATORS; i++)
    {
      bool is_stored = value == active->value + i;

      if (statuses[i] == CFDCTL_DONE
              ? is_stored
              : statuses[i] != CFDCTL_CONFLICT || !is_stored)
        continue;
      faults->race_violations++;
      fprintf (stderr,
               "soak: cfdctl exited with %d, but the record has %u after it "
               "wrote %u\n",
               statuses[i], value, active->value + i);
    }
}
