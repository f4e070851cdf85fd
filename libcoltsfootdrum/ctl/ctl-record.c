/* create, get, list, set, delete, key-hash.  */

#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

/* A set without --if-version changes single members, so that it can be tried
   again on the newer record when another operator was first.  */
#define SET_TRIES 5
#define KEY_MAX 1024

static const char *const kinds[]
    = { "client-account", "service", "availability-zone", "endpoint", NULL };

static bool
check_kind (const char *kind)
{
  rec_kind_t parsed;
  const char *near;

  if (rec_kind_parse (kind, &parsed))
    return true;
  near = ctl_find_nearest (kind, kinds);
  if (near != NULL)
    (void)ctl_report_usage ("no kind \"%s\"; did you mean %s?", kind, near);
  else
    (void)ctl_report_usage (
        "no kind \"%s\"; there are client-account, service, "
        "availability-zone and endpoint",
        kind);
  return false;
}

static void
print_json (JsonObject *object)
{
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  g_autofree char *text = NULL;

  json_node_set_object (node, object);
  text = json_to_string (node, FALSE);
  puts (text);
}

static char *
spec_text (JsonObject *object)
{
  JsonNode *spec = json_object_get_member (object, "spec");

  return spec != NULL ? json_to_string (spec, FALSE) : g_strdup ("{}");
}

static const char *
text_member (JsonObject *object, const char *name)
{
  return json_object_get_string_member_with_default (object, name, "?");
}

static void
print_record (const ctl_t *ctl, JsonObject *object)
{
  g_autofree char *spec = NULL;

  if (ctl->json)
    {
      print_json (object);
      return;
    }
  spec = spec_text (object);
  printf ("%-18s %-24s version %-10s %s\n", text_member (object, "kind"),
          text_member (object, "name"), text_member (object, "version"), spec);
}

/* The record in ANSWER, or why there is none.  */
static ctl_exit_t
show (const ctl_t *ctl, plat_status_t status, const char *name,
      JsonObject *answer)
{
  if (status != PLAT_OK)
    return ctl_report_failure (status, name);
  print_record (ctl, answer);
  return CTL_OK;
}

static char *
read_all (const char *file, GError **error)
{
  g_autoptr (GString) text = NULL;
  char *contents = NULL;
  char block[4096];
  size_t got;

  if (!g_str_equal (file, "-"))
    {
      (void)g_file_get_contents (file, &contents, NULL, error);
      return contents;
    }
  text = g_string_new (NULL);
  while ((got = fread (block, 1, sizeof block, stdin)) > 0)
    g_string_append_len (text, block, (gssize)got);
  return g_string_free (g_steal_pointer (&text), FALSE);
}

static JsonObject *
read_spec (const char *file, GError **error)
{
  g_autofree char *text = read_all (file, error);
  g_autoptr (JsonNode) node = NULL;

  if (text == NULL)
    return NULL;
  node = json_from_string (text, error);
  if (node == NULL)
    return NULL;
  if (!JSON_NODE_HOLDS_OBJECT (node))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_RECORD,
                   "%s holds no JSON object; write the record's spec", file);
      return NULL;
    }
  return json_node_dup_object (node);
}

static bool
assign_all (JsonObject *spec, int count, char **words, GError **error)
{
  for (int i = 0; i < count; i++)
    if (!ctl_spec_assign (spec, words[i], error))
      return false;
  return true;
}

/* The spec of a new record: the file's, with the words' members over it.
   Without "schema" the newest is meant.  */
static JsonObject *
new_spec (const ctl_t *ctl, int count, char **words, GError **error)
{
  g_autoptr (JsonObject) spec = NULL;

  spec = ctl->file != NULL ? read_spec (ctl->file, error) : json_object_new ();
  if (spec == NULL || !assign_all (spec, count, words, error))
    return NULL;
  if (!json_object_has_member (spec, "schema"))
    json_object_set_int_member (spec, "schema", 2);
  return g_steal_pointer (&spec);
}

ctl_exit_t
ctl_cmd_create (ctl_t *ctl, int count, char **args)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (JsonObject) spec = NULL;
  g_autoptr (JsonObject) answer = NULL;
  plat_status_t status;

  if (count < 2)
    return ctl_report_usage ("create takes KIND NAME [MEMBER=VALUE...]");
  if (!check_kind (args[0]))
    return CTL_USAGE;
  spec = new_spec (ctl, count - 2, args + 2, &error);
  if (spec != NULL)
    (void)ctl_spec_check (args[0], args[1], spec, &error);
  if (error != NULL)
    return ctl_report_usage ("%s", error->message);
  status = ctl_put (ctl, args[0], args[1], NULL, spec, &answer);
  return show (ctl, status, args[1], answer);
}

ctl_exit_t
ctl_cmd_get (ctl_t *ctl, int count, char **args)
{
  g_autoptr (JsonObject) answer = NULL;
  plat_status_t status;

  if (count != 2)
    return ctl_report_usage ("get takes KIND NAME");
  if (!check_kind (args[0]))
    return CTL_USAGE;
  status = ctl_get (ctl, args[0], args[1], &answer);
  return show (ctl, status, args[1], answer);
}

ctl_exit_t
ctl_cmd_list (ctl_t *ctl, int count, char **args)
{
  g_autoptr (JsonObject) answer = NULL;
  plat_status_t status;
  JsonArray *objects;

  if (count > 1)
    return ctl_report_usage ("list takes at most a KIND");
  if (count == 1 && !check_kind (args[0]))
    return CTL_USAGE;
  status = ctl_list (ctl, &answer);
  if (status != PLAT_OK)
    return ctl_report_failure (status, "list");
  objects = json_object_get_array_member (answer, "objects");
  for (unsigned i = 0; i < json_array_get_length (objects); i++)
    {
      JsonObject *object = json_array_get_object_element (objects, i);

      if (count == 0 || g_str_equal (text_member (object, "kind"), args[0]))
        print_record (ctl, object);
    }
  return CTL_OK;
}

/* Reads the record, changes members and writes it back under the version read;
   members this program doesn't know stay as they are.  */
static plat_status_t
set_once (ctl_t *ctl, int count, char **args, JsonObject **answer,
          GError **error)
{
  g_autoptr (JsonObject) object = NULL;
  const char *version;
  JsonObject *spec;
  plat_status_t status = ctl_get (ctl, args[0], args[1], &object);

  if (status != PLAT_OK)
    return status;
  version = text_member (object, "version");
  if (ctl->if_version != NULL && !g_str_equal (ctl->if_version, version))
    return PLAT_CONFLICT;
  spec = json_object_get_object_member (object, "spec");
  if (!assign_all (spec, count - 2, args + 2, error)
      || !ctl_spec_check (args[0], args[1], spec, error))
    return PLAT_INVALID_RESPONSE;
  return ctl_put (ctl, args[0], args[1], version, spec, answer);
}

ctl_exit_t
ctl_cmd_set (ctl_t *ctl, int count, char **args)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (JsonObject) answer = NULL;
  plat_status_t status = PLAT_CONFLICT;
  int tries = ctl->if_version != NULL ? 1 : SET_TRIES;

  if (count < 3)
    return ctl_report_usage ("set takes KIND NAME MEMBER=VALUE...");
  if (!check_kind (args[0]))
    return CTL_USAGE;
  for (int i = 0; i < tries && status == PLAT_CONFLICT; i++)
    status = set_once (ctl, count, args, &answer, &error);
  if (error != NULL)
    return ctl_report_usage ("%s", error->message);
  return show (ctl, status, args[1], answer);
}

ctl_exit_t
ctl_cmd_delete (ctl_t *ctl, int count, char **args)
{
  g_autoptr (JsonObject) object = NULL;
  const char *version = ctl->if_version;
  plat_status_t status;

  if (count != 2)
    return ctl_report_usage ("delete takes KIND NAME");
  if (!check_kind (args[0]))
    return CTL_USAGE;
  if (version == NULL)
    {
      status = ctl_get (ctl, args[0], args[1], &object);
      if (status != PLAT_OK)
        return ctl_report_failure (status, args[1]);
      version = text_member (object, "version");
    }
  return ctl_report_failure (ctl_delete (ctl, args[0], args[1], version),
                             args[1]);
}

/* The key comes by standard input, never as an argument, which others could
   read in the list of processes.  */
ctl_exit_t
ctl_cmd_key_hash (ctl_t *ctl, int count, char **args)
{
  char key[KEY_MAX];
  g_autofree char *hash = NULL;

  if (count != 0)
    return ctl_report_usage ("key-hash reads the key from standard input");
  if (fgets (key, sizeof key, stdin) == NULL)
    return ctl_report_usage ("no key came by standard input");
  g_strchomp (key);
  hash = rec_hash_key_to_hex (key);
  puts (hash);
  return CTL_OK;
}
