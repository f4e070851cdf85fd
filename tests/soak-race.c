/* The soak's race of two operators: both change one member of a record under
   the version that both read, while the platform loses answers.  At most one
   may have it done, and what each is told must be true.  */

#include "soak-private.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <sys/wait.h>

#define RECORD "client-account alpha"
#define OBJECT "/v1/objects/client-account/alpha"
/* Values that nothing else writes; all of them bound no queue here.  */
#define FIRST_VALUE 100000u

typedef enum
{
  TOLD_DONE = 0,
  TOLD_OTHER_FIRST = 3
} told_t;

/* The record's version or, with it NULL, its value; 0 when it can't be read.
 */
static unsigned
read_record (const faults_t *faults, char **version)
{
  g_autofree char *base = fleet_get_url (faults->fleet, FLEET_PLATFORM, 0);
  g_autofree char *url = g_strconcat (base, OBJECT, NULL);
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
  g_autofree char *line = g_strdup_printf (
      "%s/cli/cfdctl --platform %s set " RECORD " queue_max=%u --if-version "
      "%s",
      build, platform, value, version);
  g_auto (GStrv) words = g_strsplit (line, " ", -1);
  GPid pid = 0;

  (void)g_spawn_async (NULL, words, NULL,
                       G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL
                           | G_SPAWN_STDERR_TO_DEV_NULL,
                       NULL, NULL, &pid, NULL);
  return pid;
}

bool
race_begin (faults_t *faults, running_t *running)
{
  g_autofree char *version = NULL;

  if (faults->platform_faulty)
    return false;
  (void)read_record (faults, &version);
  if (version == NULL
      || !faults_platform (faults, "{\"mode\":\"lose-answer\"}"))
    return false;
  faults->platform_faulty = true;
  running->sort = FLEET_PLATFORM;
  running->value = FIRST_VALUE + 2 * faults->races++;
  for (unsigned i = 0; i < RACERS; i++)
    running->operators[i]
        = start_operator (faults, version, running->value + i);
  return true;
}

static int
wait_for_word (GPid pid)
{
  int status = 0;

  if (pid <= 0 || waitpid (pid, &status, 0) != pid || !WIFEXITED (status))
    return -1;
  g_spawn_close_pid (pid);
  return WEXITSTATUS (status);
}

void
race_end (faults_t *faults, running_t *running)
{
  int told[RACERS];
  unsigned value;

  for (unsigned i = 0; i < RACERS; i++)
    told[i] = wait_for_word (running->operators[i]);
  (void)faults_platform (faults, "{\"mode\":\"up\"}");
  faults->platform_faulty = false;
  value = read_record (faults, NULL);
  for (unsigned i = 0; i < RACERS; i++)
    {
      bool is_in_force = value == running->value + i;

      if (told[i] == TOLD_DONE ? is_in_force
                               : told[i] != TOLD_OTHER_FIRST || !is_in_force)
        continue;
      faults->race_violations++;
      fprintf (stderr,
               "soak: an operator was told %d, the record has %u and "
               "not %u\n",
               told[i], value, running->value + i);
    }
}
