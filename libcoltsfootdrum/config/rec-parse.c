#include "config/rec-parse.h"
#include "wire/msg.h"

#include <math.h>
#include <sodium.h>
#include <string.h>

#define WEIGHT_MAX 1e6
#define QUEUE_MAX_DEFAULT 200
#define QUEUE_MAX_MOST 100000
#define SLOTS_MOST 65536
#define SLOTS_COLD_DEFAULT 1
#define KEY_HASH_LENGTH (REC_KEY_HASH_HEX_SIZE - 1)

static const char *const default_classes[] = { "full-shift", "quick", NULL };

G_GNUC_PRINTF (4, 5)
static bool
bad (const rec_t *record, const char *member, GError **error,
     const char *format, ...)
{
  g_autofree char *reason = NULL;
  va_list arguments;

  va_start (arguments, format);
  reason = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_set_error (error, CFD_ERROR, CFD_ERROR_RECORD,
               "%s \"%s\": member \"%s\" %s; correct the record",
               rec_kind_name (record->kind), record->name, member, reason);
  return false;
}

/* The value of MEMBER when it has TYPE, else NULL.  */
static JsonNode *
value_of (JsonObject *object, const char *member, GType type)
{
  JsonNode *node = json_object_get_member (object, member);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node))
    return NULL;
  return json_node_get_value_type (node) == type ? node : NULL;
}

static bool
read_string (const rec_t *record, JsonObject *object, const char *member,
             char **text, GError **error)
{
  JsonNode *node = value_of (object, member, G_TYPE_STRING);
  const char *value = node == NULL ? NULL : json_node_get_string (node);

  if (value == NULL || value[0] == '\0' || strlen (value) > MSG_NAME_MAX)
    return bad (record, member, error, "must be a text of 1 to %u bytes",
                MSG_NAME_MAX);
  *text = g_strdup (value);
  return true;
}

/* Leaves DEFAULT when MEMBER is absent and IS_OPTIONAL is set.  */
static bool
read_count (const rec_t *record, JsonObject *object, const char *member,
            gint64 least, gint64 most, bool is_optional, unsigned *count,
            GError **error)
{
  JsonNode *node;
  gint64 value;

  if (is_optional && !json_object_has_member (object, member))
    return true;
  node = value_of (object, member, G_TYPE_INT64);
  value = node == NULL ? least - 1 : json_node_get_int (node);
  if (value < least || value > most)
    return bad (record, member, error,
                "must be a whole number from %" G_GINT64_FORMAT
                " to %" G_GINT64_FORMAT,
                least, most);
  *count = (unsigned)value;
  return true;
}

static bool
read_bool (const rec_t *record, JsonObject *object, const char *member,
           bool *flag, GError **error)
{
  JsonNode *node = value_of (object, member, G_TYPE_BOOLEAN);

  if (node == NULL)
    return bad (record, member, error, "must be true or false");
  *flag = json_node_get_boolean (node);
  return true;
}

/* Reads one of two words; sets IS_SECOND when it is the second.  */
static bool
read_choice (const rec_t *record, JsonObject *object, const char *member,
             const char *first, const char *second, bool *is_second,
             GError **error)
{
  JsonNode *node = value_of (object, member, G_TYPE_STRING);
  const char *value = node == NULL ? "" : json_node_get_string (node);

  if (strcmp (value, first) != 0 && strcmp (value, second) != 0)
    return bad (record, member, error, "must be \"%s\" or \"%s\"", first,
                second);
  *is_second = strcmp (value, second) == 0;
  return true;
}

static JsonArray *
array_of (JsonObject *object, const char *member)
{
  JsonNode *node = json_object_get_member (object, member);

  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return NULL;
  return json_node_get_array (node);
}

static JsonObject *
object_at (JsonArray *array, guint index)
{
  JsonNode *node = json_array_get_element (array, index);

  return JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

/* The text at INDEX, or NULL when it is something else.  */
static const char *
text_at (JsonArray *array, guint index)
{
  JsonNode *node = json_array_get_element (array, index);

  if (!JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

static bool
is_key_hash (const char *text)
{
  return text != NULL && strlen (text) == KEY_HASH_LENGTH
         && strspn (text, "0123456789abcdef") == KEY_HASH_LENGTH;
}

static bool
read_key_hash (const rec_t *record, JsonObject *object, const char *member,
               GArray *hashes, GError **error)
{
  rec_key_hash_t key;
  JsonNode *node = value_of (object, member, G_TYPE_STRING);
  const char *hash = node == NULL ? NULL : json_node_get_string (node);

  if (!is_key_hash (hash))
    return bad (record, member, error, "must be %d lower-case hex digits",
                KEY_HASH_LENGTH);
  sodium_hex2bin (key.bytes, sizeof key.bytes, hash, KEY_HASH_LENGTH, NULL,
                  NULL, NULL);
  g_array_append_val (hashes, key);
  return true;
}

static bool
read_keys (const rec_t *record, JsonObject *spec, GArray *hashes,
           GError **error)
{
  JsonArray *keys = array_of (spec, "keys");

  if (keys == NULL)
    return bad (record, "keys", error, "must be an array of {\"hash\"}");
  for (guint i = 0; i < json_array_get_length (keys); i++)
    {
      JsonObject *key = object_at (keys, i);

      if (key == NULL)
        return bad (record, "keys", error, "must be an array of {\"hash\"}");
      if (!read_key_hash (record, key, "hash", hashes, error))
        return false;
    }
  return true;
}

static bool
read_account (rec_t *record, JsonObject *spec, unsigned schema, GError **error)
{
  rec_account_t *account = &record->u.account;
  g_autoptr (GArray) hashes
      = g_array_new (FALSE, FALSE, sizeof (rec_key_hash_t));
  JsonNode *weight = json_object_get_member (spec, "weight");
  bool ok;

  account->queue_max = QUEUE_MAX_DEFAULT;
  if (weight != NULL && JSON_NODE_HOLDS_VALUE (weight))
    account->weight = json_node_get_double (weight);
  if (!(account->weight > 0 && account->weight <= WEIGHT_MAX))
    return bad (record, "weight", error, "must be a number above 0 up to %g",
                WEIGHT_MAX);
  if (schema == 1)
    ok = read_key_hash (record, spec, "key_hash", hashes, error);
  else
    ok = read_keys (record, spec, hashes, error)
         && read_count (record, spec, "queue_max", 1, QUEUE_MAX_MOST, true,
                        &account->queue_max, error);
  /* A copy of the right size: the array's has room to grow.  */
  account->key_count = hashes->len;
  account->keys
      = g_memdup2 (hashes->data, hashes->len * sizeof (rec_key_hash_t));
  return ok;
}

/* Adds a rule of schema 1: "METHOD PREFIX".  */
static bool
add_old_rule (const rec_t *record, const char *text, GPtrArray *rules,
              GError **error)
{
  const char *space = text == NULL ? NULL : strchr (text, ' ');
  rec_rule_t *rule;

  if (space == NULL || space == text || space[1] != '/')
    return bad (record, "idempotent", error,
                "must be an array of \"METHOD /PREFIX\"");
  rule = g_new0 (rec_rule_t, 1);
  rule->method = g_strndup (text, (gsize)(space - text));
  rule->prefix = g_strdup (space + 1);
  rule->idempotent = true;
  g_ptr_array_add (rules, rule);
  return true;
}

static bool
read_old_rules (rec_t *record, JsonObject *spec, GError **error)
{
  JsonArray *array = array_of (spec, "idempotent");

  if (array == NULL && json_object_has_member (spec, "idempotent"))
    return bad (record, "idempotent", error,
                "must be an array of \"METHOD /PREFIX\"");
  for (guint i = 0; array != NULL && i < json_array_get_length (array); i++)
    if (!add_old_rule (record, text_at (array, i), record->u.service.rules,
                       error))
      return false;
  return true;
}

static bool
read_rules (rec_t *record, JsonObject *spec, GError **error)
{
  JsonArray *array = array_of (spec, "rules");

  if (array == NULL && json_object_has_member (spec, "rules"))
    return bad (record, "rules", error, "must be an array of rules");
  for (guint i = 0; array != NULL && i < json_array_get_length (array); i++)
    {
      JsonObject *object = object_at (array, i);
      rec_rule_t *rule = g_new0 (rec_rule_t, 1);

      g_ptr_array_add (record->u.service.rules, rule);
      if (object == NULL)
        return bad (record, "rules", error, "must be an array of rules");
      if (!read_string (record, object, "method", &rule->method, error)
          || !read_string (record, object, "prefix", &rule->prefix, error)
          || !read_bool (record, object, "idempotent", &rule->idempotent,
                         error))
        return false;
    }
  return true;
}

static bool
read_classes (rec_t *record, JsonObject *spec, GError **error)
{
  JsonArray *array = array_of (spec, "classes");
  g_autoptr (GPtrArray) names = NULL;

  if (array == NULL && json_object_has_member (spec, "classes"))
    return bad (record, "classes", error, "must be an array of names");
  if (array == NULL || json_array_get_length (array) == 0)
    return true;
  names = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      const char *name = text_at (array, i);

      if (name == NULL)
        return bad (record, "classes", error, "must be an array of names");
      g_ptr_array_add (names, g_strdup (name));
    }
  g_ptr_array_add (names, NULL);
  g_strfreev (record->u.service.classes);
  record->u.service.classes
      = (GStrv)g_ptr_array_free (g_steal_pointer (&names), FALSE);
  return true;
}

static bool
read_service (rec_t *record, JsonObject *spec, unsigned schema, GError **error)
{
  rec_service_t *service = &record->u.service;
  bool is_plain = false;

  service->rules = g_ptr_array_new_with_free_func (rec_rule_free);
  service->classes = g_strdupv ((GStrv)default_classes);
  if (!read_choice (record, spec, "type", "model", "plain", &is_plain, error))
    return false;
  service->is_model = !is_plain;
  if (schema == 1)
    return read_old_rules (record, spec, error);
  return read_rules (record, spec, error)
         && read_classes (record, spec, error);
}

static bool
read_zone (rec_t *record, JsonObject *spec, unsigned schema, GError **error)
{
  rec_zone_t *zone = &record->u.zone;

  if (schema == 1)
    return read_bool (record, spec, "out", &zone->out, error);
  if (json_object_has_member (spec, "region")
      && !read_string (record, spec, "region", &zone->region, error))
    return false;
  return read_choice (record, spec, "state", "in", "out", &zone->out, error);
}

static bool
read_slots (rec_t *record, JsonObject *spec, GError **error)
{
  rec_endpoint_t *endpoint = &record->u.endpoint;
  JsonNode *node = json_object_get_member (spec, "slots");
  JsonObject *slots;

  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return bad (record, "slots", error, "must be {\"max\", \"cold\"}");
  slots = json_node_get_object (node);
  return read_count (record, slots, "max", 1, SLOTS_MOST, false,
                     &endpoint->slots_max, error)
         && read_count (record, slots, "cold", 1, endpoint->slots_max, true,
                        &endpoint->slots_cold, error);
}

static bool
read_endpoint (rec_t *record, JsonObject *spec, unsigned schema,
               GError **error)
{
  rec_endpoint_t *endpoint = &record->u.endpoint;

  endpoint->slots_cold = SLOTS_COLD_DEFAULT;
  if (!read_string (record, spec, "service", &endpoint->service, error)
      || !read_string (record, spec, "zone", &endpoint->zone, error)
      || !read_string (record, spec, "url", &endpoint->url, error))
    return false;
  if (!g_str_has_prefix (endpoint->url, "http://"))
    return bad (record, "url", error, "must begin with http://");
  if (schema == 1)
    return read_count (record, spec, "slots", 1, SLOTS_MOST, false,
                       &endpoint->slots_max, error);
  return read_slots (record, spec, error)
         && read_choice (record, spec, "state", "in", "leaving",
                         &endpoint->leaving, error);
}

bool
rec_parse_spec (rec_t *record, JsonObject *spec, unsigned newest,
                GError **error)
{
  unsigned schema = 0;

  if (!read_count (record, spec, "schema", 1, G_MAXINT32, false, &schema,
                   error))
    return false;
  if (schema > newest)
    {
      g_set_error (error, CFD_ERROR, CFD_ERROR_RECORD,
                   "%s \"%s\" has schema %u, and this program reads 1 to %u;"
                   " update the program",
                   rec_kind_name (record->kind), record->name, schema, newest);
      return false;
    }
  switch (record->kind)
    {
    case REC_ACCOUNT:
      return read_account (record, spec, schema, error);
    case REC_SERVICE:
      return read_service (record, spec, schema, error);
    case REC_ZONE:
      return read_zone (record, spec, schema, error);
    case REC_ENDPOINT:
      return read_endpoint (record, spec, schema, error);
    }
  return false;
}
