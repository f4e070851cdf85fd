#include "config/test-store-help.h"

JsonObject *
object_from (const char *text)
{
  g_autoptr (JsonNode) root = json_from_string (text, NULL);

  g_assert_nonnull (root);
  return json_object_ref (json_node_get_object (root));
}

void
take (store_t *store, const char *text, bool is_whole)
{
  g_autoptr (JsonObject) answer = object_from (text);

  if (is_whole)
    json_object_set_boolean_member (answer, "complete", TRUE);
  store_apply_objects (store, answer, 1000);
}

void
write_zone (sp_model_t *model, const char *name, const char *spec)
{
  g_autoptr (JsonNode) node
      = spec == NULL ? NULL : json_from_string (spec, NULL);

  sp_model_write (model, "availability-zone", name, node, 0);
}

void
take_list (store_t *store, const sp_model_t *model)
{
  g_autofree char *text = sp_model_list (model, KINDS);

  take (store, text, true);
}

void
take_part_as (store_t *to, role_t role, const store_t *from, uint64_t have)
{
  const msg_config_ask_t ask = { .have = have };
  msg_config_part_t part;

  store_make_part (from, role, &ask, 2000, &part);
  store_apply_part (to, &part, 2000);
  store_part_clear (&part);
}

void
take_part (store_t *to, const store_t *from, uint64_t have)
{
  take_part_as (to, ROLE_ROUTER, from, have);
}

void
write_account (sp_model_t *model, const char *name, const char *key)
{
  g_autofree char *hash = rec_hash_key_to_hex (key);
  g_autofree char *spec = g_strdup_printf (
      "{\"schema\":1,\"weight\":1,\"key_hash\":\"%s\"}", hash);
  g_autoptr (JsonNode) node = json_from_string (spec, NULL);

  sp_model_write (model, "client-account", name, node, 0);
}
