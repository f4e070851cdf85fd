#include "config/rec.h"
#include "config/rec-parse.h"
#include "config/rec-text.h"
#include "wire/msg.h"

#include <sodium.h>
#include <string.h>

static const char *const kind_names[] = {
  [REC_ACCOUNT] = "client-account",
  [REC_SERVICE] = "service",
  [REC_ZONE] = "availability-zone",
  [REC_ENDPOINT] = "endpoint",
};

const char *
rec_kind_name (rec_kind_t kind)
{
  return kind >= REC_ACCOUNT && kind <= REC_ENDPOINT ? kind_names[kind] : "?";
}

bool
rec_kind_parse (const char *text, rec_kind_t *kind)
{
  for (int i = REC_ACCOUNT; i <= REC_ENDPOINT; i++)
    if (text != NULL && strcmp (text, kind_names[i]) == 0)
      {
        *kind = (rec_kind_t)i;
        return true;
      }
  return false;
}

void
rec_rule_free (gpointer pointer)
{
  rec_rule_t *rule = pointer;

  g_free (rule->method);
  g_free (rule->prefix);
  g_free (rule);
}

static void
free_union_members (rec_t *record)
{
  switch (record->kind)
    {
    case REC_ACCOUNT:
      g_free (record->u.account.keys);
      break;
    case REC_SERVICE:
      if (record->u.service.rules != NULL)
        g_ptr_array_unref (record->u.service.rules);
      g_strfreev (record->u.service.classes);
      break;
    case REC_ZONE:
      g_free (record->u.zone.region);
      break;
    case REC_ENDPOINT:
      g_free (record->u.endpoint.service);
      g_free (record->u.endpoint.zone);
      g_free (record->u.endpoint.url);
      break;
    }
}

void
rec_free (rec_t *record)
{
  if (record == NULL)
    return;
  free_union_members (record);
  g_clear_pointer (&record->name, g_ref_string_release);
  g_free (record->version);
  g_clear_pointer (&record->text_template, g_ref_string_release);
  g_free (record);
}

char *
rec_object_to_text (JsonObject *object)
{
  g_autoptr (JsonNode) root = json_node_new (JSON_NODE_OBJECT);

  json_node_set_object (root, object);
  return json_to_string (root, FALSE);
}

/* Returns the string member NAME, or NULL.  */
static const char *
get_string_member (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

static bool
parse_envelope (rec_t *record, JsonObject *object, GError **error)
{
  const char *kind = get_string_member (object, "kind");
  const char *name = get_string_member (object, "name");
  gint64 revision
      = json_object_get_int_member_with_default (object, "revision", 0);

  if (!rec_kind_parse (kind, &record->kind))
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_RECORD,
                   "kind \"%s\" is unknown; update the program",
                   kind == NULL ? "" : kind);
      return false;
    }
  if (name == NULL || name[0] == '\0' || strlen (name) > MSG_NAME_MAX
      || revision <= 0)
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_RECORD,
                   "a %s has no valid name or revision; correct the object",
                   kind);
      return false;
    }
  record->name = g_ref_string_new (name);
  record->version = g_strdup (get_string_member (object, "version"));
  record->revision = (uint64_t)revision;
  record->deleted
      = json_object_get_boolean_member_with_default (object, "deleted", FALSE);
  return true;
}

rec_t *
rec_parse_envelope (JsonObject *object, GError **error)
{
  rec_t *record = g_new0 (rec_t, 1);

  if (!parse_envelope (record, object, error))
    {
      rec_free (record);
      return NULL;
    }
  return record;
}

static bool
parse_spec (rec_t *record, JsonObject *object, unsigned newest, GError **error)
{
  JsonNode *spec = json_object_get_member (object, "spec");

  if (record->deleted)
    return true;
  if (spec != NULL && JSON_NODE_HOLDS_OBJECT (spec))
    return rec_parse_spec (record, json_node_get_object (spec), newest, error);
  g_set_error (error, CFD_ERROR, CFD_ERROR_RECORD,
               "%s \"%s\" has no \"spec\"; correct the record",
               rec_kind_name (record->kind), record->name);
  return false;
}

bool
rec_parse_contents (rec_t *record, JsonObject *object, unsigned newest,
                    GError **error)
{
  g_autofree char *text = NULL;

  if (!parse_spec (record, object, newest, error))
    return false;
  text = rec_object_to_text (object);
  record->text_template = rec_text_make_template (text, record);
  return true;
}

rec_t *
rec_parse (JsonObject *object, GError **error)
{
  rec_t *record = rec_parse_envelope (object, error);

  if (record == NULL
      || rec_parse_contents (record, object, REC_SCHEMA_NEWEST, error))
    return record;
  rec_free (record);
  return NULL;
}

/* Returns whether PATH, without its query, begins with PREFIX.  A path with
   ".." never matches: the endpoint could resolve it to a path outside of the
   prefix, and a request that must not be repeated would be taken for one that
   may.  */
static bool
path_matches (const char *path, const char *prefix)
{
  size_t length = strcspn (path, "?");

  if (g_strstr_len (path, (gssize)length, "..") != NULL
      || g_strstr_len (path, (gssize)length, "%2e") != NULL
      || g_strstr_len (path, (gssize)length, "%2E") != NULL)
    return false;

  return strlen (prefix) <= length
         && strncmp (path, prefix, strlen (prefix)) == 0;
}

bool
rec_service_is_idempotent (const rec_service_t *service, const char *method,
                           const char *path)
{
  if (service->is_model)
    return true;
  for (guint i = 0; i < service->rules->len; i++)
    {
      const rec_rule_t *rule = g_ptr_array_index (service->rules, i);

      if ((strcmp (rule->method, "*") == 0
           || strcmp (rule->method, method) == 0)
          && path_matches (path, rule->prefix))
        return rule->idempotent;
    }
  return false;
}

unsigned
rec_service_get_class_rank (const rec_service_t *service, const char *name)
{
  unsigned count = g_strv_length (service->classes);

  for (unsigned i = 0; name != NULL && i < count; i++)
    if (strcmp (service->classes[i], name) == 0)
      return i;
  return count - 1;
}

void
rec_hash_key (const char *key, rec_key_hash_t *hash)
{
  crypto_generichash (hash->bytes, sizeof hash->bytes,
                      (const unsigned char *)key, strlen (key), NULL, 0);
}

char *
rec_hash_key_to_hex (const char *key)
{
  char text[REC_KEY_HASH_HEX_SIZE];
  rec_key_hash_t hash;

  rec_hash_key (key, &hash);
  sodium_bin2hex (text, sizeof text, hash.bytes, sizeof hash.bytes);
  return g_strdup (text);
}

bool
rec_account_has_key (const rec_account_t *account, const char *key)
{
  rec_key_hash_t hash;
  bool found = false;

  rec_hash_key (key, &hash);
  for (unsigned i = 0; i < account->key_count; i++)
    if (sodium_memcmp (&account->keys[i], &hash, sizeof hash) == 0)
      found = true;
  return found;
}
