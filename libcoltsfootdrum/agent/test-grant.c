/* Tests of grant eligibility, of the counts of routers, and of the request ids
   that must not be started again.  */

#include "agent/agent-grant.h"
#include "agent/agent-ids.h"
#include "agent/agent-links.h"

#define RECORDS .has_endpoint = true, .has_service = true

static const struct
{
  const char *name;
  grant_state_t state;
  grant_reason_t reason;
} cases[] = {
  { "no-obstacle", { RECORDS, .is_platform_up = true }, GRANT_ALLOWED },
  { "no-endpoint",
    { .has_service = true, .is_platform_up = true },
    GRANT_NO_RECORD },
  { "no-service",
    { .has_endpoint = true, .is_platform_up = true },
    GRANT_NO_RECORD },
  { "zone-out",
    { RECORDS, .is_platform_up = true, .is_zone_out = true },
    GRANT_ZONE_OUT },
  { "leaving",
    { RECORDS, .is_platform_up = true, .is_leaving = true },
    GRANT_LEAVING },
  { "draining",
    { RECORDS, .is_platform_up = true, .is_draining = true },
    GRANT_DRAINING },
  { "just-woken",
    { RECORDS, .is_platform_up = true, .is_config_unconfirmed = true },
    GRANT_JUST_WOKEN },
  { "settling",
    { RECORDS, .is_platform_up = true, .is_settling = true },
    GRANT_SETTLING },
  { "behind",
    { RECORDS, .is_platform_up = true, .is_behind = true },
    GRANT_BEHIND },
  { "ejected",
    { RECORDS, .is_platform_up = true, .is_ejected = true },
    GRANT_EJECTED },
  { "platform-down-most-connected",
    { RECORDS, .routers_known = 3, .routers_connected = 2 },
    GRANT_ALLOWED },
  { "platform-down-half-connected",
    { RECORDS, .routers_known = 4, .routers_connected = 2 },
    GRANT_ALLOWED },
  { "platform-down-few-connected",
    { RECORDS, .routers_known = 3, .routers_connected = 1 },
    GRANT_CUT_OFF },
  { "no-router-connected", { RECORDS, .routers_known = 3 }, GRANT_CUT_OFF },
  { "no-router-known", { RECORDS }, GRANT_CUT_OFF },
  { "partition-of-one-zone",
    { RECORDS, .routers_known = 1, .routers_connected = 1, .zones_known = 3,
      .zones_connected = 1, .platform_age_ms = AGENT_STALE_PLATFORM_MS },
    GRANT_CUT_OFF },
  { "one-zone-connected-recent-contact",
    { RECORDS, .routers_known = 1, .routers_connected = 1, .zones_known = 3,
      .zones_connected = 1, .platform_age_ms = AGENT_STALE_PLATFORM_MS - 1 },
    GRANT_ALLOWED },
  { "half-of-the-zones-connected",
    { RECORDS, .routers_known = 2, .routers_connected = 2, .zones_known = 4,
      .zones_connected = 2, .platform_age_ms = 60000 },
    GRANT_ALLOWED },
  { "few-connected-platform-up",
    { RECORDS, .is_platform_up = true, .routers_known = 3,
      .routers_connected = 1 },
    GRANT_ALLOWED },
};

static void
test_table (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%s", cases[i].name);
      g_assert_cmpint (agent_evaluate_grant (&cases[i].state), ==,
                       cases[i].reason);
    }
}

static void
assert_counts (const links_t *links, unsigned known_count, unsigned up_count)
{
  unsigned known_now;
  unsigned up_now;

  links_get_counts (links, &known_now, &up_now);
  g_assert_cmpuint (known_now, ==, known_count);
  g_assert_cmpuint (up_now, ==, up_count);
}

/* A router that closed its link itself no longer counts as known.  One whose
   link timed out does, for as long as the platform is unreachable.  */
static void
test_links (void)
{
  g_autoptr (links_t) links = links_new ();

  links_set_up (links, "r1", "a");
  links_set_up (links, "r2", "a");
  links_set_up (links, "r3", "a");
  links_set_down (links, "r1", false, 0);
  assert_counts (links, 2, 2);
  links_set_down (links, "r2", true, 0);
  assert_counts (links, 2, 1);
  links_expire (links, false, 10 * LINKS_LOST_RETENTION_MS);
  assert_counts (links, 2, 1);
  links_expire (links, true, 10 * LINKS_LOST_RETENTION_MS);
  assert_counts (links, 1, 1);
  links_set_down (links, "r3", true, 0);
  links_set_up (links, "r3", "a");
  links_expire (links, true, 10 * LINKS_LOST_RETENTION_MS);
  assert_counts (links, 1, 1);
}

static void
test_zones (void)
{
  g_autoptr (links_t) links = links_new ();

  links_set_up (links, "r1", "a");
  links_set_up (links, "r2", "a");
  links_set_up (links, "r3", "b");
  g_assert_cmpuint (links_count_zones (links), ==, 2);
  links_set_down (links, "r3", true, 0);
  g_assert_cmpuint (links_count_zones (links), ==, 1);
}

static void
test_ids (void)
{
  g_autoptr (ids_t) ids = ids_new ();

  g_assert_cmpint (ids_get_state (ids, "a"), ==, IDS_NEW);
  ids_set_state (ids, "a", IDS_STARTED, 0);
  ids_set_state (ids, "b", IDS_REFUSED, 5);
  ids_set_state (ids, "a", IDS_STARTED, 9);
  ids_expire (ids, IDS_RETENTION_MS + 6);
  g_assert_cmpint (ids_get_state (ids, "a"), ==, IDS_STARTED);
  g_assert_cmpint (ids_get_state (ids, "b"), ==, IDS_NEW);
  ids_remove (ids, "a");
  g_assert_cmpint (ids_get_state (ids, "a"), ==, IDS_NEW);
  for (unsigned i = 0; i <= IDS_MAX_COUNT; i++)
    {
      g_autofree char *name = g_strdup_printf ("request-%u", i);

      ids_set_state (ids, name, IDS_STARTED, i);
    }
  g_assert_cmpint (ids_get_state (ids, "request-0"), ==, IDS_NEW);
  g_assert_cmpint (ids_get_state (ids, "request-1"), ==, IDS_STARTED);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/grant/table", test_table);
  g_test_add_func ("/grant/links", test_links);
  g_test_add_func ("/grant/zones", test_zones);
  g_test_add_func ("/grant/ids", test_ids);
  return g_test_run ();
}
