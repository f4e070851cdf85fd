/* The records that a fleet begins with.  */

#include "config/rec.h"
#include "fleet-private.h"

/* Of schema 1, as old programs write and read them.  */
static bool
put_old_endpoint (fleet_t *fleet, unsigned index, const char *service,
                  unsigned slots, GError **error)
{
  unsigned zone = fleet_get_zone (fleet, FLEET_AGENT, index);
  g_autofree char *name = g_strdup_printf ("endpoint-%u", index);
  g_autofree char *url = fleet_get_url (fleet, FLEET_ENDPOINT, index);
  g_autofree char *spec
      = g_strdup_printf ("{\"schema\":1,\"service\":\"%s\",\"zone\":"
                         "\"zone-%u\",\"url\":\"%s\",\"slots\":%u}",
                         service, zone, url, slots);

  return fleet_put_object (fleet, "endpoint", name, spec, error);
}

static bool
put_old_account (fleet_t *fleet, const fleet_account_t *account,
                 GError **error)
{
  g_autofree char *hash = rec_hash_key_to_hex (account->key);
  g_autofree char *spec
      = g_strdup_printf ("{\"schema\":1,\"weight\":%g,\"key_hash\":\"%s\"}",
                         account->weight, hash);

  return fleet_put_object (fleet, "client-account", account->name, spec,
                           error);
}

bool
fleet_put_endpoint (fleet_t *fleet, unsigned index, GError **error)
{
  const fleet_plan_t *plan = &fleet->plan;
  bool plain = fleet_is_plain_endpoint (fleet, index);
  unsigned zone = fleet_get_zone (fleet, FLEET_AGENT, index);
  const char *service = plain ? FLEET_PLAIN_SERVICE : FLEET_MODEL_SERVICE;
  unsigned most = plain ? plan->plain_slots : plan->slots;
  unsigned cold = plain ? plan->plain_slots : plan->slots_cold;
  g_autofree char *name = g_strdup_printf ("endpoint-%u", index);
  g_autofree char *url = fleet_get_url (fleet, FLEET_ENDPOINT, index);
  g_autofree char *spec = g_strdup_printf (
      "{\"schema\":2,\"service\":\"%s\",\"zone\":\"zone-%u\",\"url\":\"%s\","
      "\"slots\":{\"max\":%u,\"cold\":%u},\"state\":\"in\"}",
      service, zone, url, most, cold);

  if (plan->old_records)
    return put_old_endpoint (fleet, index, service, most, error);
  return fleet_put_object (fleet, "endpoint", name, spec, error);
}

static bool
put_account (fleet_t *fleet, const fleet_account_t *account, GError **error)
{
  g_autofree char *hash = rec_hash_key_to_hex (account->key);
  g_autofree char *spec = g_strdup_printf (
      "{\"schema\":2,\"weight\":%g,\"keys\":[{\"hash\":\"%s\"}],"
      "\"queue_max\":%u}",
      account->weight, hash, FLEET_MAX_QUEUED);

  if (fleet->plan.old_records)
    return put_old_account (fleet, account, error);
  return fleet_put_object (fleet, "client-account", account->name, spec,
                           error);
}

bool
fleet_put_records (fleet_t *fleet, GError **error)
{
  const fleet_plan_t *plan = &fleet->plan;
  bool old = plan->old_records;

  for (unsigned i = 0; i < plan->zones; i++)
    {
      g_autofree char *name = g_strdup_printf ("zone-%u", i);
      if (!fleet_put_object (
              fleet, "availability-zone", name,
              old ? "{\"schema\":1,\"out\":false}"
                  : "{\"schema\":2,\"state\":\"in\",\"region\":\"r\"}",
              error))
        return false;
    }
  if (!fleet_put_object (fleet, "service", FLEET_MODEL_SERVICE,
                         old ? "{\"schema\":1,\"type\":\"model\"}"
                             : "{\"schema\":2,\"type\":\"model\",\"rules\":[],"
                               "\"classes\":[\"full-shift\",\"quick\"]}",
                         error)
      || !fleet_put_object (
          fleet, "service", FLEET_PLAIN_SERVICE,
          old ? "{\"schema\":1,\"type\":\"plain\",\"idempotent\":[\"GET "
                "/entries\"]}"
              : "{\"schema\":2,\"type\":\"plain\",\"rules\":[{\"method\":"
                "\"GET\",\"prefix\":\"/entries\",\"idempotent\":true}],"
                "\"classes\":[]}",
          error))
    return false;
  for (unsigned i = 0; i < plan->account_count; i++)
    if (!put_account (fleet, &plan->accounts[i], error))
      return false;
  for (unsigned i = 0; i < plan->models + plan->plains; i++)
    if (!fleet_put_endpoint (fleet, i, error))
      return false;
  return true;
}
