#include "ctl/ctl.h"

#include <string.h>

/* Words of which more letters are wrong are no misspelling.  */
#define NEAREST_MAX 3
#define NEAREST_LONGEST 63

static JsonObject *
descend (JsonObject *spec, const char *member, GError **error)
{
  JsonNode *node = json_object_get_member (spec, member);

  if (node == NULL)
    {
      json_object_set_object_member (spec, member, json_object_new ());
      return json_object_get_object_member (spec, member);
    }
  if (!JSON_NODE_HOLDS_OBJECT (node))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_RECORD,
                   "member %s is a plain value; set it without a dot", member);
      return NULL;
    }
  return json_node_get_object (node);
}

static JsonNode *
parse_value (const char *text)
{
  JsonNode *node = json_from_string (text, NULL);

  if (node != NULL)
    return node;
  node = json_node_new (JSON_NODE_VALUE);
  json_node_set_string (node, text);
  return node;
}

bool
ctl_spec_assign (JsonObject *spec, const char *word, GError **error)
{
  const char *equals = strchr (word, '=');
  g_autofree char *path = NULL;
  g_auto (GStrv) members = NULL;
  unsigned last;

  if (equals == NULL || equals == word)
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_RECORD,
                   "\"%s\" is not MEMBER=VALUE", word);
      return false;
    }
  path = g_strndup (word, (gsize)(equals - word));
  members = g_strsplit (path, ".", -1);
  last = g_strv_length (members) - 1;
  for (unsigned i = 0; i < last; i++)
    {
      spec = descend (spec, members[i], error);
      if (spec == NULL)
        return false;
    }
  json_object_set_member (spec, members[last], parse_value (equals + 1));
  return true;
}

bool
ctl_spec_check (const char *kind, const char *name, JsonObject *spec,
                GError **error)
{
  g_autoptr (JsonObject) object = json_object_new ();
  g_autoptr (rec_t) record = NULL;

  json_object_set_string_member (object, "kind", kind);
  json_object_set_string_member (object, "name", name);
  json_object_set_string_member (object, "version", "unwritten");
  json_object_set_int_member (object, "revision", 1);
  json_object_set_object_member (object, "spec", json_object_ref (spec));
  record = rec_parse (object, error);
  return record != NULL;
}

static unsigned
least (unsigned a, unsigned b, unsigned c)
{
  return MIN (MIN (a, b), c);
}

/* Levenshtein's distance, one row at a time; words longer than the row are no
   words of ours.  */
static unsigned
distance (const char *a, const char *b)
{
  unsigned row[NEAREST_LONGEST + 1];
  size_t columns = strlen (b) + 1;

  if (columns > G_N_ELEMENTS (row))
    return NEAREST_MAX + 1;
  for (size_t j = 0; j < columns; j++)
    row[j] = (unsigned)j;
  for (size_t i = 1; a[i - 1] != '\0'; i++)
    {
      unsigned diagonal = row[0];

      row[0] = (unsigned)i;
      for (size_t j = 1; j < columns; j++)
        {
          unsigned above = row[j];
          unsigned change = a[i - 1] == b[j - 1] ? 0 : 1;

          row[j] = least (above + 1, row[j - 1] + 1, diagonal + change);
          diagonal = above;
        }
    }
  return row[columns - 1];
}

const char *
ctl_find_nearest (const char *text, const char *const *words)
{
  const char *nearest = NULL;
  unsigned best = NEAREST_MAX + 1;

  for (; *words != NULL; words++)
    {
      unsigned d = distance (text, *words);

      if (d >= best)
        continue;
      best = d;
      nearest = *words;
    }
  return nearest;
}
